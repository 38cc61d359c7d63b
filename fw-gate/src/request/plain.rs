//! Requests whose answer is forwarded only once it is complete.
//!
//! The answer is collected before its first byte is sent to the caller, so that after a broken one the
//! request can be sent again where that is allowed, and a broken answer never appears complete.

use std::sync::Arc;

use bytes::Bytes;
use fw_base::error;
use fw_plan::health;
use hyper::Response;
use hyper::body::Body;
use tokio::time::Instant;

use super::ingress::log_ms;
use super::{attempt, body, call, send};
use crate::connection::link;
use crate::process::{held_bytes, memory, traffic};

/// Maximum length of an answer that is collected, and of the output of a turn; plain services send a few kilobytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Assumed length of an answer that states none.
const UNKNOWN_ANSWER_BYTES: usize = 64 << 10;

/// Runs the request and returns its answer.
///
/// # Errors
///
/// The error for the caller when no upstream answered.
pub async fn run(
    job: &attempt::Job<'_>,
    account: Option<Arc<held_bytes::Account>>,
) -> Result<Response<body::Outgoing>, error::Error> {
    let finish = |response| collect_and_log(job, account.as_deref(), response);
    let answered = job.run(finish).await?;
    let (head, whole, room) = answered.answer;
    answered.permit.record_answer(head.status);
    Ok(forwarded(head, outgoing(whole, (room, account))))
}

/// A whole answer, with `kept` until it is written.
pub fn outgoing<T: Send + 'static>(whole: Bytes, kept: T) -> body::Outgoing {
    match whole.is_empty() {
        true => body::Outgoing::from(whole),
        false => body::Outgoing::from(held_bytes::until_written(whole, kept)),
    }
}

/// Reads the rest of the answer to a request, and logs the upstream that served it.
async fn collect_and_log(
    job: &attempt::Job<'_>,
    account: Option<&held_bytes::Account>,
    response: send::OpenResponse,
) -> Result<Collected, send::Failure> {
    let (upstream, list_state) = (response.lease.id.clone(), response.lease.list_state);
    let sent_after = response.lease.sent_after;
    let remote = response.lease.is_remote;
    let (speed, stated_factor) = (response.lease.candidate.speed, response.lease.stated_factor);
    let (head_after, started_at) = (response.lease.sent_for(), Instant::now());
    if let Some(account) = account {
        wait_room(account, &response, job.until).await?;
    }
    let collected = collect(&job.gate.memory, response, job.until).await;
    if let Some(account) = account {
        match &collected {
            Ok((_, whole, _)) => account.offered(whole.len()),
            Err(_) => account.discard(),
        }
    }
    let (head, whole, room) = collected?;
    tracing::info!(
        request = %job.call.id,
        program = job.call.program.as_deref(),
        route = %job.route.name,
        status = head.status.as_u16(),
        %upstream,
        remote,
        list_as_of = list_state.as_of,
        list_age_ms = log_ms(list_state.age),
        sent_after_ms = sent_after.as_millis() as u64,
        factor = speed.map(|expected| expected.factor),
        factor_age_ms = log_ms(speed.and_then(|expected| expected.age)),
        stated_factor,
        head_ms = head_after.as_millis() as u64,
        ms = (head_after + started_at.elapsed()).as_millis() as u64,
        "request served"
    );
    Ok((head, whole, room))
}

/// Waits until the rest of an answer may be held.
///
/// # Errors
///
/// When there is no room in time: the call has run or may have run.
async fn wait_room(
    account: &held_bytes::Account,
    response: &send::OpenResponse,
    until: Instant,
) -> Result<(), send::Failure> {
    let bytes = response.body.size_hint().exact();
    let bytes = bytes.map_or(UNKNOWN_ANSWER_BYTES, |bytes| {
        usize::try_from(bytes).unwrap_or(MAX_ANSWER_BYTES)
    });
    account.collecting();
    let held = tokio::time::timeout_at(until, account.hold(bytes.min(MAX_ANSWER_BYTES))).await;
    held.map_err(|_| {
        let message = "the answer could not be held for the caller in time";
        send::Failure {
            err: error::Error::new(error::Kind::DeadlineExceeded, message),
            connection_broke: false,
        }
    })
}

/// The head of an answer, its whole body, and what is held for that.
pub type Collected = (hyper::http::response::Parts, Bytes, memory::Answer);

/// Reads the rest of an answer.
///
/// # Errors
///
/// When the answer breaks, is late or too long: the call has run or may have run.
pub async fn collect(
    memory: &Arc<memory::Memory>,
    response: send::OpenResponse,
    until: Instant,
) -> Result<Collected, send::Failure> {
    let send::OpenResponse {
        lease,
        link,
        head,
        body,
    } = response;
    let mut room = memory.answer();
    let whole = fw_http::read_whole(body, MAX_ANSWER_BYTES, &mut room);
    match tokio::time::timeout_at(until, whole).await {
        Ok(Ok(whole)) => {
            lease.complete(Some(lease.age()));
            lease.keep_link(link);
            lease.count_bytes(traffic::Kind::PlainAnswer, whole.len());
            Ok((head, whole, room))
        }
        Ok(Err(err)) if err.is::<fw_http::NoRoom>() => {
            // Whether the answer is too long or the entry short of memory, the upstream has not ended.
            let message = format!("the answer of upstream `{}` is not held: {err}", lease.id);
            Err(send::Failure {
                err: error::Error::new(error::Kind::SpoiledAnswer, message),
                connection_broke: false,
            })
        }
        Ok(Err(err)) => {
            lease.record_health(health::Observation::Failed);
            let broke = !link::is_unreadable(err.as_ref());
            let (kind, what) = match broke {
                true => (error::Kind::UpstreamCrashed, "was cut off"),
                false => (error::Kind::SpoiledAnswer, "cannot be read"),
            };
            let message = format!("the answer of upstream `{}` {what}: {err}", lease.id);
            Err(send::Failure {
                err: error::Error::new(kind, message),
                connection_broke: broke,
            })
        }
        Err(_) => {
            let message = format!("upstream `{}` did not finish in time", lease.id);
            Err(send::Failure {
                err: error::Error::new(error::Kind::DeadlineExceeded, message),
                connection_broke: false,
            })
        }
    }
}

/// The upstream's answer as forwarded to the caller, with `body` in place of its own.
pub fn forwarded(
    head: hyper::http::response::Parts,
    body: body::Outgoing,
) -> Response<body::Outgoing> {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = head.headers;
    call::strip_hop_by_hop(res.headers_mut());
    res.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    res
}
