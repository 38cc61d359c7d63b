//! Connections to replicas, each kept until it fails, and what they show of a replica's speed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::{codec, relay, service};

/// Pause between two attempts to connect to a replica again. A replica that starts refuses for some
/// hundred milliseconds, in which turns wait for it.
const AGAIN: Duration = Duration::from_millis(30);
/// How long a replica is tried after the last call to it failed.
const TRY_FOR: Duration = Duration::from_secs(2);
/// How long a connection by way of another entry is used before the direct way is tried again,
/// beside the calls.
const DETOUR: Duration = Duration::from_secs(2);
/// Longest wait for one answer: several times a slow disk's sync with a queue before it.
const ANSWER: Duration = Duration::from_millis(700);
/// How long a replica that failed is asked last.
const AVOID: Duration = Duration::from_secs(1);

/// How long only the direct way is tried. A connection takes a millisecond or so; behind a cut,
/// each moment longer is one more for all turns of the entry.
const HEAD_START: Duration = Duration::from_millis(60);

/// How a replica is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Around,
}

/// A client, and the task that ends with its connection.
#[derive(Debug)]
struct Connected {
    client: service::ReplicaClient,
    dispatch: AbortHandle,
}

/// One connection, kept until it fails.
#[derive(Debug, Default)]
struct Link {
    connected: Option<Connected>,
    /// Grows with each new connection, so that a late failure does not drop a newer one.
    generation: u64,
    /// When the last call failed for want of a connection, while one is tried again beside the
    /// calls.
    wanted: Option<Instant>,
    /// When the direct way was tried last, while it goes by way of another entry.
    detour: Option<Instant>,
}

impl Link {
    /// Calls go over `stream` from now on.
    fn connect(&mut self, stream: TcpStream, way: Way) -> service::ReplicaClient {
        let framed = tarpc::serde_transport::new(codec::framed(stream), codec::Postcard::default());
        let new = service::ReplicaClient::new(tarpc::client::Config::default(), framed);
        let tarpc::client::NewClient { client, dispatch } = new;
        let dispatch = tokio::spawn(dispatch).abort_handle();
        self.wanted = None;
        self.detour = (way == Way::Around).then(Instant::now);
        self.generation += 1;
        self.connected = Some(Connected {
            client: client.clone(),
            dispatch,
        });
        client
    }

    /// The client, unless its connection has ended as far as is known here.
    fn open_client(&self) -> Option<service::ReplicaClient> {
        let connected = self.connected.as_ref()?;
        (!connected.dispatch.is_finished()).then(|| connected.client.clone())
    }
}

/// What is known of a replica's speed.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    took: Duration,
    failed: Option<Instant>,
}

/// Connections to all replicas.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Link>>>>,
    costs: Mutex<HashMap<SocketAddr, Cost>>,
    ways: Arc<Ways>,
}

/// How members can be reached.
#[derive(Debug, Default)]
struct Ways {
    /// Entries that pass connections on to members.
    peers: Mutex<Vec<SocketAddr>>,
    members: Mutex<Vec<SocketAddr>>,
}

impl Ways {
    /// Connects directly, or if that takes long by way of another entry.
    async fn dial(&self, addr: SocketAddr) -> Option<(TcpStream, Way)> {
        let mut direct = pin!(relay::dial(addr));
        match tokio::time::timeout(HEAD_START, &mut direct).await {
            Ok(Some(stream)) => return Some((stream, Way::Direct)),
            Ok(None) => {
                let stream = self.dial_around(addr).await?;
                return Some((stream, Way::Around));
            }
            Err(_) => {}
        }
        tokio::select! {
            Some(stream) = direct => Some((stream, Way::Direct)),
            Some(stream) = self.dial_around(addr) => Some((stream, Way::Around)),
            else => None,
        }
    }

    /// Connects to a member by way of another entry, the first of those asked that reaches it.
    /// Entries pass on to no other address.
    async fn dial_around(&self, addr: SocketAddr) -> Option<TcpStream> {
        if !self.members.lock().contains(&addr) {
            return None;
        }
        let peers = self.peers.lock().clone();
        let mut dials: FuturesUnordered<_> = peers
            .into_iter()
            .map(|peer| async move { (peer, relay::dial_via(peer, addr).await) })
            .collect();
        while let Some((peer, stream)) = dials.next().await {
            if let Some(stream) = stream {
                tracing::info!(%addr, %peer, "a replica is reached by way of another entry");
                metrics::counter!("fw_replica_detours_total").increment(1);
                return Some(stream);
            }
        }
        None
    }
}

