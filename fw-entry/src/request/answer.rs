//! Conversion of errors to HTTP answers; all errors that callers receive are built here.

use std::time::Duration;

use axum::Json;
use axum::response::IntoResponse;
use axum::response::Response;
use fw_base::error;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

/// Counter of errors answered to callers, by kind.
pub const ERRORS: &str = "fw_entry_errors_total";

/// Header that states whether the call ran: `no`, `maybe` or `yes`.
pub const RAN_HEADER: &str = "x-fw-ran";

/// An error's JSON body, in the shape of OpenAI's API with the fields `ran` and `retry_after`.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    error: Fields<'a>,
}

#[derive(Debug, Serialize)]
struct Fields<'a> {
    /// Same as `kind`, where OpenAI's client libraries look for it.
    #[serde(rename = "type")]
    error_type: &'static str,
    kind: &'static str,
    message: &'a str,
    ran: error::Ran,
    /// Seconds; absent if a retry would not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<f64>,
}

/// The JSON body for `err`.
pub fn body(err: &error::Error) -> Body<'_> {
    let row = err.kind.row();
    Body {
        error: Fields {
            error_type: row.label,
            kind: row.label,
            message: &err.message,
            ran: row.ran,
            retry_after: err.retry_after.map(|after| after.as_secs_f64()),
        },
    }
}

/// The answer for `err`, counted by its kind.
pub fn error_response(err: &error::Error) -> Response {
    let row = err.kind.row();
    count_error(err.kind);
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = (status, Json(body(err))).into_response();
    let headers = answer.headers_mut();
    headers.insert(RAN_HEADER, ran_value(row.ran));
    if let Some(after) = err.retry_after {
        headers.insert(header::RETRY_AFTER, whole_seconds(after).into());
    }
    answer
}

/// Counts an error that is returned to a caller.
pub fn count_error(kind: error::Kind) {
    metrics::counter!(ERRORS, "kind" => kind.row().label).increment(1);
}

fn ran_value(ran: error::Ran) -> header::HeaderValue {
    header::HeaderValue::from_static(match ran {
        error::Ran::No => "no",
        error::Ran::Maybe => "maybe",
        error::Ran::Yes => "yes",
    })
}

/// The value of `Retry-After`, which has whole seconds only; rounded up, so that callers do not retry
/// too early.
fn whole_seconds(after: Duration) -> u64 {
    after
        .as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}
