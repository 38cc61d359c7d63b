//! A stand-in for an entry's admin API, over a fake store.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::routing::any;
use axum::routing::get;
use fw_fake::store;
use fw_record::admin;
use fw_record::write;
use fw_store::client;
use serde_json::Value;
use serde_json::json;

/// Number of processes that the answers report.
const PROCESSES: usize = 3;

/// A running stand-in.
pub struct Entry {
    /// Its admin address.
    pub addr: String,
    /// The store behind it.
    pub store: store::Store,
}

struct Shared {
    client: client::Client,
    /// Processes in which the change is in force; grows by one with each request.
    in_force: AtomicUsize,
    /// Upper bound of that number.
    reach: usize,
    /// Whether the other processes drop out of the list after [`DROP_AFTER`] requests.
    drops: bool,
}

/// Number of requests after which processes drop out of the list.
const DROP_AFTER: usize = 4;

/// Starts a stand-in whose changes reach `reach` of three processes.
pub async fn start(reach: usize) -> Entry {
    start_with(reach, false).await
}

/// Same as [`start`]; the processes that are not reached drop out of the list if `drops`.
pub async fn start_with(reach: usize, drops: bool) -> Entry {
    let store = store::Store::start(store::Options::default())
        .await
        .unwrap();
    let shared = Arc::new(Shared {
        client: client::Client::new(client::Options {
            endpoints: store.endpoints(),
            ..client::Options::default()
        }),
        in_force: AtomicUsize::new(0),
        reach,
        drops,
    });
    let app = Router::new()
        .route("/admin/records", any(records))
        .route("/admin/records/{*path}", any(records))
        .route("/admin/inforce", get(in_force))
        .route("/admin/programs", get(programs))
        .route("/admin/explain/{program}", get(explain))
        .with_state(shared);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move { axum::serve(listener, app).await });
    Entry { addr, store }
}

async fn records(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    body: Bytes,
) -> (StatusCode, Json<Value>) {
    let req = admin::Request {
        method: method.as_str(),
        path: uri.path().strip_prefix("/admin/records").unwrap(),
        query: uri.query().unwrap_or_default(),
        body: &body,
    };
    let answer = admin::handle(&shared.client, req, &write::Options::default()).await;
    (
        StatusCode::from_u16(answer.status).unwrap(),
        Json(answer.body),
    )
}

async fn in_force(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let earlier = shared.in_force.fetch_add(1, Ordering::Relaxed);
    let count = earlier.min(shared.reach);
    let listed = match shared.drops && earlier > DROP_AFTER {
        true => shared.reach,
        false => PROCESSES,
    };
    let waiting: Vec<_> = (count..listed).map(|n| format!("entry-{n}")).collect();
    Json(json!({ "revision": 1, "in_force": count, "of": listed, "waiting": waiting }))
}

async fn programs() -> Json<Value> {
    Json(json!({ "entry": {}, "programs": [
        { "id": "p-1", "status": "idle", "turn": 3, "tokens": 912, "team": "t", "shard": 9 },
    ]}))
}

async fn explain(uri: Uri) -> Json<Value> {
    let is_known = uri.path().ends_with("/p-1");
    let event = json!({ "at_ms": 12, "what": "placed", "why": "cache of 700 tokens at w1" });
    let events = if is_known { vec![event] } else { Vec::new() };
    Json(json!({ "keeper": "this entry", "events": events }))
}
