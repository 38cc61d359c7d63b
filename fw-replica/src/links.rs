//! Connections to replicas, each kept until it fails, and the latencies measured over them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use fw_base::clock;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::{codec, relay, service};

/// Interval between attempts to reconnect to a replica. A starting replica refuses connections for
/// some hundred milliseconds, in which turns wait for it.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(30);
/// How long reconnection goes on after the last failed call to a replica.
const RECONNECT_FOR: Duration = Duration::from_secs(2);
/// How long a relayed connection is used before a direct one is attempted in the background.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for a reply: several times a slow disk's sync with a queue before it.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a replica is tried last after a failed call.
const FAILURE_PENALTY: Duration = Duration::from_secs(1);

/// How long only a direct connection is attempted. A connection takes about a millisecond; during a
/// network partition, any longer wait delays all turns of the entry.
const DIRECT_HEAD_START: Duration = Duration::from_millis(60);

/// Route to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    Relayed,
}

/// A client, and the task that ends with its connection.
#[derive(Debug)]
struct Connected {
    client: service::ReplicaClient,
    dispatch: AbortHandle,
}

/// The connection to one replica. Its lock is never held while something is awaited: calls that queue for a
/// fair lock get it one at a time, each after all other tasks have run, and an entry that is short of
/// processor time then takes on more calls than get it.
#[derive(Debug, Default)]
struct Link {
    state: Mutex<State>,
    /// Notified when a dial has ended.
    dialed: Notify,
    /// Calls that wait for the connection or for a reply.
    calls: Pending,
}

/// Greatest number of calls to one replica that wait, unless another is set.
const DEFAULT_MAX_CALLS: usize = 4_096;

/// A number of things under way.
#[derive(Clone, Debug, Default)]
pub struct Pending(Arc<AtomicUsize>);

/// One of the things that [`Pending`] counts, until this is dropped.
#[derive(Debug)]
pub struct PendingGuard(Pending);

impl Pending {
    /// Counts one more, unless there are `max`.
    pub fn try_begin(&self, max: usize) -> Option<PendingGuard> {
        let begun = self.0.fetch_add(1, Ordering::Relaxed);
        // Dropping the guard takes it off again.
        let guard = PendingGuard(self.clone());
        (begun < max).then_some(guard)
    }

    /// The number under way.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of the connection to one replica, which is kept until it fails.
#[derive(Debug, Default)]
struct State {
    connected: Option<Connected>,
    /// Whether a connection is being made, for which calls wait.
    is_dialing: bool,
    /// Whether the replica is in another data centre.
    is_remote: bool,
    /// Incremented with each new connection, so that a late failure does not drop a newer one.
    generation: u64,
    /// Time of the last call that failed for lack of a connection, while reconnection goes on in
    /// the background.
    last_wanted: Option<Instant>,
    /// Time of the last attempt at a direct connection, while the connection is relayed.
    direct_retried_at: Option<Instant>,
}

impl State {
    /// Uses `stream` for calls from now on.
    fn connect(&mut self, stream: TcpStream, route: Route) -> service::ReplicaClient {
        let codec = codec::Caller {
            is_remote: self.is_remote,
        };
        let framed = tarpc::serde_transport::new(codec::framed(stream), codec);
        let new = service::ReplicaClient::new(tarpc::client::Config::default(), framed);
        let tarpc::client::NewClient { client, dispatch } = new;
        let dispatch = tokio::spawn(dispatch).abort_handle();
        self.last_wanted = None;
        self.direct_retried_at = (route == Route::Relayed).then(Instant::now);
        self.generation += 1;
        self.connected = Some(Connected {
            client: client.clone(),
            dispatch,
        });
        client
    }

