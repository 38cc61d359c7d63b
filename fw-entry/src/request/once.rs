//! At-most-once delivery of plain requests that are not idempotent.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_wire::peer;
use hyper::body::Incoming;
use hyper::header;
use hyper::http;

use super::headers;
use super::send;
use crate::process::entry;
use crate::turn::claim;

/// Largest answer to a call that runs at most once.
const MAX_ANSWER: usize = 16 << 20;

/// Largest answer that is stored for replay, in the journal, whose segments are below a megabyte.
const MAX_REPLAYED: usize = 64 << 10;

/// Most upstreams tried, while none can have received the call.
const MAX_TRIES: usize = 3;

/// Header of an answer that is replayed from the record of an earlier run.
const REPLAYED: &str = "x-fw-replayed";

/// Sends a call that may run at most once, under its `Idempotency-Key`.
///
/// # Errors
///
/// The kind tells whether the call ran.
pub async fn call(
    entry: &Arc<entry::Entry>,
    team: &id::TeamId,
    call: &send::Call,
) -> Result<Response, error::Error> {
    let key = headers::name(&call.headers, headers::IDEMPOTENCY_KEY)?.ok_or_else(missing_key)?;
    let claim = |step| peer::Claim {
        team: team.clone(),
        key: key.to_string(),
        fingerprint: fingerprint(call),
        step,
    };
    match claim::step(entry, &claim(peer::ClaimStep::Open)).await? {
        claim::StepOutcome::Replay(answer) => return replayed(&answer),
        claim::StepOutcome::Granted => {}
        claim::StepOutcome::Settled => return Err(unexpected()),
    }
    // From here on the claim is settled even if the caller disconnects.
    let (entry, call) = (Arc::clone(entry), call.clone());
    let not_run = claim(peer::ClaimStep::NotRun);
    let guard = entry.enter_always();
    let task = entry.tasks.clone().spawn(async move {
        let _guard = guard;
        run(&entry, &call, not_run).await
    });
    task.await.map_err(|_| unexpected())?
}

async fn run(
    entry: &Arc<entry::Entry>,
    call: &send::Call,
    claim: peer::Claim,
) -> Result<Response, error::Error> {
    match try_all(entry, call).await {
        Ok(answer) => {
            let done = peer::Claim {
                step: peer::ClaimStep::Done(to_stored(&answer)),
                ..claim
            };
            // If it cannot be recorded, the claim stays open and a repeat is refused as "may have run".
            let _stays_open = claim::step(entry, &done).await;
            Ok(answer.into_response())
        }
        Err(err) => {
            let step = match err.ran() {
                error::Ran::No => peer::ClaimStep::NotRun,
                error::Ran::Maybe | error::Ran::Yes => peer::ClaimStep::Unknown,
            };
            let settled = peer::Claim { step, ..claim };
            // If it cannot be recorded, a repeat is refused as "in use", later as "may have run".
            let _stays_open = claim::step(entry, &settled).await;
            Err(err)
        }
    }
}

/// Tries upstreams until one may have received the call.
async fn try_all(entry: &Arc<entry::Entry>, call: &send::Call) -> Result<Collected, error::Error> {
    let mut avoid = Vec::new();
    let mut last = None;
    for _ in 0..MAX_TRIES {
        let side = send::place(entry, call, &avoid)?;
        let upstream = side.instance.id.clone();
        match send::deliver(entry, call, side, send::Delivery::AtMostOnce).await {
            Ok(answer) => return collect(answer).await,
            Err(err) if err.ran() == error::Ran::No => last = Some(err),
            Err(err) => return Err(err),
        }
        avoid.push(upstream);
    }
    Err(last.unwrap_or_else(unexpected))
}

/// A complete answer.
struct Collected {
    head: http::response::Parts,
    body: Bytes,
}

impl Collected {
    fn into_response(mut self) -> Response {
        send::drop_hop_headers(&mut self.head.headers);
        Response::from_parts(self.head, Body::from(self.body))
    }
}

async fn collect(answer: http::Response<Incoming>) -> Result<Collected, error::Error> {
    let (head, body) = answer.into_parts();
    let body = fw_http::read_whole(body, MAX_ANSWER, &mut fw_http::Unlimited).await;
    let body = body.map_err(|err| {
        // The head was received, so the call ran; only the answer is incomplete.
        let message = format!("the upstream's answer ended prematurely: {err}");
        error::Error::new(error::Kind::UpstreamError, message)
    })?;
    Ok(Collected { head, body })
}

fn to_stored(answer: &Collected) -> peer::StoredAnswer {
    let truncated = answer.body.len() > MAX_REPLAYED;
    let content_type = answer.head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    peer::StoredAnswer {
        status: answer.head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: match truncated {
            true => String::new(),
            false => STANDARD.encode(&answer.body),
        },
        truncated,
    }
}

fn replayed(answer: &peer::StoredAnswer) -> Result<Response, error::Error> {
    if answer.truncated {
        let message = "the call ran before; its answer was too large to be stored";
        return Err(error::Error::new(error::Kind::UpstreamError, message));
    }
    let body = STANDARD.decode(&answer.body).map_err(|_| unexpected())?;
    http::Response::builder()
        .status(answer.status)
        .header(header::CONTENT_TYPE, &answer.content_type)
        .header(REPLAYED, "1")
        .body(Body::from(body))
        .map_err(|_| unexpected())
}

/// Digest that identifies a call under its key: method, path and body.
fn fingerprint(call: &send::Call) -> digest::Digest {
    let mut bytes = format!("{} {}\n", call.method, call.path).into_bytes();
    bytes.extend_from_slice(&call.body);
    digest::Digest::of_bytes(&bytes)
}

fn missing_key() -> error::Error {
    let message = "this call is not idempotent: send an `Idempotency-Key`, and the same one when \
                   you repeat it";
    error::Error::new(error::Kind::MissingKey, message)
}

fn unexpected() -> error::Error {
    error::Error::new(error::Kind::Internal, "the claim's state is inconsistent")
}
