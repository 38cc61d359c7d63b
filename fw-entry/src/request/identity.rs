//! Who calls: the team behind a request.

use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_record::set;
use hyper::HeaderMap;
use hyper::header;

/// The team of callers without a key, where the records allow such.
pub const ANONYMOUS: &str = "default";

/// When a caller should come back to an entry that has just started: a few calls to the store later,
/// at the milliseconds that each takes; sooner than a balancer's next look at `/readyz`.
const RECORDS_READ: Duration = Duration::from_millis(100);

/// The team that the request's bearer key belongs to.
///
/// Without any team that has keys, every caller belongs to [`ANONYMOUS`]: a client library that
/// insists on sending some key works out of the box.
///
/// # Errors
///
/// `Unauthorized` when teams have keys and this one is missing or unknown; `NotReady` before any records
/// were read: no key, model or route can be told to be unknown then.
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
