//! Delivery of one plain request to one upstream, through its side.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_base::error;
use fw_base::id;
use fw_plan::health;
use fw_plan::place;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header;
use hyper::http;
use rand::RngExt;

use crate::connection::sides;
use crate::process::entry;

/// Id of the attempt for the side: 16 hex digits.
pub const ATTEMPT: &str = "x-fw-attempt";
/// Marks a call that must run at most once.
pub const ONCE: &str = "x-fw-once";
/// Time left, in milliseconds.
pub const DEADLINE: &str = "x-fw-deadline-ms";
/// Label of the kind of error with which the side itself refused; absent on an upstream's answer.
pub const ERROR: &str = "x-fw-error";

/// Headers that concern one connection only.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A plain request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service that answers it.
    pub service: id::ServiceId,
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Longest wait for the head of the answer.
    pub timeout: Duration,
}

/// Delivery guarantee of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
}

/// Chooses an upstream for `call`.
///
/// # Errors
///
/// `NoUpstream` when none is usable.
pub fn place(
    entry: &entry::Entry,
    call: &Call,
    avoid: &[id::UpstreamId],
) -> Result<Arc<sides::Side>, error::Error> {
    let service = entry.sides.service(&call.service);
    let mut service = service.lock();
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &entry.settings.instance.place,
        model: None,
        avoid,
    };
    let options = place::Options::default();
    let chosen = place::choose(&service.view, &req, &options, &mut rand::rng());
    let outcome = chosen.ok_or_else(|| no_upstream(entry, call))?;
    service.view.record_sent(&outcome.upstream, 0, entry.now());
    drop(service);
    let side = entry.sides.side(&outcome.upstream);
    side.ok_or_else(|| no_upstream(entry, call))
}

/// Sends `call` to the upstream of `side`.
///
/// # Errors
///
/// The kind tells whether the call may have run.
pub async fn deliver(
    entry: &entry::Entry,
    call: &Call,
    side: Arc<sides::Side>,
    delivery: Delivery,
) -> Result<http::Response<Incoming>, error::Error> {
    let req = request(call, &side, delivery)?;
    let started = tokio::time::Instant::now();
    let sent = tokio::time::timeout(call.timeout, entry.http.stream(req)).await;
    let outcome = match sent {
        Ok(Ok(answer)) => check_refusal(answer),
        Ok(Err(err)) => Err(failed(&side, &err)),
        Err(_) => Err(timed_out(&side, call.timeout)),
    };
    record_outcome(entry, &side, &outcome, started.elapsed());
    outcome
}

fn record_outcome(
    entry: &entry::Entry,
    side: &sides::Side,
    outcome: &Result<http::Response<Incoming>, error::Error>,
    took: Duration,
) {
    let now = entry.now();
    let upstream = &side.instance.id;
    let service = entry.sides.service(&side.instance.service);
    let mut service = service.lock();
    service
        .view
        .record_finished(upstream, outcome.is_ok().then_some(took));
    let observation = match outcome {
        Ok(_) => return,
        Err(err) => match err.kind {
            error::Kind::UpstreamLeaving => health::Observation::Leaving,
            error::Kind::NoUpstream | error::Kind::UpstreamCrashed | error::Kind::SpoiledAnswer => {
                health::Observation::Failed
            }
            _ => return,
        },
    };
    service.health.observe(now, upstream, observation);
    service.refresh(now, upstream);
}

fn request(
    call: &Call,
    side: &sides::Side,
    delivery: Delivery,
) -> Result<http::Request<Full<Bytes>>, error::Error> {
    let uri = format!("http://{}{}", side.instance.http, call.path);
    let mut req = http::Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .body(Full::from(call.body.clone()))
        .map_err(|err| error::Error::new(error::Kind::BadRequest, format!("bad path: {err}")))?;
    let headers = req.headers_mut();
    headers.extend(call.headers.clone());
    drop_hop_headers(headers);
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    let attempt = format!("{:016x}", rand::rng().random::<u64>());
    insert(headers, ATTEMPT, &attempt);
    let millis = u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX);
    insert(headers, DEADLINE, &millis.to_string());
    headers.remove(ONCE);
    if delivery == Delivery::AtMostOnce {
        insert(headers, ONCE, "1");
    }
    Ok(req)
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Removes the headers that concern one connection only.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(*name);
    }
}

/// Distinguishes a refusal by the side itself from an upstream's answer.
fn check_refusal(
    answer: http::Response<Incoming>,
) -> Result<http::Response<Incoming>, error::Error> {
    let Some(label) = answer.headers().get(ERROR) else {
        return Ok(answer);
    };
    let label = label.to_str().unwrap_or_default();
    let kind = serde_json::from_value(label.into()).unwrap_or(error::Kind::Internal);
    let message = format!("the upstream's side refused: {label}");
    Err(error::Error::new(kind, message))
}

fn failed(side: &sides::Side, err: &fw_http::Error) -> error::Error {
    let upstream = &side.instance.id;
    let kind = match err {
        _ if err.is_unsent() => error::Kind::NoUpstream,
        fw_http::Error::Timeout { .. } => error::Kind::UpstreamTimeout,
        _ => error::Kind::UpstreamCrashed,
    };
    error::Error::new(kind, format!("upstream {upstream}: {err}"))
}

fn timed_out(side: &sides::Side, within: Duration) -> error::Error {
    let message = format!(
        "upstream {} did not answer within {within:?}",
        side.instance.id
    );
    error::Error::new(error::Kind::UpstreamTimeout, message)
}

fn no_upstream(entry: &entry::Entry, call: &Call) -> error::Error {
    let message = format!("no healthy upstream of service {} now", call.service);
    error::Error::new(error::Kind::NoUpstream, message)
        .with_retry_after(entry.settings.upstream.heartbeat_interval * 2)
}
