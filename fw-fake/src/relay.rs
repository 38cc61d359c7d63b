//! TCP relay that can blackhole its open connections while new ones work.
//!
//! This simulates a firewall or NAT that drops its connection state: neither end is notified, and
//! packets of the old connections are discarded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinSet;

/// Size of the forwarding buffer, in bytes.
const CHUNK: usize = 16 << 10;

/// Handle to a running relay, which stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Relay {
    running: Arc<Running>,
}

#[derive(Debug)]
struct Running {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Connections opened in an earlier epoch are blackholed.
    epoch: AtomicU64,
    accepted: AtomicU64,
    blackholed_with_data: AtomicU64,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, Arc::clone(&shared)));
        let running = Arc::new(Running {
            addr,
            shared,
            _tasks: tasks,
        });
        Ok(Self { running })
    }

    /// Listen address.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    /// Blackholes all currently open connections permanently.
    pub fn blackhole(&self) {
        self.running.shared.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.running.shared.accepted.load(Ordering::Relaxed)
    }

    /// Number of blackholed connections on which the caller has sent data.
    pub fn blackholed_with_data(&self) -> u64 {
        self.running
            .shared
            .blackholed_with_data
            .load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    while let Ok((caller, _)) = listener.accept().await {
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        connections.spawn(connect(caller, target, Arc::clone(&shared)));
        while connections.try_join_next().is_some() {}
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let epoch = shared.epoch.load(Ordering::Relaxed);
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let upload = forward(from_caller, to_server, epoch, &shared, true);
    let download = forward(from_server, to_caller, epoch, &shared, false);
    tokio::join!(upload, download);
}

/// Forwards bytes until end of stream, or discards them once the connection is blackholed. A
/// blackholed connection does not pass on to the caller that the server has closed it.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    epoch: u64,
    shared: &Shared,
    is_upload: bool,
) {
    let mut buf = vec![0; CHUNK];
    let mut is_counted = false;
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        let is_blackholed = shared.epoch.load(Ordering::Relaxed) != epoch;
        if is_blackholed && read > 0 && is_upload && !is_counted {
            shared.blackholed_with_data.fetch_add(1, Ordering::Relaxed);
            is_counted = true;
        }
        match (read, is_blackholed) {
            (0, true) if !is_upload => return std::future::pending().await,
            (0, _) => return,
            (_, true) => (),
            (_, false) => {
                if to.write_all(&buf[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
