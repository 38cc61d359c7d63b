//! Runs an entry from start to graceful shutdown, with its metrics recorder and stop signals.

use std::time::Duration;

use fw_conf::entry;
use fw_entry::process::serve;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::signal::unix;
use tracing::info;

/// Time between two upkeep runs of the recorder. Without them, histogram samples accumulate until
/// the next scrape.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why an entry does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be bound.
    #[snafu(transparent)]
    Bind {
        /// The address and the cause.
        source: serve::Error,
    },
    /// Another system call failed.
    #[snafu(display("cannot {operation}: {source}"))]
    System {
        /// The operation, in words that follow "cannot".
        operation: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Installs the global metrics recorder; `None` if the process has one already.
pub fn recorder() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// Runs an entry until `stop` completes, then shuts it down gracefully. Calls `on_started` with the
/// entry's addresses as soon as it serves.
///
/// # Errors
///
/// When the entry cannot start.
pub async fn run(
    settings: entry::Settings,
    metrics: Option<PrometheusHandle>,
    on_started: impl FnOnce(serve::Addresses),
    stop: impl Future<Output = ()>,
) -> Result<serve::Stopped, Error> {
    let bound = serve::Bound::new(settings).await?;
    let upkeep = metrics.clone().map(spawn_upkeep);
    let operation = "read the addresses";
    let running = bound.start(metrics).context(SystemSnafu { operation })?;
    let addrs = running.addresses();
    info!(admin = %addrs.admin, "admin address is served");
    on_started(addrs);
    stop.await;
    let stopped = running.stop().await;
    if let Some(upkeep) = upkeep {
        upkeep.abort();
    }
    Ok(stopped)
}

/// Completes on SIGTERM or SIGINT.
///
/// # Errors
///
/// When a signal handler cannot be installed.
pub fn stop_signal() -> Result<impl Future<Output = ()>, Error> {
    let operation = "install signal handlers";
    let mut term =
        unix::signal(unix::SignalKind::terminate()).context(SystemSnafu { operation })?;
    let mut int = unix::signal(unix::SignalKind::interrupt()).context(SystemSnafu { operation })?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// Spawns a task that runs the recorder's upkeep until aborted.
pub fn spawn_upkeep(metrics: PrometheusHandle) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            metrics.run_upkeep();
        }
    })
}
