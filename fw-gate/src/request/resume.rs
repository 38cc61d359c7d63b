//! Streams that callers take up after a break: the service and the software version at which each may go on.
//!
//! What two versions write does not fit together, and upstreams do not check this. Any entry may get the call,
//! also one that the list of upstreams or the replicas have not reached for a while, so that an origin that is
//! not known is not guessed.
//!
//! A turn that later ones may continue is stored with all events of its stream, also those that earlier attempts
//! have forwarded. So the events of such a stream are on record at the replicas before its caller has them.

use std::sync::Arc;
use std::time::Duration;

use fw_base::{digest, error};
use fw_plan::quarantine;
use fw_replica::{beginnings, client, streams};
use tokio::time;

use super::call;
use crate::process::gate;
use crate::version::config;

/// Pause before a stream is looked for again: the report of its first event may still be on its way.
const FIND_PAUSE: Duration = Duration::from_millis(30);
/// How often a stream is looked for.
const FIND_ATTEMPTS: u32 = 2;
/// When a caller should retry whose stream no replica knows: one that was away may answer by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The only place at which `call` may run; `None` if it may run at any.
///
/// # Errors
///
/// `UnknownStream` if the call takes up a stream of which the origin is not known; `VersionGone` if the route
/// no longer leads to the service at which it began.
pub async fn origin(
    gate: &gate::Gate,
    route: &config::Route,
    call: &call::Call,
) -> Result<Option<streams::Origin>, error::Error> {
    if call.resume_after.is_none() {
        return Ok(None);
    }
    let Some(stream) = &call.resumed_stream else {
        return check_unnamed(gate, route, call).map(|()| None);
    };
    let origin = find(gate, stream)
        .await
        .ok_or_else(|| unknown_stream(call))?;
    count("known");
    tracing::info!(
        request = %call.id,
        %stream,
        service = %origin.service,
        version = %origin.version,
        "stream taken up"
    );
    let mut services = route.services.iter();
    if services.any(|(service, _)| *service == origin.service) {
        return Ok(Some(origin));
    }
    let message = format!(
        "the stream began at service `{}`, to which the route no longer leads",
        origin.service
    );
    Err(error::Error::new(error::Kind::VersionGone, message))
}

/// The record of the stream's events, if a later turn may continue it. It begins with the events that the caller
/// has, without which the next turn would continue a part of the answer. `None` if no caller may take the stream up.
///
/// # Errors
///
/// `UnknownStream` if the call takes up a stream of which the beginning is not known; `ReplicasUnsure` if too few
/// replicas could be told that the call writes the stream's events from now on.
pub async fn recording(
    gate: &gate::Gate,
    route: &config::Route,
    call: &call::Call,
    identity: &quarantine::Identity,
) -> Result<Option<Arc<client::beginnings::Recording>>, error::Error> {
    if route.keep_turns.is_none() {
        return Ok(None);
    }
    let author = beginnings::Author {
        request: common_digest(call, identity),
        generation: 0,
        attempt: rand::random(),
    };
    let Some(last) = &call.resume_after else {
        let new = || client::beginnings::Recording::new(call.turn.clone(), author, Vec::new());
        return Ok(route.resumable.then(new));
    };
    let stream = call.resumed_stream.as_ref();
    let found = match stream {
        Some(stream) => find_beginning(gate, stream, last).await,
        None => None,
    };
    let found = found.filter(|found| found.author.request == author.request);
    let generation = found.as_ref().map_or(0, |found| found.author.generation);
    let events = found.and_then(|found| found.until(last));
    let (Some(stream), Some(events)) = (stream, events) else {
        return Err(unknown_beginning(call));
    };
    let author = beginnings::Author {
        generation: generation.saturating_add(1),
        ..author
    };
    tracing::info!(
        request = %call.id,
        %stream,
        events = events.len(),
        taken_up = author.generation,
        "the turn begins with the events of earlier attempts"
    );
    let recording = client::beginnings::Recording::new(stream.clone(), author, events);
    if !gate.replicas.record_events(&recording).await {
        let message = "too few replicas know that this attempt goes on with the stream";
        return Err(error::Error::new(error::Kind::ReplicasUnsure, message));
    }
    Ok(Some(recording))
}

/// Digest of what the attempts of one stream have in common. A caller that names another's stream has another
/// request, or another program.
fn common_digest(call: &call::Call, identity: &quarantine::Identity) -> digest::Digest {
    let mut bytes = identity.request.as_bytes().to_vec();
    bytes.extend_from_slice(call.program.as_deref().unwrap_or_default().as_bytes());
    digest::Digest::of_bytes(&bytes)
}

async fn find_beginning(
    gate: &gate::Gate,
    stream: &streams::StreamId,
    last: &beginnings::EventId,
) -> Option<beginnings::Beginning> {
    for attempt in 0..FIND_ATTEMPTS {
        if attempt > 0 {
            time::sleep(FIND_PAUSE).await;
        }
        let found = gate.replicas.find_beginning(stream, last).await;
        if let Some(found) = found.filter(|found| found.has(last)) {
            return Some(found);
        }
    }
    None
}

async fn find(gate: &gate::Gate, stream: &streams::StreamId) -> Option<streams::Origin> {
    for attempt in 0..FIND_ATTEMPTS {
        if attempt > 0 {
            time::sleep(FIND_PAUSE).await;
        }
        let origin = gate.replicas.find_stream(stream).await;
        if origin.is_some() {
            return origin;
        }
    }
    None
}

/// Checks that a call which takes up a stream without naming it can meet one software version only.
fn check_unnamed(
    gate: &gate::Gate,
    route: &config::Route,
    call: &call::Call,
) -> Result<(), error::Error> {
    let mut services = route.services.iter();
    if services.any(|(service, _)| gate.fleet.has_several_versions(service)) {
        return Err(unknown_stream(call));
    }
    count("unnamed");
    Ok(())
}

fn unknown_stream(call: &call::Call) -> error::Error {
    count("unknown");
    let stream = call.resumed_stream.as_deref().unwrap_or("without id");
    let message = format!("the software version at which stream `{stream}` began is not known");
    refusal(message)
}

fn unknown_beginning(call: &call::Call) -> error::Error {
    count("unknown_beginning");
    let stream = call.resumed_stream.as_deref().unwrap_or("without id");
    let last = call.resume_after.as_deref().unwrap_or_default();
    refusal(format!(
        "the events of stream `{stream}` up to `{last}` are not known, and its turn is to be kept"
    ))
}

fn refusal(message: String) -> error::Error {
    error::Error::new(error::Kind::UnknownStream, message).with_retry_after(UNKNOWN_RETRY_AFTER)
}

fn count(outcome: &'static str) {
    metrics::counter!("fw_gate_resumed_streams_total", "outcome" => outcome).increment(1);
}
