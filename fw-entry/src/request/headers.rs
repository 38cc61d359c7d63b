//! Parsing of callers' headers, which name programs, turns and deadlines.

use std::time::Duration;

use axum::extract::rejection::BytesRejection;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_conf::entry;
use fw_wire::peer;
use hyper::HeaderMap;
use hyper::StatusCode;
use smol_str::SmolStr;

/// Name of the program; absent for a program of one turn.
pub const PROGRAM: &str = "x-program";
/// Name of the program that started this one as a sub-agent.
pub const PARENT: &str = "x-parent-program";
/// Number of the turn.
pub const TURN: &str = "x-turn";
/// `full` or `delta`.
pub const HISTORY: &str = "x-history";
/// Digest of the committed history: 64 hex digits.
pub const DIGEST: &str = "x-history-digest";
/// Time that the caller waits, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Key that makes it safe to send a call again that is not idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The name in header `header`, if it is there.
///
/// # Errors
///
/// `BadRequest` when it is no valid name.
pub fn name(headers: &HeaderMap, header: &str) -> Result<Option<SmolStr>, error::Error> {
    let Some(text) = text(headers, header)? else {
        return Ok(None);
    };
    if !id::is_valid_name(text) {
        let most = id::MAX_NAME;
        return Err(bad(
            header,
            &format!("1 to {most} letters, digits or any of `-_.:`"),
        ));
    }
    Ok(Some(text.into()))
}

/// The turn's number, if the caller names it.
///
/// # Errors
///
/// `BadRequest` when it is no number above 0.
pub fn turn(headers: &HeaderMap) -> Result<Option<id::Turn>, error::Error> {
    let Some(text) = text(headers, TURN)? else {
        return Ok(None);
    };
    let turn = text.parse().ok().filter(|turn| *turn > 0);
    turn.map(Some)
        .ok_or_else(|| bad(TURN, "a whole number above 0"))
}

/// The digest of the committed history, if the caller names it.
///
/// # Errors
///
/// `BadRequest` when it is no digest.
pub fn base(headers: &HeaderMap) -> Result<Option<digest::Digest>, error::Error> {
    let Some(text) = text(headers, DIGEST)? else {
        return Ok(None);
    };
    let digest = digest::Digest::try_from(text.to_owned());
    digest.map(Some).map_err(|_| bad(DIGEST, "64 hex digits"))
}

/// Whether the messages are the full history or a delta; `full` if the caller does not specify it.
///
/// # Errors
///
/// `BadRequest` when it is neither `full` nor `delta`.
pub fn history(headers: &HeaderMap) -> Result<peer::History, error::Error> {
    match text(headers, HISTORY)? {
        None | Some("full") => Ok(peer::History::Full),
        Some("delta") => Ok(peer::History::Delta),
        Some(_) => Err(bad(HISTORY, "`full` or `delta`")),
    }
}

/// How long the caller waits, limited by the settings.
///
/// # Errors
///
/// `BadRequest` when it is no number above 0.
pub fn deadline(headers: &HeaderMap, callers: &entry::Callers) -> Result<Duration, error::Error> {
    let Some(text) = text(headers, DEADLINE)? else {
        return Ok(callers.deadline_default);
    };
    let millis = text.parse().ok().filter(|millis| *millis > 0);
    let millis = millis.ok_or_else(|| bad(DEADLINE, "a whole number of milliseconds above 0"))?;
    Ok(Duration::from_millis(millis).min(callers.deadline_max))
}

/// The error for a body that could not be read.
pub fn body_error(rejection: &BytesRejection, limit: usize) -> error::Error {
    if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE {
        let message = format!(
            "the body exceeds {limit} bytes; send only new messages with `x-history: delta`"
        );
        return error::Error::new(error::Kind::BodyTooLarge, message);
    }
    error::Error::new(
        error::Kind::BadRequest,
        "the request body ended prematurely",
    )
}

fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, error::Error> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad(header, "ASCII text"))?;
    Ok(Some(text.trim()))
}

fn bad(header: &str, expected: &str) -> error::Error {
    let message = format!("header `{header}` must be {expected}");
    error::Error::new(error::Kind::BadRequest, message)
}