impl Links {
    /// The members are these from now on; connections to others are dropped.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.links.lock().retain(|addr, _| members.contains(addr));
        self.costs.lock().retain(|addr, _| members.contains(addr));
        *self.ways.members.lock() = members;
    }

    /// Sorts replicas: the quickest first, those that failed lately last.
    pub fn sort(&self, addrs: &mut [SocketAddr]) {
        let costs = self.costs.lock();
        addrs.sort_by_key(|addr| {
            let cost = costs.get(addr).copied().unwrap_or_default();
            let failed = cost.failed.is_some_and(|at| at.elapsed() < AVOID);
            (failed, cost.took)
        });
    }

    /// Takes entries that pass connections on, unless there are none.
    pub fn learn_peers(&self, peers: &[SocketAddr]) {
        if !peers.is_empty() {
            peers.clone_into(&mut self.ways.peers.lock());
        }
    }

    /// Makes one call, and learns from it how quick the replica is.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let started = Instant::now();
        let answer = self.call_that_waits(addr, send).await?;
        self.answered(addr, started.elapsed());
        Some(answer)
    }

    /// Makes one call that the replica may hold for a while. A connection that fails or goes silent
    /// is dropped, so that the next call makes a new one: a connection may go silent for good while
    /// new ones work.
    pub async fn call_that_waits<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let link = Arc::clone(self.links.lock().entry(addr).or_default());
        let connected = self.connected(&link, addr).await;
        let Some((client, generation)) = connected else {
            self.failed(addr, "no connection");
            return None;
        };
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + ANSWER;
        match tokio::time::timeout(ANSWER, send(client, cx)).await {
            Ok(Ok(answer)) => Some(answer),
            failed => {
                let why = match failed {
                    Ok(Err(err)) => err.to_string(),
                    _ => format!("no answer within {ANSWER:?}"),
                };
                self.failed(addr, &why);
                let mut link = link.lock().await;
                if link.generation == generation {
                    link.connected = None;
                }
                None
            }
        }
    }

    async fn connected(
        &self,
        shared: &Arc<tokio::sync::Mutex<Link>>,
        addr: SocketAddr,
    ) -> Option<(service::ReplicaClient, u64)> {
        let mut link = shared.lock().await;
        if let Some(client) = link.open_client() {
            if link.detour.is_some_and(|tried| tried.elapsed() > DETOUR) {
                link.detour = Some(Instant::now());
                tokio::spawn(straighten(Arc::clone(shared), addr));
            }
            return Some((client, link.generation));
        }
        // Callers do not wait, one after the other, for a replica that is down.
        if let Some(wanted) = &mut link.wanted {
            *wanted = Instant::now();
            return None;
        }
        let Some((stream, way)) = self.ways.dial(addr).await else {
            link.wanted = Some(Instant::now());
            let ways = Arc::clone(&self.ways);
            tokio::spawn(reconnect(ways, Arc::clone(shared), addr));
            return None;
        };
        let client = link.connect(stream, way);
        Some((client, link.generation))
    }

    /// A call was answered after `took`.
    fn answered(&self, addr: SocketAddr, took: Duration) {
        let mut costs = self.costs.lock();
        let cost = costs.entry(addr).or_default();
        cost.took = if cost.took.is_zero() {
            took
        } else {
            cost.took * 7 / 8 + took / 8
        };
        if cost.failed.take().is_some() {
            tracing::info!(%addr, ms = took.as_millis() as u64, "a replica answers again");
        }
    }

    /// A call was not answered. Only the first of several in a row is logged.
    fn failed(&self, addr: SocketAddr, why: &str) {
        metrics::counter!("fw_replica_call_failures_total").increment(1);
        let mut costs = self.costs.lock();
        let cost = costs.entry(addr).or_default();
        if cost.failed.replace(Instant::now()).is_none() {
            tracing::warn!(%addr, why, "a replica does not answer");
        }
    }
}

/// Tries to connect to a replica again, for as long as calls to it were made lately.
///
/// *Failure:* after a loss of all power, entries are back some hundred milliseconds before the
/// replicas. With a pause of 300 ms between two attempts, turns were refused for as long after the
/// replicas were back.
async fn reconnect(ways: Arc<Ways>, shared: Arc<tokio::sync::Mutex<Link>>, addr: SocketAddr) {
    loop {
        tokio::time::sleep(AGAIN).await;
        let connected = ways.dial(addr).await;
        let mut link = shared.lock().await;
        if let Some((stream, way)) = connected {
            link.connect(stream, way);
            return;
        }
        if link.wanted.is_none_or(|at| at.elapsed() >= TRY_FOR) {
            link.wanted = None;
            return;
        }
    }
}

/// Goes back to the direct way if there is one again.
async fn straighten(link: Arc<tokio::sync::Mutex<Link>>, addr: SocketAddr) {
    let Some(stream) = relay::dial(addr).await else {
        return;
    };
    tracing::info!(%addr, "a replica is reached directly again");
    let mut link = link.lock().await;
    link.connect(stream, Way::Direct);
}