    /// The client, unless its connection is known to have ended.
    fn open_client(&self) -> Option<service::ReplicaClient> {
        let connected = self.connected.as_ref()?;
        (!connected.dispatch.is_finished()).then(|| connected.client.clone())
    }
}

/// What a call gets from a link.
enum Lookup {
    /// The client, and the generation of its connection.
    Open(service::ReplicaClient, u64),
    /// A connection is being made.
    Dialing,
    /// The replica is down.
    Down,
}

/// Latency and last failure of a replica.
#[derive(Clone, Copy, Debug, Default)]
struct LinkStats {
    latency: Duration,
    failed_at: Option<Instant>,
}

/// Connections to all replicas.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    stats: Mutex<HashMap<SocketAddr, LinkStats>>,
    routes: Arc<Routes>,
    /// When a majority of the members had answered for the first time, since boot.
    majority_reached_at: OnceLock<Duration>,
    /// Greatest number of calls to one replica that wait, if it is set.
    max_calls: OnceLock<usize>,
}

/// Latency beyond that of the fastest replica from which a near one is no longer preferred. It includes
/// the disk sync; a turn waits for the nearest replica's reply, so a stalled disk there delays each.
const NEAR_MARGIN: Duration = Duration::from_millis(20);

/// Order of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By latency.
    Latency,
    /// Those in the own data centre first unless they are slow, then by latency. The latency includes
    /// the disk sync, whose time differs by more than the way to another data centre takes.
    NearFirst,
}

impl Order {
    /// Whether a replica ranks behind the near ones, if the fastest one has a latency of `fastest`.
    pub fn is_far(self, is_remote: bool, latency: Duration, fastest: Duration) -> bool {
        match self {
            Self::Latency => false,
            Self::NearFirst => is_remote || latency > fastest + NEAR_MARGIN,
        }
    }
}

/// Addresses by which members can be reached.
#[derive(Debug, Default)]
struct Routes {
    /// Entries that relay connections to members.
    relays: Mutex<Vec<SocketAddr>>,
    members: Mutex<Vec<SocketAddr>>,
    /// Replicas in other data centres.
    remote: Mutex<HashSet<SocketAddr>>,
}

impl Routes {
    /// Connects directly or, if that takes long, by a relay.
    async fn dial(&self, addr: SocketAddr) -> Option<(TcpStream, Route)> {
        let mut direct = pin!(relay::dial(addr));
        match tokio::time::timeout(DIRECT_HEAD_START, &mut direct).await {
            Ok(Some(stream)) => return Some((stream, Route::Direct)),
            Ok(None) => {
                let stream = self.dial_relayed(addr).await?;
                return Some((stream, Route::Relayed));
            }
            Err(_) => {}
        }
        tokio::select! {
            Some(stream) = direct => Some((stream, Route::Direct)),
            Some(stream) = self.dial_relayed(addr) => Some((stream, Route::Relayed)),
            else => None,
        }
    }

    /// Connects to a member by the first relay that reaches it. Relays connect to no other
    /// addresses.
    async fn dial_relayed(&self, addr: SocketAddr) -> Option<TcpStream> {
        if !self.members.lock().contains(&addr) {
            return None;
        }
        let relays = self.relays.lock().clone();
        let mut dials: FuturesUnordered<_> = relays
            .into_iter()
            .map(|peer| async move { (peer, relay::dial_via(peer, addr).await) })
            .collect();
        while let Some((peer, stream)) = dials.next().await {
            if let Some(stream) = stream {
                tracing::info!(%addr, %peer, "a replica is reached through a relay");
                metrics::counter!("fw_replica_detours_total").increment(1);
                return Some(stream);
            }
        }
        None
    }
}

