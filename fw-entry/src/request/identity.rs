//! Authentication: maps a request's bearer key to a team.

use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_record::set;
use hyper::HeaderMap;
use hyper::header;

/// The team of callers without a key, if the records allow calls without one.
pub const ANONYMOUS: &str = "default";

/// Retry delay for callers of an entry that has just started. Loading the records takes a few calls to
/// the store of some milliseconds each; a load balancer's next check of `/readyz` comes later.
const RECORDS_READ: Duration = Duration::from_millis(100);

/// The team that owns the request's bearer key.
///
/// If no team has keys, every caller belongs to [`ANONYMOUS`], so that client libraries that always
/// send a key work without configuration.
///
/// # Errors
///
/// `Unauthorized` when teams have keys and this one is missing or unknown; `NotReady` before records
/// were read, since no key, model or route can be rejected as unknown then.
pub fn team(headers: &HeaderMap, records: &set::Set) -> Result<id::TeamId, error::Error> {
    if records.revision() == 0 {
        return Err(not_ready());
    }
    if !records.has_keys() {
        return Ok(ANONYMOUS.into());
    }
    let key = bearer(headers).ok_or_else(|| unauthorized("send `Authorization: Bearer <key>`"))?;
    let hash = String::from(digest::Digest::of_bytes(key.as_bytes()));
    let team = records.team_by_key(&hash);
    team.ok_or_else(|| unauthorized("the key in `Authorization` belongs to no team"))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn not_ready() -> error::Error {
    let message = "this entry has not read the operators' records yet; send the call again";
    error::Error::new(error::Kind::NotReady, message).with_retry_after(RECORDS_READ)
}

fn unauthorized(message: &str) -> error::Error {
    error::Error::new(error::Kind::Unauthorized, message)
}
