//! Running a replica: startup, connections and shutdown.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use fw_base::clock;
use fw_http::socket;
use fw_plan::lapse;
use snafu::{ResultExt, Snafu};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use xxhash_rust::xxh3;

use crate::service::Replica;
use crate::{codec, journal, member, server, startup, sync};

/// Time for calls in flight at shutdown: a few syncs of a slow disk.
const DRAIN: Duration = Duration::from_millis(300);

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to listen on.
    pub listen: Vec<SocketAddr>,
    /// Data directory.
    pub dir: PathBuf,
    /// How outages of the platform's store are detected.
    pub lapse: lapse::Options,
    /// Identity of the replica and layout of the system.
    pub sync: sync::Options,
}

/// Errors at startup.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The journal cannot be opened.
    #[snafu(transparent)]
    Journal {
        /// The cause.
        source: journal::Error,
    },
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs a replica until `stop` is ready.
///
/// # Errors
///
/// When it cannot start.
pub async fn run(
    opts: Options,
    registry: member::SharedRegistry,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let mut startup = startup::Startup::new(clock::process_start());
    // Replicas that start together may have the same process id, each on its own machine.
    let name = xxh3::xxh3_64(opts.sync.name.as_bytes());
    let run = name ^ u64::from(std::process::id()) ^ server::unix_ms().rotate_left(20);
    let shared_opts = server::Options {
        lapse: opts.lapse,
        run,
        ..server::Options::default()
    };
    let shared = server::Shared::open(&opts.dir, shared_opts)?;
    startup.journal_read();
    tracing::info!(
        replica = %opts.sync.name,
        addr = ?opts.listen,
        synced = shared.is_synced(),
        first_start = opts.sync.first_start,
        "replica starts"
    );
    let mut listeners = Vec::new();
    for addr in opts.listen {
        let listener = TcpListener::bind(addr).await;
        listeners.push(listener.context(ListenSnafu { addr })?);
    }
    startup.listening();
    let mut tasks = JoinSet::new();
    tasks.spawn(sync::Sync::new(opts.sync, Arc::clone(&shared), registry, startup).run());
    for listener in listeners {
        tasks.spawn(accept(listener, Arc::clone(&shared)));
    }
    stop.await;
    tracing::info!("replica stops");
    tokio::time::sleep(DRAIN).await;
    Ok(())
}

/// Serves connections on `listener` until dropped.
async fn accept(listener: TcpListener, shared: Arc<server::Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Fails only on a closed socket, which the first read reports.
        let _ = socket::set_options(&socket2::SockRef::from(&stream));
        let transport =
            tarpc::serde_transport::new(codec::framed(stream), codec::Postcard::default());
        let calls = BaseChannel::with_defaults(transport)
            .execute(server::Server(Arc::clone(&shared)).serve())
            .for_each_concurrent(None, |answer| answer);
        connections.spawn(calls);
        while connections.try_join_next().is_some() {}
    }
}