impl Links {
    /// Sets the members; connections to other replicas are dropped.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.links.lock().retain(|addr, _| members.contains(addr));
        self.stats.lock().retain(|addr, _| members.contains(addr));
        *self.routes.members.lock() = members;
    }

    /// Sets the greatest number of calls to one replica that wait; later calls have no effect. Beyond it, calls
    /// fail at once.
    pub fn set_max_calls(&self, max: usize) {
        let _ = self.max_calls.set(max);
    }

    /// Greatest number of calls to one replica that wait.
    pub fn max_calls(&self) -> usize {
        self.max_calls.get().copied().unwrap_or(DEFAULT_MAX_CALLS)
    }

    /// Number of calls to all replicas that wait.
    pub fn calls(&self) -> usize {
        let links = self.links.lock();
        links.values().map(|link| link.calls.count()).sum()
    }

    /// Sets the replicas that are in other data centres.
    pub fn set_remote(&self, remote: HashSet<SocketAddr>) {
        *self.routes.remote.lock() = remote;
    }

    /// Sorts replicas by latency, those that failed recently last. `order` may put those in other
    /// data centres behind the near ones.
    pub fn sort(&self, addrs: &mut [SocketAddr], order: Order) {
        let stats = self.stats.lock();
        let remote = self.routes.remote.lock();
        let latency = |addr| {
            stats
                .get(addr)
                .map_or(Duration::ZERO, |stats| stats.latency)
        };
        let fastest = addrs.iter().map(latency).min().unwrap_or_default();
        addrs.sort_by_key(|addr| {
            let link_stats = stats.get(addr).copied().unwrap_or_default();
            let failed = link_stats
                .failed_at
                .is_some_and(|at| at.elapsed() < FAILURE_PENALTY);
            let latency = link_stats.latency;
            let is_far = order.is_far(remote.contains(addr), latency, fastest);
            (failed, is_far, latency)
        });
    }

    /// When a majority of the members had answered a call for the first time, since boot.
    pub fn majority_reached_at(&self) -> Option<Duration> {
        self.majority_reached_at.get().copied()
    }

    /// Replaces the relays, unless `relays` is empty.
    pub fn set_relays(&self, relays: &[SocketAddr]) {
        if !relays.is_empty() {
            relays.clone_into(&mut self.routes.relays.lock());
        }
    }

    /// Makes a call, and updates the replica's latency.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let started = Instant::now();
        let answer = self.long_poll(addr, send).await?;
        self.record_success(addr, started.elapsed());
        Some(answer)
    }

    /// Makes a call that the replica may hold for a while, without measuring its latency. A
    /// connection that fails or times out is dropped, so that the next call makes a new one: a
    /// connection may stay dead for good while new ones work.
    pub async fn long_poll<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        self.long_poll_within(addr, CALL_TIMEOUT, send).await
    }

    /// Like [`Self::long_poll`], with `limit` in place of the usual longest wait for a reply.
    pub async fn long_poll_within<T, F>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let link = Arc::clone(self.links.lock().entry(addr).or_default());
        let max_calls = self.max_calls();
        let Some(_call) = link.calls.try_begin(max_calls) else {
            metrics::counter!("fw_replica_calls_refused_total").increment(1);
            self.record_failure(addr, &format!("{max_calls} calls to it are under way"));
            return None;
        };
        let connected = tokio::time::timeout(limit, self.connected(&link, addr)).await;
        let Ok(Some((client, generation))) = connected else {
            self.record_failure(addr, "no connection");
            return None;
        };
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + limit;
        match tokio::time::timeout(limit, send(client, cx)).await {
            Ok(Ok(answer)) => Some(answer),
            failed => {
                let why = match failed {
                    Ok(Err(err)) => err.to_string(),
                    _ => format!("no answer within {limit:?}"),
                };
                self.record_failure(addr, &why);
                let mut state = link.state.lock();
                if state.generation == generation {
                    state.connected = None;
                }
                None
            }
        }
    }

    /// Returns the client, once a connection is made if there is none; `None` if the replica is down.
    async fn connected(
        &self,
        link: &Arc<Link>,
        addr: SocketAddr,
    ) -> Option<(service::ReplicaClient, u64)> {
        loop {
            let mut dialed = pin!(link.dialed.notified());
            // A dial that ends between the lookup and the wait counts too.
            dialed.as_mut().enable();
            match self.look_up(link, addr) {
                Lookup::Open(client, generation) => return Some((client, generation)),
                Lookup::Down => return None,
                Lookup::Dialing => dialed.await,
            }
        }
    }

    /// Looks up the connection; starts to dial if there is none and nobody dials yet.
    fn look_up(&self, link: &Arc<Link>, addr: SocketAddr) -> Lookup {
        let mut state = link.state.lock();
        if let Some(client) = state.open_client() {
            if state
                .direct_retried_at
                .is_some_and(|tried| tried.elapsed() > DIRECT_RETRY_INTERVAL)
            {
                state.direct_retried_at = Some(Instant::now());
                tokio::spawn(restore_direct(Arc::clone(link), addr));
            }
            return Lookup::Open(client, state.generation);
        }
        // Callers do not wait, one after the other, for a replica that is down.
        if let Some(wanted) = &mut state.last_wanted {
            *wanted = Instant::now();
            return Lookup::Down;
        }
        if !state.is_dialing {
            state.is_dialing = true;
            state.is_remote = self.routes.remote.lock().contains(&addr);
            tokio::spawn(dial(Arc::clone(&self.routes), Arc::clone(link), addr));
        }
        Lookup::Dialing
    }

    /// Records a call answered after `took`.
    fn record_success(&self, addr: SocketAddr, took: Duration) {
        let mut stats = self.stats.lock();
        let link_stats = stats.entry(addr).or_default();
        link_stats.latency = if link_stats.latency.is_zero() {
            took
        } else {
            link_stats.latency * 7 / 8 + took / 8
        };
        if link_stats.failed_at.take().is_some() {
            tracing::info!(%addr, ms = took.as_millis() as u64, "a replica answers again");
        }
        if self.majority_reached_at.get().is_none() {
            let answered = stats.values().filter(|stats| !stats.latency.is_zero());
            if answered.count() * 2 > self.routes.members.lock().len() {
                let _ = self.majority_reached_at.set(clock::since_boot());
            }
        }
    }

    /// Records a failed call. Only the first of several in a row is logged.
    fn record_failure(&self, addr: SocketAddr, why: &str) {
        metrics::counter!("fw_replica_call_failures_total").increment(1);
        let mut stats = self.stats.lock();
        let link_stats = stats.entry(addr).or_default();
        if link_stats.failed_at.replace(Instant::now()).is_none() {
            tracing::warn!(%addr, why, "a replica does not answer");
        }
    }
}

