//! Starts an entry, runs it, and stops it without cutting a request.
//!
//! The life cycle is in the types: [`Bound`] has its addresses and serves nobody yet, [`Running`]
//! serves, and stopping consumes it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use fw_conf::entry as conf;
use fw_keep::keeper;
use fw_plan::admit;
use fw_plan::health;
use fw_plan::hedge;
use fw_plan::poison;
use fw_plan::retry;
use fw_wire::transport;
use metrics_exporter_prometheus::PrometheusHandle;
use parking_lot::Mutex;
use rand::RngExt;
use snafu::ResultExt;
use snafu::Snafu;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;
use tracing::warn;

use super::admission;
use super::attempts;
use super::entry;
use super::explain;
use super::held;
use super::members;
use super::peers;
use crate::connection::listen;
use crate::connection::pool;
use crate::connection::recover_entries;
use crate::connection::sides;
use crate::request::router;
use crate::version::records;
use crate::version::watch;

/// Time between two sweeps of ended attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// After the stop begins, how long the entry still takes new calls while the balancer in front
/// learns from `/readyz` that it should send none.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// Longest wait for the head of a plain answer; each call has a shorter timeout of its own.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_secs(3600);

/// Why an entry did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr} ([listen] {key}): {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Its settings key.
        key: &'static str,
        /// Why not.
        source: io::Error,
    },
}

/// An entry that has its addresses.
pub struct Bound {
    settings: conf::Settings,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

/// Where an entry listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Other entries' calls.
    pub peers: SocketAddr,
    /// Operators' HTTP and metrics.
    pub admin: SocketAddr,
}

/// An entry that serves.
pub struct Running {
    entry: Arc<entry::Entry>,
    addrs: Addresses,
    loops: JoinSet<()>,
    callers: tokio::task::JoinHandle<bool>,
    listeners: CancellationToken,
}

/// How a stop went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Every request under way ended by itself.
    pub drained: bool,
}

impl Bound {
    /// Takes the addresses that the settings name.
    ///
    /// # Errors
    ///
    /// When one of them cannot be listened on.
    pub async fn new(settings: conf::Settings) -> Result<Self, Error> {
        let listen = &settings.listen;
        let callers = bind(listen.callers, "callers").await?;
        let peers = bind(listen.peers, "peers").await?;
        let admin = bind(listen.admin, "admin").await?;
        Ok(Self {
            settings,
            callers,
            peers,
            admin,
        })
    }

    /// Where the entry listens: ports that were left open are filled in.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    /// Begins to serve. `metrics` renders the metrics at `/metrics`.
    ///
    /// # Errors
    ///
    /// When the system does not tell the addresses.
    pub fn start(self, metrics: Option<PrometheusHandle>) -> io::Result<Running> {
        let addrs = self.addresses()?;
        let entry = Arc::new(build(self.settings, addrs, metrics));
        let listeners = CancellationToken::new();
        let mut loops = JoinSet::new();
        loops.spawn(serve_peers(Arc::clone(&entry), self.peers));
        loops.spawn(serve_admin(Arc::clone(&entry), self.admin));
        loops.spawn(watch::run(Arc::clone(&entry)));
        loops.spawn(members::run(Arc::clone(&entry)));
        loops.spawn(peers::run(Arc::clone(&entry)));
        loops.spawn(recover_entries::run(Arc::clone(&entry)));
        loops.spawn(sweep(Arc::clone(&entry)));
        let options = listen::Options {
            head_timeout: entry.settings.callers.idle_timeout,
            drain: entry.settings.shutdown.drain_timeout,
        };
        let app = router::callers(Arc::clone(&entry));
        let stop = listeners.clone();
        let callers = tokio::spawn(listen::serve(self.callers, app, options, stop));
        info!(entry = %entry.id, callers = %addrs.callers, peers = %addrs.peers, "entry started");
        Ok(Running {
            entry,
            addrs,
            loops,
            callers,
            listeners,
        })
    }
}

impl Running {
    /// Where the entry listens.
    pub fn addresses(&self) -> Addresses {
        self.addrs
    }

    /// What the entry's requests share.
    pub fn entry(&self) -> &Arc<entry::Entry> {
        &self.entry
    }

    /// Stops: takes nothing new, lets what is under way end, and hands the shards over.
    pub async fn stop(mut self) -> Stopped {
        info!(entry = %self.entry.id, "entry stops");
        self.entry.leaving.cancel();
        tokio::time::sleep(LEAVE_NOTICE).await;
        self.entry.stopping.cancel();
        self.listeners.cancel();
        let drain = self.entry.settings.shutdown.drain_timeout;
        let mut drained = (&mut self.callers).await.unwrap_or(false);
        self.entry.tasks.close();
        self.entry.requests.close();
        drained &= tokio::time::timeout(drain, self.entry.requests.wait())
            .await
            .is_ok();
        drained &= tokio::time::timeout(drain, self.entry.tasks.wait())
            .await
            .is_ok();
        self.entry.keeper.close().await;
        self.loops.shutdown().await;
        if !drained {
            warn!(entry = %self.entry.id, "stopped with work under way");
        }
        info!(entry = %self.entry.id, "entry stopped");
        Stopped { drained }
    }

