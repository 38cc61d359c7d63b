//! One call to one upstream, and the check of its answer.

use std::time::Duration;

use bytes::Bytes;
use fw_base::error;
use fw_plan::health;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::Instant;

use super::{call, load_header};
use crate::connection::link;
use crate::names;
use crate::process::fleet;

/// A request as sent to upstreams.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id of the caller's attempt, which the upstream echoes.
    pub id: HeaderValue,
}

/// A call whose answer has begun: the head is there and the body still arrives.
#[derive(Debug)]
pub struct OpenResponse {
    /// The lease of the upstream.
    pub lease: fleet::Lease,
    /// The connection to it.
    pub link: link::Link,
    /// Status and headers.
    pub head: response::Parts,
    /// The rest of the answer.
    pub body: Incoming,
}

/// A call without an answer that may be forwarded.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The error; the table of its kinds states whether the call ran.
    pub err: error::Error,
    /// Whether the connection broke after the call was sent, as in a crash of the upstream.
    pub connection_broke: bool,
}

impl Outbound {
    /// The HTTP request for `lease`, whose deadline is `until`.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when no header can name the upstream: another one at its address would run the call.
    fn request(
        &self,
        names: &names::HeaderNames,
        lease: &fleet::Lease,
        until: Instant,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let expected = HeaderValue::from_bytes(lease.id.as_bytes()).map_err(|err| {
            let message = format!("upstream `{}` cannot be named: {err}", lease.id);
            Failure {
                err: error::Error::new(error::Kind::NoUpstream, message),
                connection_broke: false,
            }
        })?;
        let left = until.saturating_duration_since(Instant::now());
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let headers = req.headers_mut();
        *headers = self.headers.clone();
        headers.insert(names.request_id.clone(), self.id.clone());
        headers.insert(
            names.deadline_ms.clone(),
            call::number_value(left.as_millis() as u64),
        );
        headers.insert(names.expect_upstream.clone(), expected);
        Ok(req)
    }
}

/// Sends `out` to the leased upstream and waits for the head of its answer, at most until `until`.
///
/// # Errors
///
/// When there is no answer that may be forwarded.
pub async fn call_upstream(
    names: &names::HeaderNames,
    out: &Outbound,
    mut lease: fleet::Lease,
    until: Instant,
) -> Result<OpenResponse, Failure> {
    let sending = send_on_link(names, out, &mut lease, until);
    let (link, res) = match tokio::time::timeout_at(until, sending).await {
        Ok(sent) => sent?,
        Err(_) => {
            // An upstream that does not answer before the deadline is not necessarily faulty.
            let message = format!("upstream `{}` did not answer in time", lease.id);
            return Err(Failure {
                err: error::Error::new(error::Kind::DeadlineExceeded, message),
                connection_broke: false,
            });
        }
    };
    let (head, body) = res.into_parts();
    let load = head.headers.get(&names.load);
    if let Some(load) = load.and_then(load_header::parse) {
        lease.record_load(load);
        // Such an answer comes from another upstream.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            lease.record_speed(load.percent);
        }
    }
    match check_response(names, out, &lease, &head) {
        Ok(()) => Ok(OpenResponse {
            lease,
            link,
            head,
            body,
        }),
        Err(err) => {
            match err.kind {
                error::Kind::Misdirected => lease.mark_replaced(),
                _ if err.ran() == error::Ran::No => {
                    lease.record_health(health::Observation::Answered)
                }
                _ => lease.record_health(health::Observation::Failed),
            }
            Err(Failure {
                err,
                connection_broke: false,
            })
        }
    }
}

