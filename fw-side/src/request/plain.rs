//! A plain call: forwarded to the upstream as it is, both bodies streamed.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::body::Body;
use axum::extract::Request;
use axum::http;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::header;
use axum::http::uri;
use axum::response::IntoResponse;
use axum::response::Response;
use futures_util::StreamExt;
use futures_util::stream;
use fw_base::error;
use fw_base::id;
use fw_conf::side;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use serde_json::json;
use snafu::Snafu;
use tokio::sync::OwnedSemaphorePermit;

use crate::errors;
use crate::process::core;

/// Id of the call, drawn by the entry: 16 hex digits.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-fw-attempt");
/// `1` if the call must run at most once.
pub const ONCE: HeaderName = HeaderName::from_static("x-fw-once");
/// Time until the caller's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-fw-deadline-ms");
/// On the side's own refusals: whether the call ran, `no`, `maybe` or `yes`.
pub const RAN: HeaderName = HeaderName::from_static("x-fw-ran");
/// On the side's own refusals: the label of the error kind. The upstream's answers never have it.
pub const ERROR: HeaderName = HeaderName::from_static("x-fw-error");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Paths of a model engine that plain calls may reach.
const ENGINE_PATHS: [&str; 2] = ["/v1/models", "/v1/embeddings"];

/// The body of an answer stopped coming.
#[derive(Debug, Snafu)]
#[snafu(display("the upstream sent nothing for {after:?}"))]
struct IdleTimeout {
    after: Duration,
}

/// Connections to the plain upstream.
#[derive(Clone, Debug)]
pub struct Client {
    pool: legacy::Client<HttpConnector, Body>,
    authority: uri::Authority,
}

impl Client {
    /// A lane to `addr`.
    ///
    /// # Panics
    ///
    /// Never: a socket address is a valid authority.
    pub fn new(addr: std::net::SocketAddr, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            // The pool sends a request again only when it got it back whole from a connection
            // that closed before the first byte was written, so none reaches the wire twice.
            .retry_canceled_requests(true)
            .build(connector);
        let authority = addr.to_string().parse();
        Self {
            pool,
            authority: authority.expect("a socket address is a valid authority"),
        }
    }
}

/// What the headers of a call ask for.
#[derive(Clone, Copy, Debug)]
struct CallOptions {
    attempt: Option<id::AttemptId>,
    at_most_once: bool,
    timeout: Duration,
}

/// How a call went without an answer of the upstream.
enum SendError {
    Unsent(error::Error),
    Sent(error::Error),
}

/// Forwards a call, or refuses it with the truth about whether it ran.
pub async fn forward(core: &Arc<core::Core>, client: &Client, req: Request) -> Response {
    match try_forward(core, client, req).await {
        Ok(answer) => answer,
        Err(err) => refusal(&err),
    }
}

async fn try_forward(
    core: &Arc<core::Core>,
    client: &Client,
    req: Request,
) -> Result<Response, error::Error> {
    let options = call_options(core, req.headers())?;
    check_path(core, req.uri().path())?;
    core.check_available()?;
    let slot = acquire_slot(core, options.timeout).await?;
    // The upstream may have begun to leave while the call waited for its place.
    core.check_available()?;
    let guard = OnceGuard::begin(core, &options)?;
    let sent = send(core, client, req, options.timeout).await;
    match sent {
        Ok(answer) => Ok(with_idle_timeout(core, answer, slot, guard)),
        Err(SendError::Unsent(err)) => {
            guard.forget_unsent();
            Err(err)
        }
        Err(SendError::Sent(err)) => Err(err),
    }
}

/// Lets only calls that generate nothing and order nothing through to a model engine.
///
/// Guards against a route that covers the engine's own paths: a caller could cancel others'
/// requests or free their memory, or fill the batch past the queue.
fn check_path(core: &core::Core, path: &str) -> Result<(), error::Error> {
    let is_engine = core.opts.settings.engine.kind == side::Kind::Llm;
    if !is_engine || ENGINE_PATHS.contains(&path) {
        return Ok(());
    }
    let why = format!("a model engine takes plain calls to {ENGINE_PATHS:?} only, not `{path}`");
    Err(errors::counted(error::Kind::UnknownRoute, why))
}

fn call_options(core: &core::Core, headers: &HeaderMap) -> Result<CallOptions, error::Error> {
    let attempt = parse_header(headers, &ATTEMPT, |text| {
        id::AttemptId::from_str_radix(text, 16).ok()
    })?;
    let at_most_once = headers.get(ONCE).is_some_and(|value| value == "1");
    if at_most_once && attempt.is_none() {
        let why = "a call with `x-fw-once: 1` needs `x-fw-attempt`";
        return Err(errors::counted(error::Kind::BadRequest, why));
    }
    let millis: Option<u64> = parse_header(headers, &DEADLINE, |text| text.parse().ok())?;
    let max_timeout = core.opts.settings.engine.first_token_timeout;
    Ok(CallOptions {
        attempt,
        at_most_once,
        timeout: millis
            .map_or(max_timeout, Duration::from_millis)
            .min(max_timeout),
    })
}

fn parse_header<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, error::Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value.to_str().ok().and_then(parse);
    value.map(Some).ok_or_else(|| {
        let why = format!("header `{name}` must be a whole number (`x-fw-attempt`: hexadecimal)");
        errors::counted(error::Kind::BadRequest, why)
    })
}

