//! A replica from its start to its end.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use fw_http::socket;
use snafu::{ResultExt, Snafu};
use tarpc::server::{BaseChannel, Channel};
use tokio::task::JoinSet;

use crate::service::Replica;
use crate::{codec, journal, member, server, sync};

/// Time for calls under way when the process is told to stop: a few syncs of a slow disk.
const DRAIN: Duration = Duration::from_millis(300);

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its folder for data.
    pub dir: PathBuf,
    /// What it is among the others.
    pub sync: sync::Options,
}

/// Why a replica does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The data cannot be used.
    #[snafu(transparent)]
    Journal {
        /// Why not.
        source: journal::Error,
    },
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why not.
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
    let run = u64::from(std::process::id()) ^ server::unix_ms().rotate_left(20);
    let shared = server::Shared::open(&opts.dir, run)?;
    tracing::info!(
        replica = %opts.sync.name,
        addr = %opts.listen,
        synced = shared.is_synced(),
        first_start = opts.sync.first_start,
        "replica starts"
    );
    let addr = opts.listen;
    let mut incoming = tarpc::serde_transport::tcp::listen(addr, codec::Postcard::default)
        .await
        .context(ListenSnafu { addr })?;
    incoming.config_mut().max_frame_length(codec::MAX_FRAME);
    let syncing = sync::Sync::new(opts.sync, Arc::clone(&shared), registry);
    let mut tasks = JoinSet::new();
    tasks.spawn(syncing.run());
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = incoming.next() => accepted,
            () = &mut stop => break,
        };
        // A peer that closes before it is accepted costs that connection only.
        let Some(Ok(transport)) = accepted else {
            continue;
        };
        // Fails only on a socket that is closed, which the first read shows.
        let _ = socket::watch_silence(&socket2::SockRef::from(transport.get_ref()));
        let calls = BaseChannel::with_defaults(transport)
            .execute(server::Server(Arc::clone(&shared)).serve())
            .for_each_concurrent(None, |answer| answer);
        tasks.spawn(calls);
        while tasks.try_join_next().is_some() {}
    }
    tracing::info!("replica stops");
    drop(incoming);
    tokio::time::sleep(DRAIN).await;
    Ok(())
}
