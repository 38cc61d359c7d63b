//! Connections to replicas, each kept until it fails, and what they show of a replica's speed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::{codec, relay, service};

/// How long a replica that refused a connection is not tried again.
const CONNECT: Duration = Duration::from_millis(300);
/// How long a connection by way of another entry is used before the direct way is tried again.
const DETOUR: Duration = Duration::from_secs(5);
/// Longest wait for one answer: several times a slow disk's sync with a queue before it.
const ANSWER: Duration = Duration::from_millis(700);
/// How long a replica that failed is asked last.
const AVOID: Duration = Duration::from_secs(1);

/// One connection, kept until it fails.
#[derive(Debug, Default)]
struct Link {
    client: Option<service::ReplicaClient>,
    /// Grows with each new connection, so that a late failure does not drop a newer one.
    generation: u64,
    failed: Option<Instant>,
    /// Since when it goes by way of another entry.
    detour: Option<Instant>,
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
    /// Entries that pass connections on to members.
    peers: Mutex<Vec<SocketAddr>>,
    members: Mutex<Vec<SocketAddr>>,
}

impl Links {
    /// The members are these from now on; connections to others are dropped.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.links.lock().retain(|addr, _| members.contains(addr));
        self.costs.lock().retain(|addr, _| members.contains(addr));
        *self.members.lock() = members;
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
            peers.clone_into(&mut self.peers.lock());
        }
    }

    /// Makes one call. A connection that fails or goes silent is dropped, so that the next call
    /// makes a new one: a connection may go silent for good while new ones work.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(service::ReplicaClient, tarpc::context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let link = Arc::clone(self.links.lock().entry(addr).or_default());
        let started = Instant::now();
        let connected = self.connected(&link, addr).await;
        let Some((client, generation)) = connected else {
            self.note(addr, None);
            return None;
        };
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + ANSWER;
        match tokio::time::timeout(ANSWER, send(client, cx)).await {
            Ok(Ok(answer)) => {
                self.note(addr, Some(started.elapsed()));
                Some(answer)
            }
            failed => {
                let why = match failed {
                    Ok(Err(err)) => err.to_string(),
                    _ => format!("no answer within {ANSWER:?}"),
                };
                tracing::warn!(%addr, why, "a call to a replica failed");
                metrics::counter!("fw_replica_call_failures_total").increment(1);
                self.note(addr, None);
                let mut link = link.lock().await;
                if link.generation == generation {
                    link.client = None;
                }
                None
            }
        }
    }

    async fn connected(
        &self,
        link: &tokio::sync::Mutex<Link>,
        addr: SocketAddr,
    ) -> Option<(service::ReplicaClient, u64)> {
        let mut link = link.lock().await;
        let detour_is_old = link.detour.is_some_and(|since| since.elapsed() > DETOUR);
        if let Some(client) = link.client.as_ref().filter(|_| !detour_is_old) {
            return Some((client.clone(), link.generation));
        }
        // Callers that waited for a connection which was refused share the refusal.
        if link.failed.is_some_and(|at| at.elapsed() < CONNECT) {
            return None;
        }
        let (direct, mut detour) = (relay::dial(addr).await, None);
        let stream = match direct {
            Some(stream) => Some(stream),
            None => {
                detour = Some(Instant::now());
                self.dial_around(addr).await
            }
        };
        let Some(stream) = stream else {
            link.failed = Some(Instant::now());
            return None;
        };
        let framed = tarpc::serde_transport::new(codec::framed(stream), codec::Postcard::default());
        let client = service::ReplicaClient::new(tarpc::client::Config::default(), framed).spawn();
        link.failed = None;
        link.generation += 1;
        link.client = Some(client.clone());
        link.detour = detour;
        Some((client, link.generation))
    }

    /// Connects to a member by way of another entry; entries pass on to no other address.
    async fn dial_around(&self, addr: SocketAddr) -> Option<tokio::net::TcpStream> {
        if !self.members.lock().contains(&addr) {
            return None;
        }
        let peers = self.peers.lock().clone();
        for peer in peers {
            if let Some(stream) = relay::dial_by(peer, addr).await {
                tracing::info!(%addr, %peer, "a replica is reached by way of another entry");
                metrics::counter!("fw_replica_detours_total").increment(1);
                return Some(stream);
            }
        }
        None
    }

    /// Notes how long a call took; `None` if it failed.
    fn note(&self, addr: SocketAddr, took: Option<Duration>) {
        let mut costs = self.costs.lock();
        let cost = costs.entry(addr).or_default();
        match took {
            Some(took) if cost.took.is_zero() => cost.took = took,
            Some(took) => cost.took = cost.took * 7 / 8 + took / 8,
            None => cost.failed = Some(Instant::now()),
        }
        if took.is_some() {
            cost.failed = None;
        }
    }
}
