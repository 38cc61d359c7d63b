//! Operators that race on a record, readers of plain services, and sampling of the records in
//! force.

use std::time::Duration;
use std::time::Instant;

use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_check::event::Event;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::calls;
use super::endpoints;
use crate::caller;
use crate::system;

/// The record that the operators change concurrently.
const RECORD: &str = "route/extra";
/// Longest that an operator or reader waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which the records in force are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Changes the record repeatedly by compare-and-swap until `stop`.
pub async fn run_operator(
    cx: calls::Context,
    name: &'static str,
    mut rng: Pcg64,
    stop: CancellationToken,
) {
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        if let Some(endpoint) = cx.endpoints.pick(rng.random_range(0..8)) {
            let path = format!("/extra/{name}/{count}");
            change_record(&cx, &endpoint, path).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..500))).await;
    }
}

async fn change_record(cx: &calls::Context, endpoint: &endpoints::Endpoint, path: String) {
    let now = admin(endpoint, "GET", &format!("/admin/records/{RECORD}"), "").await;
    let revision = match now.status {
        200 => now.body["revision"].as_i64().unwrap_or(0),
        404 => 0,
        _ => return,
    };
    let record = json!({ "schema": 2, "path": path, "service": system::TOOLS });
    let value = Some(digest::Digest::of_bytes(path.as_bytes()));
    let at = format!("/admin/records/{RECORD}?revision={revision}");
    let answer = admin(endpoint, "PUT", &at, &record.to_string()).await;
    let name = RECORD.into();
    match (answer.status, answer.body["revision"].as_i64(), answer.kind) {
        (200, Some(revision), _) => cx.recorder.record(Event::RecordAccepted {
            revision,
            name,
            value,
        }),
        (_, _, Some(kind)) if kind.row().ran == error::Ran::No => {}
        _ => cx.recorder.record(Event::RecordDoubtful { name, value }),
    }
}

async fn admin(
    endpoint: &endpoints::Endpoint,
    method: &str,
    path: &str,
    body: &str,
) -> caller::Answer {
    let caller = caller::Caller::new();
    let body = body.to_owned().into();
    let answer = caller.plain(endpoint.admin, method, path, &[], body);
    tokio::time::timeout(CALL_TIMEOUT, answer)
        .await
        .unwrap_or_default()
}

/// Reads from a plain service repeatedly until `stop`; no two requests are the same.
pub async fn run_reader(
    cx: calls::Context,
    name: &'static str,
    mut rng: Pcg64,
    stop: CancellationToken,
) {
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        if let Some(endpoint) = cx.endpoints.pick(count) {
            let call = calls::Plain {
                caller: name.into(),
                method: "GET",
                path: format!("/lookup/{name}/{count}"),
                key: None,
                body: format!("{name} looks up {count}"),
                timeout: CALL_TIMEOUT,
            };
            cx.plain(&endpoint, &call).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
    }
}

/// Records at intervals which records are in force at each entry, until `stop`.
pub async fn sample_until_stopped(cx: calls::Context, stop: CancellationToken) {
    while !stop.is_cancelled() {
        sample(&cx);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Records which revision is in force at each entry; returns the lowest.
pub fn sample(cx: &calls::Context) -> id::Revision {
    let mut lowest = id::Revision::MAX;
    for endpoint in cx.endpoints.all() {
        let Some(entry) = endpoint.entry.upgrade() else {
            continue;
        };
        // An entry that has not loaded its records yet accepts no calls.
        if !entry.records.is_loaded() {
            continue;
        }
        let set = entry.records.current();
        let revision = set.revision();
        lowest = lowest.min(revision);
        cx.recorder.record(Event::RecordInForce {
            process: endpoint.process,
            revision,
            values: None,
        });
    }
    lowest
}

/// Waits until the newest accepted revision is in force at every entry, or `limit` has passed.
pub async fn wait_in_force(cx: &calls::Context, limit: Duration) {
    let accepted = cx
        .recorder
        .entries()
        .into_iter()
        .filter_map(|entry| match entry.event {
            Event::RecordAccepted { revision, .. } => Some(revision),
            _ => None,
        });
    let newest = accepted.max().unwrap_or(0);
    let until = Instant::now() + limit;
    while sample(cx) < newest && Instant::now() < until {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