/// Waits a little for one of the places that programs cannot take.
async fn acquire_slot(
    core: &core::Core,
    timeout: Duration,
) -> Result<OwnedSemaphorePermit, error::Error> {
    let wait = core.opts.plain_max_wait.min(timeout);
    let slot = core.plain_slots.clone().acquire_owned();
    match tokio::time::timeout(wait, slot).await {
        Ok(Ok(slot)) => Ok(slot),
        _ => {
            let most = core.opts.plain_concurrency;
            let why = format!("{most} plain calls are under way here; try later or elsewhere");
            let err = errors::counted(error::Kind::Overloaded, why);
            Err(err.with_retry_after(core.opts.plain_max_wait))
        }
    }
}

/// Keeps the at-most-once mark of a call true however the call ends, also when its caller goes
/// away and the call is dropped half-way.
struct OnceGuard {
    core: Arc<core::Core>,
    once: Option<id::AttemptId>,
}

impl OnceGuard {
    fn begin(core: &Arc<core::Core>, options: &CallOptions) -> Result<Self, error::Error> {
        let once = options.attempt.filter(|_| options.at_most_once);
        if let Some(id) = once {
            core.at_most_once.begin(id, Instant::now())?;
        }
        Ok(Self {
            core: core.clone(),
            once,
        })
    }

    fn forget_unsent(mut self) {
        if let Some(id) = self.once.take() {
            self.core.at_most_once.forget_unsent(id);
        }
    }
}

impl Drop for OnceGuard {
    fn drop(&mut self) {
        if let Some(id) = self.once {
            self.core.at_most_once.finish(id);
        }
    }
}

async fn send(
    core: &core::Core,
    client: &Client,
    mut req: Request,
    timeout: Duration,
) -> Result<http::Response<hyper::body::Incoming>, SendError> {
    rewrite_request(client, &mut req).map_err(SendError::Unsent)?;
    match tokio::time::timeout(timeout, client.pool.request(req)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(err)) if is_unsent(&err) => {
            let why = "no connection to the upstream is made; nothing was sent";
            let retry = core.opts.settings.engine.load_poll;
            let err = errors::counted(error::Kind::NoUpstream, why);
            Err(SendError::Unsent(err.with_retry_after(retry)))
        }
        Ok(Err(err)) => Err(SendError::Sent(errors::counted(
            error::Kind::UpstreamCrashed,
            format!("the upstream closed the connection under the call: {err}"),
        ))),
        Err(_) => Err(SendError::Sent(errors::counted(
            error::Kind::UpstreamTimeout,
            format!("the upstream did not answer within {timeout:?}"),
        ))),
    }
}

/// Whether no byte was written: no connection was made, or the request came back untouched.
fn is_unsent(err: &legacy::Error) -> bool {
    if err.is_connect() {
        return true;
    }
    let mut cause = std::error::Error::source(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<hyper::Error>() {
            return err.is_canceled();
        }
        cause = err.source();
    }
    false
}

fn rewrite_request(client: &Client, req: &mut Request) -> Result<(), error::Error> {
    let mut parts = std::mem::take(req.uri_mut()).into_parts();
    parts.scheme = Some(uri::Scheme::HTTP);
    parts.authority = Some(client.authority.clone());
    let path = parts.path_and_query.take();
    parts.path_and_query = path.or_else(|| Some(uri::PathAndQuery::from_static("/")));
    *req.uri_mut() = http::Uri::from_parts(parts)
        .map_err(|err| errors::counted(error::Kind::BadRequest, err.to_string()))?;
    *req.version_mut() = http::Version::HTTP_11;
    strip_hop_by_hop(req.headers_mut());
    req.headers_mut().remove(ONCE);
    req.headers_mut().remove(DEADLINE);
    Ok(())
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The answer as it comes, ended by an error when the upstream goes silent in its midst.
fn with_idle_timeout(
    core: &core::Core,
    answer: http::Response<hyper::body::Incoming>,
    slot: OwnedSemaphorePermit,
    guard: OnceGuard,
) -> Response {
    let after = core.opts.settings.engine.between_tokens_timeout;
    let (mut head, body) = answer.into_parts();
    strip_hop_by_hop(&mut head.headers);
    // Both belong to the side alone; an upstream must not be taken for it.
    head.headers.remove(ERROR);
    head.headers.remove(RAN);
    let body = Body::new(body).into_data_stream();
    let state = (body, slot, guard);
    let chunks = stream::unfold(Some(state), move |state| async move {
        let mut state = state?;
        match tokio::time::timeout(after, state.0.next()).await {
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some(state))),
            Ok(Some(Err(err))) => Some((Err(err), None)),
            Ok(None) => None,
            Err(_) => Some((Err(axum::Error::new(IdleTimeout { after })), None)),
        }
    });
    Response::from_parts(head, Body::from_stream(chunks))
}

/// The JSON form of an error, with its status and headers from the one table.
fn refusal(err: &error::Error) -> Response {
    let row = err.kind.row();
    let ran = match row.ran {
        error::Ran::No => "no",
        error::Ran::Maybe => "maybe",
        error::Ran::Yes => "yes",
    };
    let body = json!({
        "error": {
            "kind": row.label,
            "message": err.message,
            "ran": ran,
            "retry_after": err.retry_after.map(|after| after.as_secs_f64()),
        },
    });
    let status = http::StatusCode::from_u16(row.status);
    let status = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = (status, Json(body)).into_response();
    let headers = answer.headers_mut();
    headers.insert(RAN, HeaderValue::from_static(ran));
    headers.insert(ERROR, HeaderValue::from_static(row.label));
    if let Some(after) = err.retry_after {
        let seconds = after.as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    answer
}
