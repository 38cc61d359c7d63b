//! Stand-in of a plain service or a tool: records each request that it ran, and fails on demand.

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
use crate::notes;

/// Header with the caller's idempotency key.
const KEY: &str = "idempotency-key";

/// Largest body that is kept of a request, in bytes.
const KEPT_BODY: usize = 64 << 10;

/// How a stand-in service behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Time that each request takes.
    pub delay: Duration,
    /// How long a crashed service stays down; for good if absent.
    pub restart_after: Option<Duration>,
    /// Where runs and crashes are noted; nowhere if absent.
    pub notes: Option<notes::Notes>,
}

/// What goes wrong with the next requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The request runs and is never answered.
    Hang,
    /// The service crashes before the request runs.
    CrashBefore,
    /// The service crashes after the request ran, before it is answered.
    CrashAfter,
    /// The request does not run and is answered with this status.
    Status(u16),
}

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// The `Idempotency-Key`, if the request had one.
    pub key: Option<String>,
    /// The body's first bytes, 64 KiB at most.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Shared {
    control: Arc<process::Control>,
    delay: Mutex<Duration>,
    fault: Mutex<Fault>,
    runs: Mutex<Vec<Run>>,
    notes: Option<notes::Notes>,
}

/// A running stand-in service; dropped, it crashes for good.
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
            notes: opts.notes.map(notes::Notes::named),
            ..Shared::default()
        });
        let lives = shared.clone();
        let serve = move |listener| serve(listener, lives.clone()).boxed_local();
        let process = process::Process::spawn(shared.control.clone(), serve)?;
        Ok(Self { shared, process })
    }

    /// Where the service listens, also after a restart.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// Sets what goes wrong from now on.
    pub fn fault(&self, fault: Fault) {
        *self.shared.fault.lock() = fault;
    }

    /// Sets how long each request takes from now on.
    pub fn slow(&self, delay: Duration) {
        *self.shared.delay.lock() = delay;
    }

    /// Drops all connections and refuses new ones. What ran stays recorded.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Starts a crashed service again on its old port.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound again.
    pub fn restart(&self) -> io::Result<()> {
        self.process.restart()
    }

    /// Every request that ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().clone()
    }

    /// How many requests ran under this idempotency key.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = self.shared.runs.lock();
        let same = |run: &&Run| run.key.as_deref() == Some(key);
        runs.iter().filter(same).count()
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let _noted = notes::Life(shared.notes.clone());
    let router = Router::new()
        .fallback(answer)
        .layer(DefaultBodyLimit::disable())
        .with_state(shared);
    process::serve_http(listener, router).await;
}

async fn answer(
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
        key: key_of(&headers),
        body: body.slice(..body.len().min(KEPT_BODY)),
    };
    shared.runs.lock().push(run);
    let noted = shared.notes.as_ref().map(|notes| {
        let request = event::request_digest(method.as_str(), &uri.to_string(), &body);
        (notes, notes.run_started(event::Work::Plain(request)))
    });
    let delay = *shared.delay.lock();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match fault {
        Fault::Hang => std::future::pending().await,
        Fault::CrashAfter => crash(&shared).await,
        _ => {
            if let Some((notes, run)) = noted {
                notes.run_ended(run, Some(digest::Digest::of_bytes(&body)));
            }
            echo(&headers, body)
        }
    }
}

/// Ends this life, and with it the connection that waits here.
async fn crash(shared: &Shared) -> Response {
    shared.control.crash();
    std::future::pending().await
}

fn key_of(headers: &HeaderMap) -> Option<String> {
    let key = headers.get(KEY)?.to_str().ok()?;
    Some(key.to_owned())
}

/// Answers with the request's own body, so that a test can tell whose answer it is.
fn echo(headers: &HeaderMap, body: Bytes) -> Response {
    let plain = header::HeaderValue::from_static("text/plain");
    let content_type = headers.get(header::CONTENT_TYPE).cloned().unwrap_or(plain);
    ([(header::CONTENT_TYPE, content_type)], body).into_response()
}
