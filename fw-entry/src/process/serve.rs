//! Lifecycle of an entry: start, serving, and graceful shutdown that drains the requests under way.
//!
//! The types encode the states: [`Bound`] has its listeners but does not serve yet, [`Running`] serves,
//! and stopping consumes it.

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
use fw_plan::retry;
use fw_wire::transport;
use metrics_exporter_prometheus::PrometheusHandle;
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
use super::suspects;
use crate::connection::listen;
use crate::connection::pool;
use crate::connection::recover_entries;
use crate::connection::sides;
use crate::request::router;
use crate::version::records;
use crate::version::watch;

/// Interval between two sweeps of ended attempts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the start of a shutdown during which the entry still accepts calls, while the load
/// balancer in front sees at `/readyz` that it should send none.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// Longest wait for the head of a plain answer; each call has a shorter timeout.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_secs(3600);

/// Error at the start of an entry.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be bound.
    #[snafu(display("cannot listen on {addr} ([listen] {key}): {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Its key in the settings.
        key: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// An entry whose listeners are bound.
pub struct Bound {
    settings: conf::Settings,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP of callers.
    pub callers: SocketAddr,
    /// Calls of other entries.
    pub peers: SocketAddr,
    /// HTTP of operators, and metrics.
    pub admin: SocketAddr,
}

/// An entry that is serving.
pub struct Running {
    entry: Arc<entry::Entry>,
    addrs: Addresses,
    loops: JoinSet<()>,
    callers: tokio::task::JoinHandle<bool>,
    listeners: CancellationToken,
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Whether every request under way ended within the drain timeout.
    pub drained: bool,
}

impl Bound {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// When one of them cannot be bound.
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

    /// The bound addresses, with the ports that the system assigned.
    ///
    /// # Errors
    ///
    /// When the system does not report an address.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    /// Starts serving. `metrics` renders the metrics at `/metrics`.
    ///
    /// # Errors
    ///
    /// When the system does not report the bound addresses.
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
    /// The bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addrs
    }

    /// The shared state of the entry.
    pub fn entry(&self) -> &Arc<entry::Entry> {
        &self.entry
    }

    /// Shuts down gracefully: accepts no further calls, drains those under way and hands the shards
    /// over.
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
            warn!(entry = %self.entry.id, "stopped before all work under way had ended");
        }
        info!(entry = %self.entry.id, "entry stopped");
        Stopped { drained }
    }

    /// Stops at once, as a crash would: nothing is flushed, handed over or answered.
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
        suspects: suspects::Suspects::default(),
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
        // The entry does not measure a queue of plain requests; each side limits its own. With the
        // default of 64, most requests of 256 concurrent callers are refused.
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
    // Ends only with the entry.
    let _ended = axum::serve(listener, app).await;
}

async fn sweep(entry: Arc<entry::Entry>) {
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        entry.attempts.sweep(Instant::now());
    }
}