/// Sends on an idle connection or a new one. If no byte was sent on an idle connection, because the
/// upstream had closed it, the call is sent on a new one.
async fn send_on_link(
    names: &names::HeaderNames,
    out: &Outbound,
    lease: &mut fleet::Lease,
    until: Instant,
) -> Result<(link::Link, hyper::Response<Incoming>), Failure> {
    if let Some(mut link) = lease.idle_link() {
        confirm_upstream(lease).await?;
        match link.send(out.request(names, lease, until)?).await {
            Ok(res) => return Ok((link, res)),
            Err(failed) if !failed.unsent => return Err(connection_failure(lease, &failed)),
            Err(_) => {}
        }
    }
    metrics::counter!("fw_gate_connects_total").increment(1);
    let mut link = link::Link::connect(lease.addr).await.map_err(|err| {
        lease.record_health(health::Observation::Down);
        let message = format!("cannot connect to upstream `{}`: {err}", lease.id);
        Failure {
            err: error::Error::new(error::Kind::UpstreamUnreachable, message),
            connection_broke: false,
        }
    })?;
    confirm_upstream(lease).await?;
    match link.send(out.request(names, lease, until)?).await {
        Ok(res) => Ok((link, res)),
        Err(failed) => Err(connection_failure(lease, &failed)),
    }
}

/// Checks the list again before a byte of the call is sent: connecting may have taken a while, and the
/// entry may have been suspended.
///
/// # Errors
///
/// `UpstreamLeaving` when the upstream gets no more calls.
async fn confirm_upstream(lease: &mut fleet::Lease) -> Result<(), Failure> {
    lease.confirm_list().await;
    if lease.is_valid() {
        lease.note_sent();
        return Ok(());
    }
    let message = format!("upstream `{}` left before the call was sent", lease.id);
    Err(Failure {
        err: error::Error::new(error::Kind::UpstreamLeaving, message),
        connection_broke: false,
    })
}

fn connection_failure(lease: &fleet::Lease, failed: &link::SendError) -> Failure {
    lease.record_health(health::Observation::Failed);
    let (kind, what) = match failed {
        link::SendError { unsent: true, .. } => {
            (error::Kind::UpstreamUnreachable, "the connection broke")
        }
        link::SendError {
            unreadable: true, ..
        } => (error::Kind::SpoiledAnswer, "the answer cannot be read"),
        _ => (error::Kind::UpstreamCrashed, "the connection broke"),
    };
    let message = format!("upstream `{}`: {what}: {}", lease.id, failed.message);
    Failure {
        err: error::Error::new(kind, message),
        // An upstream that answers, whatever it sends, has not crashed.
        connection_broke: kind == error::Kind::UpstreamCrashed,
    }
}

/// Checks that the answer is from this upstream, to this call, and may be forwarded.
fn check_response(
    names: &names::HeaderNames,
    out: &Outbound,
    lease: &fleet::Lease,
    head: &response::Parts,
) -> Result<(), error::Error> {
    let fail = |kind, reason: &str| {
        let message = format!("upstream `{}` {reason}", lease.id);
        Err(error::Error::new(kind, message))
    };
    let headers = &head.headers;
    if headers
        .get(&names.request_id)
        .is_some_and(|id| *id != out.id)
    {
        // A late or second answer to an earlier call.
        return fail(error::Kind::SpoiledAnswer, "answered another call");
    }
    // The HTTP library reads any three digits, and 101 as the answer to an upgrade, which no call asks for.
    if !(200..600).contains(&head.status.as_u16()) {
        return fail(
            error::Kind::SpoiledAnswer,
            "sent a status that no answer may have",
        );
    }
    // Checked before the next one: such a refusal may also state that the call has not run.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return fail(error::Kind::Misdirected, "is no longer at its address");
    }
    if headers.contains_key(&names.not_run) {
        return fail(error::Kind::UpstreamFull, "has not run the call");
    }
    if head.status.is_success() {
        let is_valid = headers.contains_key(&names.signature)
            && headers.contains_key(&names.request_id)
            && !headers.contains_key(header::CONTENT_ENCODING);
        if !is_valid {
            return fail(
                error::Kind::SpoiledAnswer,
                "sent an answer without signature or request id, or with an encoding",
            );
        }
    }
    // To a caller these mean that the call has not run, which this upstream has not stated.
    let promised_not_run = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promised_not_run.contains(&head.status) {
        return fail(error::Kind::UpstreamError, "failed while it ran the call");
    }
    Ok(())
}

/// Checks whether an upstream whose connection broke has crashed: it then refuses a new connection, or does
/// not accept one in time.
pub async fn has_crashed(addr: std::net::SocketAddr) -> bool {
    link::Link::connect(addr).await.is_err()
}

/// Time left until `until`.
pub fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
