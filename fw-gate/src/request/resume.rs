//! Streams that callers take up after a break: the software version at which each may go on.
//!
//! What two versions write does not fit together, and upstreams do not check this. Any entry may get the call,
//! also one that the list of upstreams or the replicas have not reached for a while, so that a version that is
//! not known is not guessed.

use std::time::Duration;

use fw_base::{error, id};
use fw_replica::streams;
use tokio::time;

use super::call;
use crate::process::gate;

/// Pause before a stream is looked for again: the report of its first event may still be on its way.
const FIND_PAUSE: Duration = Duration::from_millis(30);
/// How often a stream is looked for.
const FIND_ATTEMPTS: u32 = 2;
/// When a caller should retry whose stream no replica knows: one that was away may answer by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The only software version at which `call` may run; `None` if it may run at any.
///
/// # Errors
///
/// `UnknownStream` if the call takes up a stream of which the version is not known.
pub async fn bound_version(
    gate: &gate::Gate,
    service: &id::ServiceId,
    call: &call::Call,
) -> Result<Option<streams::Version>, error::Error> {
    if call.resume_after.is_none() {
        return Ok(None);
    }
    let Some(stream) = &call.resumed_stream else {
        if gate.fleet.has_several_versions(service) {
            return Err(unknown_stream(call));
        }
        count("unnamed");
        return Ok(None);
    };
    for attempt in 0..FIND_ATTEMPTS {
        if attempt > 0 {
            time::sleep(FIND_PAUSE).await;
        }
        if let Some(version) = gate.replicas.find_stream(stream).await {
            count("known");
            tracing::info!(request = %call.id, %stream, %version, "stream taken up");
            return Ok(Some(version));
        }
    }
    Err(unknown_stream(call))
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
