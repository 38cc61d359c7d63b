//! The HTTP interface of a stand-in engine.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::middleware;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::sse;
use axum::routing;
use bytes::Bytes;
use futures_util::stream;
use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use super::answer;
use super::cache;
use super::life;
use super::process;
use crate::recording;

/// Header with the request's own name, for `/cancel` and `/streams`.
const REQUEST_ID: &str = "x-request-id";
/// Header with the program whose prefix cache the request uses.
const PROGRAM: &str = "x-program";

type Shared = State<Arc<life::Life>>;

/// Serves until it is dropped.
pub(super) async fn serve(listener: TcpListener, life: Arc<life::Life>) {
    process::serve_http(listener, router(life)).await;
}

fn router(life: Arc<life::Life>) -> Router {
    Router::new()
        .route("/v1/chat/completions", routing::post(complete))
        .route("/v1/models", routing::get(models))
        .route("/cancel", routing::post(cancel))
        .route("/streams/{id}", routing::get(resume))
        .route("/load", routing::get(load))
        .route("/cache/events", routing::get(events))
        .route("/cache/release", routing::post(release))
        .route("/cache/export", routing::post(export))
        .route("/cache/import", routing::post(import))
        .route("/orders", routing::post(order))
        .layer(middleware::from_fn_with_state(life.clone(), freeze))
        .layer(DefaultBodyLimit::disable())
        .with_state(life)
}

/// A frozen engine accepts requests and never answers.
async fn freeze(State(life): Shared, req: Request, next: middleware::Next) -> Response {
    if life.shared.frozen.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    next.run(req).await
}

async fn complete(State(life): Shared, headers: HeaderMap, body: Bytes) -> Response {
    let status = life.shared.status.load(Ordering::SeqCst);
    if status != 0 {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return refuse(status, "injected by the test");
    }
    let parsed = match chat::Request::parse(&body) {
        Ok(parsed) => parsed,
        Err(err) => return refuse(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    if is_poisonous(&life, &parsed) {
        life.count_run(digest::Digest::EMPTY.extend_all(&parsed.messages));
        life.record_start(Some(recording::turn_work(&parsed.messages)));
        life.shared.control.crash();
        std::future::pending::<()>().await;
    }
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header(REQUEST_ID).map_or_else(|| super::fresh_id(&life.ids), SmolStr::from);
    let bound = parsed.max_tokens.unwrap_or(id::Tokens::MAX);
    let tokens = id::Tokens::from(life.shared.opts.answer).min(bound);
    let recorded = life.shared.opts.recording.as_ref();
    let stream = life.submit(life::Request {
        id: id.clone(),
        program: header(PROGRAM).map(id::ProgramId::from),
        model: parsed.model.to_string(),
        marks: marks(&parsed.messages),
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        work: recorded.map(|_| recording::turn_work(&parsed.messages)),
    });
    if parsed.stream {
        deliver(&life, stream, 0)
    } else {
        whole(&id, &parsed.model, &stream).await
    }
}

fn is_poisonous(life: &life::Life, parsed: &chat::Request) -> bool {
    let poison = life.shared.poison.lock();
    let Some(poison) = poison.as_deref() else {
        return false;
    };
    let mut messages = parsed.messages.iter();
    messages.any(|message| message.as_str().contains(poison))
}

fn marks(messages: &[chat::Message]) -> Vec<cache::Mark> {
    let mut digest = digest::Digest::EMPTY;
    let mut tokens = 0;
    let mark = |message| {
        digest = digest.extend(message);
        tokens += answer::tokens_of(message);
        cache::Mark { digest, tokens }
    };
    messages.iter().map(mark).collect()
}

/// Sends the chunks of `stream` from `offset` on, as they come.
fn deliver(life: &Arc<life::Life>, stream: Arc<life::Stream>, offset: usize) -> Response {
    let number = life.shared.deliveries.fetch_add(1, Ordering::SeqCst);
    let shared = life.shared.clone();
    let at = Some((stream, offset));
    let chunks = stream::unfold(at, move |at| {
        let shared = shared.clone();
        async move {
            let (stream, offset) = at?;
            let mut progress = stream.progress.subscribe();
            loop {
                if number < shared.silenced.load(Ordering::SeqCst) {
                    std::future::pending::<()>().await;
                }
                let ended = stream.is_ended();
                if let Some(chunk) = stream.chunk(offset) {
                    let event = sse::Event::default().data(&*chunk);
                    return Some((Ok::<_, Infallible>(event), Some((stream, offset + 1))));
                }
                if ended {
                    let event = sse::Event::default().data("[DONE]");
                    return Some((Ok(event), None));
                }
                // The sender lives in `stream`, which is held here.
                let _ = progress.changed().await;
            }
        }
    });
    sse::Sse::new(chunks).into_response()
}

/// Waits for the whole answer and gives it as one object.
async fn whole(id: &str, model: &str, stream: &life::Stream) -> Response {
    let mut progress = stream.progress.subscribe();
    while !stream.is_ended() {
        let _ = progress.changed().await;
    }
    let mut text = String::new();
    let mut usage = Value::Null;
    for chunk in (0..).map_while(|offset| stream.chunk(offset)) {
        let chunk: Value = serde_json::from_str(&chunk).unwrap_or_default();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        text.push_str(content.unwrap_or_default());
        usage = chunk["usage"].clone();
    }
    let message = json!({ "role": "assistant", "content": text });
    Json(json!({
        "id": id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
        "usage": usage,
    }))
    .into_response()
}

async fn models() -> Response {
    let model = json!({ "id": "m", "object": "model", "created": 0, "owned_by": "fake" });
    Json(json!({ "object": "list", "data": [model] })).into_response()
}

#[derive(Deserialize)]
struct Cancel {
    id: SmolStr,
}

async fn cancel(State(life): Shared, Json(req): Json<Cancel>) -> Response {
    let stream = life.state.lock().streams.get(&req.id).cloned();
    let Some(stream) = stream else {
        return refuse(StatusCode::NOT_FOUND, "no such request");
    };
    if !stream.is_ended() {
        stream.cancelled.store(true, Ordering::SeqCst);
        life.shared.counts.lock().cancelled += 1;
        life.work.notify_one();
    }
    Json(json!({ "cancelled": true })).into_response()
}

#[derive(Deserialize)]
struct Offset {
    #[serde(default)]
    offset: usize,
}

async fn resume(
    State(life): Shared,
    Path(id): Path<SmolStr>,
    Query(query): Query<Offset>,
) -> Response {
    let stream = life.state.lock().streams.get(&id).cloned();
    let Some(stream) = stream else {
        return refuse(StatusCode::NOT_FOUND, "no such stream");
    };
    life.shared.counts.lock().resumed += 1;
    deliver(&life, stream, query.offset)
}

async fn load(State(life): Shared) -> Response {
    Json(life.lagged_report()).into_response()
}

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

async fn events(State(life): Shared, Query(query): Query<From>) -> Response {
    let lag = life.shared.opts.cache_lag;
    let events = life.state.lock().cache.events(query.from, lag);
    Json(json!({ "events": events })).into_response()
}

#[derive(Deserialize)]
struct Release {
    program: id::ProgramId,
}

async fn release(State(life): Shared, Json(req): Json<Release>) -> Response {
    if life.shared.release_lost.load(Ordering::SeqCst) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "lost, as set by the test");
    }
    let held = life.state.lock().cache.remove(&req.program);
    life.shared.counts.lock().released += u32::from(held);
    life.show_cache();
    Json(json!({ "held": held })).into_response()
}

