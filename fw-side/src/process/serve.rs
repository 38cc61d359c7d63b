//! Startup and graceful shutdown of a side.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use futures_util::StreamExt;
use fw_conf::side;
use fw_wire::side::Side as _;
use fw_wire::transport;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::core;
use super::tasks;
use crate::connection::rpc;
use crate::connection::web;
use crate::errors;
use crate::options;
use crate::request::plain;

/// Interval of the metrics recorder's upkeep.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for connections to flush their buffered data when the side stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// A running side. Dropping it stops it immediately, as a crash would.
#[derive(Debug)]
pub struct Side {
    core: Arc<core::Core>,
    calls: SocketAddr,
    http: SocketAddr,
    tasks: JoinSet<()>,
    web: JoinSet<()>,
}

impl Drop for Side {
    fn drop(&mut self) {
        self.core.aborted.cancel();
    }
}

impl Side {
    /// Binds the addresses in the settings and starts serving.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn spawn(opts: options::Options) -> io::Result<Self> {
        let listen = &opts.settings.listen;
        let calls = TcpListener::bind(listen.calls).await?;
        let http = TcpListener::bind(listen.http).await?;
        let metrics = opts.metrics.clone().unwrap_or_else(install_recorder);
        errors::register();
        let core = Arc::new(core::Core::new(opts));
        let mut side = Self {
            calls: calls.local_addr()?,
            http: http.local_addr()?,
            tasks: JoinSet::new(),
            web: JoinSet::new(),
            core,
        };
        side.serve(calls, http, metrics);
        side.spawn_tasks();
        Ok(side)
    }

    /// Address of the RPC service for entries.
    pub fn calls(&self) -> SocketAddr {
        self.calls
    }

    /// Address of the HTTP server for plain calls and `/metrics`.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// The shared state, for tests and the demo.
    pub fn core(&self) -> &Arc<core::Core> {
        &self.core
    }

    /// Stops accepting new work, finishes the work in progress and shuts down. Returns whether all
    /// of it ended within the configured drain timeout.
    pub async fn stop(mut self) -> bool {
        self.core.leave();
        let within = self.core.opts.settings.shutdown.drain_timeout;
        let drained = self.core.wait_drained(within).await;
        if !drained {
            tracing::warn!(
                ?within,
                "work in progress did not end within the drain timeout"
            );
        }
        self.core.closing.cancel();
        // Answers have been passed to the connections, which may not have sent them yet.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.web.join_next()).await;
        tokio::time::sleep(FLUSH_TIMEOUT / 4).await;
        self.tasks.shutdown().await;
        drained
    }

    fn serve(&mut self, calls: TcpListener, http: TcpListener, metrics: PrometheusHandle) {
        let service = rpc::Service::new(self.core.clone());
        self.tasks.spawn(async move {
            transport::accept(calls, |connection: transport::SideTransport| {
                server::BaseChannel::with_defaults(connection)
                    .execute(service.clone().serve())
                    .for_each_concurrent(None, |answer| answer)
            })
            .await;
        });
        let cfg = &self.core.opts.settings.engine;
        let state = web::HttpState {
            core: self.core.clone(),
            plain: plain::Client::new(cfg.address, cfg.connect_timeout),
            metrics: metrics.clone(),
        };
        self.web
            .spawn(web::serve(http, state, self.core.closing.clone()));
        self.tasks.spawn(async move {
            loop {
                tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
                metrics.run_upkeep();
            }
        });
    }

    fn spawn_tasks(&mut self) {
        let core = &self.core;
        self.tasks.spawn(tasks::dispatch(core.clone()));
        self.tasks.spawn(tasks::monitor_upstream(core.clone()));
        self.tasks.spawn(tasks::sweep(core.clone()));
        if core.opts.settings.engine.kind == side::Kind::Llm {
            self.tasks.spawn(tasks::follow_cache(core.clone()));
            self.tasks.spawn(tasks::release_cache(core.clone()));
        }
    }
}

/// Runs a side until `shutdown` completes, then stops it. Returns whether all work in progress
/// ended.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn run(settings: side::Settings, shutdown: impl Future<Output = ()>) -> io::Result<bool> {
    let side = Side::spawn(options::Options {
        settings,
        ..options::Options::default()
    })
    .await?;
    tracing::info!(calls = %side.calls(), http = %side.http(), "serving");
    shutdown.await;
    Ok(side.stop().await)
}

/// Installs the metrics recorder of this process, once. If the process already has another
/// recorder, `/metrics` of the side stays empty and the other recorder receives the counters.
fn install_recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if another recorder is installed.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}
