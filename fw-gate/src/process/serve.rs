//! An entry from its start to its end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fw_replica::relay;
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::gate;
use crate::connection::listen;

/// Time for whoever sends callers here to notice that the entry is not ready: it asks once a
/// second and believes two misses.
const UNREADY_PROPAGATION: Duration = Duration::from_millis(2_600);
/// Part of the grace that is left when the entry stops waiting for requests under way.
const GRACE_RESERVE: Duration = Duration::from_millis(500);

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// What its requests share.
    pub gate: gate::Options,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it passes connections of other entries on to replicas.
    pub relay: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Time from the signal to stop until it is killed.
    pub grace: Duration,
    /// How the platform's store is followed.
    pub follow: fw_follow::Options,
}

/// Why an entry does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why not.
        source: io::Error,
    },
}

/// Runs an entry until `stop` is ready, and then until its requests under way are answered.
///
/// # Errors
///
/// When it cannot start.
pub async fn run<A>(opts: Options, area: A, stop: impl Future<Output = ()>) -> Result<(), Error>
where
    A: fw_follow::Area<Change = gate::Change>,
{
    let bind = |addr| listen::bind(addr).context(ListenSnafu { addr });
    let callers = bind(opts.callers)?;
    let ready = bind(opts.ready)?;
    let relayed = bind(opts.relay)?;
    let gate = gate::Gate::new(opts.gate);
    tracing::info!(callers = %opts.callers, ready = %opts.ready, "entry starts");

    let applier = Arc::clone(&gate);
    // Dropped with this future, so that an entry which is killed leaves nothing running.
    let mut tasks = JoinSet::new();
    let schedule = gate::Schedule(Arc::clone(&gate));
    tasks.spawn(fw_follow::follow(
        area,
        opts.follow,
        schedule,
        move |step| applier.apply(step),
    ));
    tasks.spawn(Arc::clone(&gate).poll_replicas());
    tasks.spawn(Arc::clone(&gate).report_quotas());
    tasks.spawn(relay::serve(relayed, Arc::clone(&gate.replicas)));
    let ready_gate = Arc::clone(&gate);
    let path = opts.ready_path;
    tasks.spawn(listen::serve_pages(ready, move |requested_path| {
        let is_ready_path = requested_path == path;
        match is_ready_path && ready_gate.is_ready() {
            true => (StatusCode::OK, String::from("ready\n")),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n")),
        }
    }));
    let close = CancellationToken::new();
    let serving = listen::serve(callers, Arc::clone(&gate), close.clone());
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => {}
        () = stop => {}
    }
    tracing::info!(grace = ?opts.grace, "entry stops");
    gate.stop();
    let propagation = UNREADY_PROPAGATION.min(opts.grace / 3);
    // Callers are served until whoever sends them here has noticed.
    let _ = tokio::time::timeout(propagation, &mut serving).await;
    close.cancel();
    let rest = opts.grace.saturating_sub(propagation + GRACE_RESERVE);
    let drained = tokio::time::timeout(rest, &mut serving).await.is_ok();
    tracing::info!(drained, "entry has stopped");
    Ok(())
}