async fn export(State(life): Shared, Json(req): Json<Release>) -> Response {
    let state = life.state.lock();
    match state.cache.marks(&req.program) {
        Some(marks) => Json(json!({ "program": req.program, "marks": marks })).into_response(),
        None => refuse(StatusCode::NOT_FOUND, "nothing is held for this program"),
    }
}

#[derive(Deserialize)]
struct Import {
    program: id::ProgramId,
    marks: Vec<cache::Mark>,
}

async fn import(State(life): Shared, Json(req): Json<Import>) -> Response {
    life.state.lock().cache.put(&req.program, req.marks);
    life.show_cache();
    Json(json!({ "imported": true })).into_response()
}

#[derive(Deserialize)]
struct Order {
    fence: id::Fence,
    order: SmolStr,
    #[serde(default)]
    program: Option<id::ProgramId>,
}

async fn order(State(life): Shared, Json(req): Json<Order>) -> Response {
    let mut state = life.state.lock();
    if life.shared.opts.checks_fence && req.fence < state.fence {
        life.shared.counts.lock().refused_orders += 1;
        return refuse(StatusCode::CONFLICT, "the fencing number is old");
    }
    state.fence = state.fence.max(req.fence);
    life.shared.counts.lock().orders += 1;
    if let ("free", Some(program)) = (req.order.as_str(), &req.program) {
        state.cache.remove(program);
    }
    drop(state);
    life.show_cache();
    Json(json!({ "accepted": true })).into_response()
}

fn refuse(status: StatusCode, message: &str) -> Response {
    let body = json!({ "error": { "message": message } });
    (status, Json(body)).into_response()
}
