//! Connection pool for one kind of process: one connection per address, replaced when it fails.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use parking_lot::Mutex;
use tarpc::client;

/// Counter of connections replaced because they were closed, or because a call on them failed or
/// timed out.
pub const REPLACED: &str = "fw_entry_connections_replaced_total";

/// A client that can be connected to an address.
pub trait Connect: Clone + Send + 'static {
    /// Value of the `to` label on counters.
    const LABEL: &'static str;

    /// Connects to `addr`.
    fn connect(
        addr: SocketAddr,
        within: Duration,
    ) -> impl Future<Output = io::Result<transport::Connected<Self>>> + Send;
}

impl Connect for side::SideClient {
    const LABEL: &'static str = "side";

    async fn connect(addr: SocketAddr, within: Duration) -> io::Result<transport::Connected<Self>> {
        transport::connect_side(addr, within).await
    }
}

impl Connect for peer::PeerClient {
    const LABEL: &'static str = "peer";

    async fn connect(addr: SocketAddr, within: Duration) -> io::Result<transport::Connected<Self>> {
        transport::connect_peer(addr, within).await
    }
}

/// One connection, as handed out by a [`Pool`].
#[derive(Clone, Debug)]
pub struct Connection<C> {
    connected: transport::Connected<C>,
    generation: u64,
}

/// Connections by address.
#[derive(Debug)]
pub struct Pool<C> {
    connect_timeout: Duration,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot<C>>>>,
}

#[derive(Debug)]
struct Slot<C> {
    current: tokio::sync::Mutex<Option<Connection<C>>>,
    generation: Mutex<u64>,
}

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No process listens at the address: the call was not sent.
    Refused,
    /// No connection: the call was not sent.
    Unsent,
    /// The connection failed, or the call's deadline passed: the call may have been received.
    Broken,
}

impl<C: Connect> Pool<C> {
    /// A pool without connections.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            slots: Mutex::default(),
        }
    }

    /// Calls the process at `addr`, over the open connection or a new one.
    ///
    /// A connection on which a call fails or times out is replaced: a middlebox may have dropped its
    /// state while new connections work.
    ///
    /// # Errors
    ///
    /// [`Failure`] states whether the call may have been received.
    pub async fn call<T, F>(
        &self,
        addr: SocketAddr,
        send: impl FnOnce(C) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let connection = self.get(addr).await.map_err(|err| unsent(&err))?;
        let answer = send(connection.connected.client.clone()).await;
        if let Ok(answer) = answer {
            return Ok(answer);
        }
        self.replace(addr, &connection).await;
        Err(Failure::Broken)
    }

    /// Closes the connection to `addr` and removes the address from the pool.
    pub fn forget(&self, addr: SocketAddr) {
        self.slots.lock().remove(&addr);
    }

    async fn get(&self, addr: SocketAddr) -> io::Result<Connection<C>> {
        let slot = self.slot(addr);
        let mut current = slot.current.lock().await;
        if let Some(connection) = &*current {
            if connection.connected.is_open() {
                return Ok(connection.clone());
            }
            // The peer has closed it. A call over it would fail as one that may have been received.
            metrics::counter!(REPLACED, "to" => C::LABEL).increment(1);
            *current = None;
        }
        let connected = C::connect(addr, self.connect_timeout).await?;
        let generation = {
            let mut last = slot.generation.lock();
            *last += 1;
            *last
        };
        let connection = Connection {
            connected,
            generation,
        };
        *current = Some(connection.clone());
        Ok(connection)
    }

    async fn replace(&self, addr: SocketAddr, failed: &Connection<C>) {
        let slot = self.slot(addr);
        let mut current = slot.current.lock().await;
        // Many calls fail at once on one connection: only the first removes it.
        if current
            .as_ref()
            .is_some_and(|now| now.generation == failed.generation)
        {
            *current = None;
            metrics::counter!(REPLACED, "to" => C::LABEL).increment(1);
        }
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot<C>> {
        let mut slots = self.slots.lock();
        let slot = slots.entry(addr).or_insert_with(|| {
            Arc::new(Slot {
                current: tokio::sync::Mutex::new(None),
                generation: Mutex::new(0),
            })
        });
        Arc::clone(slot)
    }
}

fn unsent(err: &io::Error) -> Failure {
    match err.kind() {
        io::ErrorKind::ConnectionRefused => Failure::Refused,
        _ => Failure::Unsent,
    }
}