    /// Ends at once, as a crash would: nothing is flushed, handed over or answered.
    pub fn kill(mut self) {
        self.callers.abort();
        self.loops.abort_all();
        self.entry.keeper.abort();
        self.entry.killed.cancel();
    }
}

async fn bind(addr: SocketAddr, key: &'static str) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .context(BindSnafu { addr, key })
}

fn build(
    settings: conf::Settings,
    addrs: Addresses,
    metrics: Option<PrometheusHandle>,
) -> entry::Entry {
    let random_id = || format!("entry-{:016x}", rand::rng().random::<u64>()).into();
    let id = settings.instance.id.clone().unwrap_or_else(random_id);
    let advertise = settings.advertised(addrs.peers);
    let store = fw_store::Client::new(fw_store::Options {
        endpoints: settings
            .store
            .endpoints
            .iter()
            .map(ToString::to_string)
            .collect(),
        timeout: settings.store.timeout,
        ..fw_store::Options::default()
    });
    let keeper = keeper::Keeper::open(store.clone(), keeper_options(&settings, &id, advertise));
    entry::Entry {
        advertise,
        records: records::InForce::default(),
        store,
        keeper,
        held: held::HeldTurns::default(),
        predecessors: recover_entries::Predecessors::default(),
        attempts: attempts::Table::new(),
        admission: admission::Admission::new(admit_options(&settings.plan)),
        poison: Mutex::new(poison::Tracker::new(poison::Options::default())),
        sides: sides::Sides::new(sides::Options {
            connect_timeout: settings.upstream.connect_timeout,
            health: health::Options {
                min_failures: settings.upstream.missed_heartbeats,
                ..health::Options::default()
            },
            retry: retry::Options {
                ratio: settings.plan.retry_ratio,
                ..retry::Options::default()
            },
            hedge: hedge::Options {
                min_delay: settings.plan.hedge_delay,
                ..hedge::Options::default()
            },
        }),
        peer_list: peers::Peers::default(),
        peers: pool::Pool::new(settings.upstream.connect_timeout),
        http: fw_http::Client::new(fw_http::Options {
            connect_timeout: settings.upstream.connect_timeout,
            head_timeout: PLAIN_HEAD_TIMEOUT,
            ..fw_http::Options::default()
        }),
        explain: Arc::new(explain::Log::new(settings.explain.records_kept)),
        metrics,
        tasks: TaskTracker::new(),
        requests: TaskTracker::new(),
        leaving: CancellationToken::new(),
        stopping: CancellationToken::new(),
        killed: CancellationToken::new(),
        start: Instant::now(),
        id,
        settings,
    }
}

fn keeper_options(
    settings: &conf::Settings,
    id: &fw_base::id::EntryId,
    advertise: SocketAddr,
) -> keeper::Options {
    keeper::Options {
        entry: id.clone(),
        address: advertise.to_string().into(),
        keeps: settings.keeper.enabled,
        ttl: settings.keeper.lease_ttl,
        window: settings.keeper.commit_window_min,
        window_max: settings.keeper.commit_window_max,
        durable_wait: settings.keeper.commit_wait,
        max_pending: settings.keeper.pending_limit,
        ..keeper::Options::default()
    }
}

fn admit_options(plan: &conf::Plan) -> admit::Options {
    admit::Options {
        target: plan.target_delay,
        // Nobody measures a queue of plain requests at the entry; the sides bound them, each its own.
        // With the 64 of the default, 256 callers at once had most of their requests refused.
        plain_initial: f64::from(plan.limit_max),
        min: f64::from(plan.limit_min),
        max: f64::from(plan.limit_max),
        ..admit::Options::default()
    }
}

async fn serve_peers(entry: Arc<entry::Entry>, listener: TcpListener) {
    use fw_wire::peer::Peer;
    let service = entry::PeerService(entry);
    let each = |connection: transport::PeerTransport| {
        let channel = server::BaseChannel::with_defaults(connection);
        let answers = channel.execute(service.clone().serve());
        answers.for_each_concurrent(None, |answer| answer)
    };
    transport::accept(listener, each).await;
}

async fn serve_admin(entry: Arc<entry::Entry>, listener: TcpListener) {
    let app = router::admin(entry);
    // Ends with the entry only.
    let _ended = axum::serve(listener, app).await;
}

async fn sweep(entry: Arc<entry::Entry>) {
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        entry.attempts.sweep(Instant::now());
    }
}
