//! Error answers that the entry itself generates, all from the table of error kinds.

use std::time::Duration;

use bytes::Bytes;
use fw_base::error;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;

use super::body;

/// Shortest time after which a refused caller should retry: long enough for a queue of some tens of
/// milliseconds to drain, and short compared to latency objectives of some hundred.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Span over which retries of refused callers are spread, so that they do not arrive together.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(200);

/// Draws the time after which a refused caller should retry, so that callers refused together spread out.
pub fn draw_retry_after(rng: &mut impl rand::Rng) -> Duration {
    MIN_RETRY_AFTER + RETRY_AFTER_SPREAD.mul_f64(rng.random::<f64>())
}

/// The answer that reports `err`.
pub fn of_error(err: &error::Error) -> Response<body::Outgoing> {
    let row = err.kind.row();
    metrics::counter!("fw_gate_errors_total", "kind" => row.label).increment(1);
    let text = serde_json::json!({ "kind": row.label, "message": err.message, "ran": row.ran });
    let mut res = Response::new(body::Outgoing::from(Bytes::from(text.to_string())));
    *res.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = res.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if row.retry && row.ran == error::Ran::No {
        let after = err
            .retry_after
            .unwrap_or_else(|| draw_retry_after(&mut rand::rng()));
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    res
}
