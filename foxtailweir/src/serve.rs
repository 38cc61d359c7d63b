//! An entry from its start to its end.

use std::time::Duration;

use fw_conf::entry;
use fw_entry::process::serve;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::signal::unix;
use tracing::info;

/// Time between two sweeps of histograms, which would otherwise grow until somebody scrapes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why an entry does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(transparent)]
    Bind {
        /// Which, and why not.
        source: serve::Error,
    },
    /// The system refuses something else.
    #[snafu(display("cannot {operation}: {source}"))]
    System {
        /// What was tried.
        operation: &'static str,
        /// Why not.
        source: std::io::Error,
    },
}

/// Installs the recorder of metrics; `None` if the process has one already.
pub fn recorder() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// Runs an entry until `stop` is ready, then stops it gracefully. Calls `on_started` with its
/// addresses as soon as it serves.
///
/// # Errors
///
/// When it cannot start.
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
    info!(admin = %addrs.admin, "operators are answered");
    on_started(addrs);
    stop.await;
    let stopped = running.stop().await;
    if let Some(upkeep) = upkeep {
        upkeep.abort();
    }
    Ok(stopped)
}

/// Ready once the process is told to stop, by SIGTERM or SIGINT.
///
/// # Errors
///
/// When the system does not deliver signals.
pub fn stop_signal() -> Result<impl Future<Output = ()>, Error> {
    let operation = "take signals";
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

/// Sweeps histograms until aborted.
pub fn spawn_upkeep(metrics: PrometheusHandle) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            metrics.run_upkeep();
        }
    })
}
