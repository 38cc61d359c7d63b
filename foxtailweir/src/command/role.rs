//! `entry` and `replica`: the two roles of a process on the users' platform.

use std::net::{IpAddr, SocketAddr};

use fw_conf::balance;
use fw_gate::connection::listen;
use fw_gate::process::features;
use fw_plan::{begin, prefix};
use fw_platform::{settings, start};
use getopts::{Matches, Options};
use hyper::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use snafu::ResultExt;
use tokio::signal::unix::{self, SignalKind};

use super::{OrFail, error, exit, io};
use crate::logs;
use crate::serve;

/// Port of the metrics page if the command line gives none.
const DEFAULT_METRICS_PORT: u16 = 9_464;

pub(super) fn entry_options(options: &mut Options) {
    self::options(options);
    let about = "settings of load control; without a file, each part is on where the deployment calls for it";
    options.optopt("s", "settings", about, "FILE");
}

pub(super) fn options(options: &mut Options) {
    let about = format!(
        "serve counters on PORT of the instance's address; {DEFAULT_METRICS_PORT} if absent"
    );
    options.optopt("m", "metrics", &about, "PORT");
}

/// Runs an entry until a stop signal.
pub(super) fn entry(matches: &Matches, _: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let settings = read_settings()?;
    let port = metrics_port(matches)?;
    let features = features(matches)?;
    let _log_guard = logs::init_json();
    let (opts, source) = start::entry(&settings, features).or_fail("invalid settings")?;
    run_single_threaded(async move {
        tokio::spawn(metrics_page(settings.ip, port));
        let stop = stop_signal().or_fail("cannot wait for signals")?;
        let running = fw_gate::process::serve::run(opts, source, stop);
        running.await.or_fail("the entry failed")?;
        Ok(exit::Exit::Success)
    })
}

/// Runs a replica until a stop signal.
pub(super) fn replica(matches: &Matches, _: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let settings = read_settings()?;
    let port = metrics_port(matches)?;
    let _log_guard = logs::init_json();
    let (opts, registry) = start::replica(&settings).or_fail("invalid settings")?;
    run_single_threaded(async move {
        tokio::spawn(metrics_page(settings.ip, port));
        let stop = stop_signal().or_fail("cannot wait for signals")?;
        let running = fw_replica::serve::run(opts, registry, stop);
        running.await.or_fail("the replica failed")?;
        Ok(exit::Exit::Success)
    })
}

/// The operator's choices of the parts of load control.
fn features(matches: &Matches) -> Result<features::Options, error::Error> {
    let settings = match matches.opt_str("settings") {
        Some(path) => balance::Settings::load(path.as_ref()).context(error::SettingsSnafu)?,
        None => balance::Settings::default(),
    };
    let fair = &settings.fair_admission;
    let begin = begin::Options {
        max_load: fair.max_load,
        min_load: fair.min_load,
        due_margin: fair.due_margin,
        excess_reduction: fair.excess_reduction,
        max_retry_after: fair.retry_after_max,
        ..begin::Options::default()
    };
    Ok(features::Options {
        begin,
        prefix_cache: settings.prefix_cache.mode,
        prefix_options: prefix_options(&settings.prefix_cache),
        fair_admission: settings.fair_admission.mode,
        upstream_speed: settings.upstream_speed.mode,
        locality: settings.locality.mode,
        contention: Some(settings.upstream_speed.contention),
        hedge_plain: settings.upstream_speed.hedge_plain,
        held_bytes: settings.held_bytes.mode,
        max_held_bytes: settings.held_bytes.max_bytes,
        intake: settings.intake.mode,
        max_intake_bytes: settings.intake.max_bytes,
        intake_begin_share: Some(settings.intake.begin_share),
        locality_limits: features::LocalityLimits {
            cost_per_kib: settings.locality.cost_per_kib,
            confirm_within: settings.locality.confirm_within,
        },
        ..features::Options::default()
    })
}

fn prefix_options(settings: &balance::PrefixCache) -> prefix::Options {
    prefix::Options {
        max_wait: settings.max_wait,
        eviction_weight: settings.eviction_weight,
        shared_prefix_weight: settings.shared_prefix_weight,
        ..prefix::Options::default()
    }
}

fn read_settings() -> Result<settings::Settings, error::Error> {
    let read = settings::Settings::from_env();
    read.map_err(|err| error::Error::Usage {
        message: err.to_string(),
    })
}

fn metrics_port(matches: &Matches) -> Result<u16, error::Error> {
    let Some(text) = matches.opt_str("metrics") else {
        return Ok(DEFAULT_METRICS_PORT);
    };
    match text.parse() {
        Ok(port) => Ok(port),
        Err(_) => error::usage(format!("`{text}` is not a port: 1 to 65535")),
    }
}

/// Runs `work` on a single-threaded runtime: an instance has a fifth of a core. Only disk access
/// has threads of its own.
fn run_single_threaded<T>(
    work: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .or_fail("cannot start the runtime")?;
    runtime.block_on(work)
}

/// Completes on SIGTERM or SIGINT. SIGHUP announces a changed settings file; settings in force do
/// not change while a process runs, so the file is only checked and the result logged.
fn stop_signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut term = unix::signal(SignalKind::terminate())?;
    let mut int = unix::signal(SignalKind::interrupt())?;
    let mut hup = unix::signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = term.recv() => return,
                _ = int.recv() => return,
                _ = hup.recv() => match settings::Settings::from_env() {
                    Ok(settings) => tracing::info!(node = %settings.node_name, "settings read again"),
                    Err(err) => tracing::warn!(%err, "the changed settings file cannot be used; the settings in force stay"),
                },
            }
        }
    })
}

async fn metrics_page(ip: IpAddr, port: u16) {
    let Some(handle) = serve::recorder() else {
        return;
    };
    serve::spawn_upkeep(handle.clone());
    let addr = SocketAddr::new(ip, port);
    match listen::bind(addr) {
        Ok(listener) => {
            let page = move |path: &str| serve_page(&handle, path);
            listen::serve_pages(listener, page).await;
        }
        Err(err) => tracing::error!(%addr, %err, "no metrics are served"),
    }
}

fn serve_page(handle: &PrometheusHandle, path: &str) -> (StatusCode, String) {
    match path {
        "/metrics" => (StatusCode::OK, handle.render()),
        _ => (StatusCode::NOT_FOUND, String::from("see /metrics\n")),
    }
}
