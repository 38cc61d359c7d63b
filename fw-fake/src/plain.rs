//! Stand-in for a plain service or a tool: records each request that it ran, and injects faults.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures_util::FutureExt;
use fw_base::digest;
use fw_check::event;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::engine::process;
use crate::recording;

/// Header with the idempotency key of the caller.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum number of body bytes recorded per request.
const MAX_RECORDED_BODY: usize = 64 << 10;

/// Behaviour of a stand-in service.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Processing time of each request.
    pub delay: Duration,
    /// Delay before a crashed service restarts; `None` disables automatic restarts.
    pub restart_after: Option<Duration>,
    /// Where runs and crashes are recorded; `None` records nothing.
    pub recording: Option<recording::Recording>,
}

/// Fault injected into subsequent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The request runs but is never answered.
    Hang,
    /// The service crashes before the request runs.
    CrashBefore,
    /// The service crashes after the request has run and before it is answered.
    CrashAfter,
    /// The request does not run and is answered with this status.
    Status(u16),
}

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// Value of the `Idempotency-Key` header, if present.
    pub key: Option<String>,
    /// First 64 KiB of the body.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Shared {
    control: Arc<process::Control>,
    delay: Mutex<Duration>,
    fault: Mutex<Fault>,
    runs: Mutex<Vec<Run>>,
    recording: Option<recording::Recording>,
}

/// A running stand-in service. Dropping it stops the service as a crash does.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    process: process::Process,
}

impl Service {
    /// Starts a service on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn spawn(opts: Options) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            control: process::Control::new(opts.restart_after),
            delay: Mutex::new(opts.delay),
            recording: opts.recording.map(recording::Recording::with_unique_name),
            ..Shared::default()
        });
        let state = shared.clone();
        let serve = move |listener| serve(listener, state.clone()).boxed_local();
        let process = process::Process::spawn(shared.control.clone(), serve)?;
        Ok(Self { shared, process })
    }

    /// Listen address, which a restart keeps.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// Sets the fault for subsequent requests.
    pub fn fault(&self, fault: Fault) {
        *self.shared.fault.lock() = fault;
    }

    /// Sets the processing time of subsequent requests.
    pub fn slow(&self, delay: Duration) {
        *self.shared.delay.lock() = delay;
    }

    /// Crashes the service: drops all connections and refuses new ones. The recorded runs are kept.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Restarts a crashed service on its previous port.
    ///
    /// # Errors
    ///
    /// When the port cannot be rebound.
    pub fn restart(&self) -> io::Result<()> {
        self.process.restart()
    }

    /// All requests that ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().clone()
    }

    /// Number of requests that ran with this idempotency key.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = self.shared.runs.lock();
        let same = |run: &&Run| run.key.as_deref() == Some(key);
        runs.iter().filter(same).count()
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let _crash_guard = recording::CrashGuard(shared.recording.clone());
    let router = Router::new()
        .fallback(handle)
        .layer(DefaultBodyLimit::disable())
        .with_state(shared);
    process::serve_http(listener, router).await;
}

async fn handle(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let fault = *shared.fault.lock();
    match fault {
        Fault::CrashBefore => return crash(&shared).await,
        Fault::Status(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            return (status, "injected by the test").into_response();
        }
        Fault::None | Fault::Hang | Fault::CrashAfter => {}
    }
    let run = Run {
        method: method.as_str().into(),
        path: uri.to_string(),
        key: idempotency_key(&headers),
        body: body.slice(..body.len().min(MAX_RECORDED_BODY)),
    };
    shared.runs.lock().push(run);
    let recorded = shared.recording.as_ref().map(|log| {
        let request = event::request_digest(method.as_str(), &uri.to_string(), &body);
        (log, log.record_run_start(event::Work::Plain(request)))
    });
    let delay = *shared.delay.lock();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match fault {
        Fault::Hang => std::future::pending().await,
        Fault::CrashAfter => crash(&shared).await,
        _ => {
            if let Some((recording, run)) = recorded {
                recording.record_run_end(run, Some(digest::Digest::of_bytes(&body)));
            }
            echo(&headers, body)
        }
    }
}

/// Crashes the service, which also closes the connection of the pending request.
async fn crash(shared: &Shared) -> Response {
    shared.control.crash();
    std::future::pending().await
}

fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let key = headers.get(KEY_HEADER)?.to_str().ok()?;
    Some(key.to_owned())
}

/// Echoes the request body, so that a test can match an answer to its request.
fn echo(headers: &HeaderMap, body: Bytes) -> Response {
    let plain = header::HeaderValue::from_static("text/plain");
    let content_type = headers.get(header::CONTENT_TYPE).cloned().unwrap_or(plain);
    ([(header::CONTENT_TYPE, content_type)], body).into_response()
}