/// Connects to a replica for the calls that wait for it; keeps trying in the background if that fails.
async fn dial(routes: Arc<Routes>, link: Arc<Link>, addr: SocketAddr) {
    let dialed = routes.dial(addr).await;
    let mut state = link.state.lock();
    state.is_dialing = false;
    if let Some((stream, route)) = dialed {
        state.connect(stream, route);
    } else {
        state.last_wanted = Some(Instant::now());
        tokio::spawn(reconnect(routes, Arc::clone(&link), addr));
    }
    drop(state);
    link.dialed.notify_waiters();
}

/// Reconnects to a replica, as long as calls to it were made recently.
///
/// *Failure:* after a loss of all power, entries are back some hundred milliseconds before the
/// replicas. With a pause of 300 ms between two attempts, turns were refused for as long after the
/// replicas were back.
async fn reconnect(routes: Arc<Routes>, link: Arc<Link>, addr: SocketAddr) {
    loop {
        tokio::time::sleep(RECONNECT_INTERVAL).await;
        let connected = routes.dial(addr).await;
        let mut state = link.state.lock();
        if let Some((stream, route)) = connected {
            state.connect(stream, route);
            return;
        }
        if state
            .last_wanted
            .is_none_or(|at| at.elapsed() >= RECONNECT_FOR)
        {
            state.last_wanted = None;
            return;
        }
    }
}

/// Returns to a direct connection if one can be made.
async fn restore_direct(link: Arc<Link>, addr: SocketAddr) {
    let Some(stream) = relay::dial(addr).await else {
        return;
    };
    tracing::info!(%addr, "a replica is reached directly again");
    link.state.lock().connect(stream, Route::Direct);
}
