//! The entry process: startup, serving and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fw_replica::relay;
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::{gate, memory, startup};
use crate::connection::listen;

/// Time for load balancers to notice that the entry is not ready: they check its readiness once a second
/// and take it out after two failed checks.
const UNREADY_PROPAGATION: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is left when the entry stops waiting for requests in flight.
const GRACE_RESERVE: Duration = Duration::from_millis(500);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings of the state that its requests share.
    pub gate: gate::Options,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which it relays other entries' connections to replicas.
    pub relay: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// How the platform's store is followed.
    pub follow: fw_follow::Options,
}

/// Why an entry cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs an entry until `stop` completes, and then until its requests in flight are answered.
///
/// # Errors
///
/// When it cannot start.
pub async fn run<A>(opts: Options, area: A, stop: impl Future<Output = ()>) -> Result<(), Error>
where
    A: fw_follow::Source<Change = gate::Change>,
{
    let bind = |addr| listen::bind(addr).context(ListenSnafu { addr });
    let instance_memory = opts.gate.features.instance_memory;
    let gate = gate::Gate::new(opts.gate);
    gate.startup.reach(startup::Step::Runtime);
    let callers = bind(opts.callers)?;
    let ready = bind(opts.ready)?;
    let relayed = bind(opts.relay)?;
    gate.startup.reach(startup::Step::Listening);
    tracing::info!(callers = %opts.callers, ready = %opts.ready, "entry starts");

    let applier = Arc::clone(&gate);
    // Dropped with this future, so that an entry which is aborted leaves no task running.
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
    tasks.spawn(memory::watch(Arc::clone(&gate), instance_memory));
    tasks.spawn(Arc::clone(&gate.quarantine).follow());
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
    // New callers are served until load balancers have noticed that the entry is not ready.
    let _ = tokio::time::timeout(propagation, &mut serving).await;
    close.cancel();
    let rest = opts.grace.saturating_sub(propagation + GRACE_RESERVE);
    let drained = tokio::time::timeout(rest, &mut serving).await.is_ok();
    tracing::info!(drained, "entry has stopped");
    Ok(())
}
