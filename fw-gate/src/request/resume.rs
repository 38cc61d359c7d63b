//! Streams that callers take up after a break: the service and the software version at which each may go on.
//!
//! What two versions write does not fit together, and upstreams do not check this. Any entry may get the call,
//! also one that the list of upstreams or the replicas have not reached for a while, so that an origin that is
//! not known is not guessed.

use std::time::Duration;

use fw_base::error;
use fw_replica::streams;
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
    error::Error::new(error::Kind::UnknownStream, message).with_retry_after(UNKNOWN_RETRY_AFTER)
}

fn count(outcome: &'static str) {
    metrics::counter!("fw_gate_resumed_streams_total", "outcome" => outcome).increment(1);
}
