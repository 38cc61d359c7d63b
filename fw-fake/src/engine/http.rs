//! HTTP interface of a stand-in engine.

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
use super::incarnation;
use super::process;
use crate::recording;

/// Header with the request id, which `/cancel` and `/streams` refer to.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the program whose prefix cache the request uses.
const PROGRAM_HEADER: &str = "x-program";

type Shared = State<Arc<incarnation::Incarnation>>;

/// Serves until the future is dropped.
pub(super) async fn serve(listener: TcpListener, engine: Arc<incarnation::Incarnation>) {
    process::serve_http(listener, router(engine)).await;
}

fn router(engine: Arc<incarnation::Incarnation>) -> Router {
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
        .layer(middleware::from_fn_with_state(
            engine.clone(),
            hang_if_frozen,
        ))
        .layer(DefaultBodyLimit::disable())
        .with_state(engine)
}

/// Middleware that accepts requests but never answers them while the engine is frozen.
async fn hang_if_frozen(State(engine): Shared, req: Request, next: middleware::Next) -> Response {
    if engine.shared.frozen.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    next.run(req).await
}

async fn complete(State(engine): Shared, headers: HeaderMap, body: Bytes) -> Response {
    let status = engine.shared.fail_status.load(Ordering::SeqCst);
    if status != 0 {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return error_response(status, "injected by the test");
    }
    let parsed = match chat::Request::parse(&body) {
        Ok(parsed) => parsed,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    if contains_poison(&engine, &parsed) {
        engine.count_run(digest::Digest::EMPTY.extend_all(&parsed.messages));
        engine.record_start(Some(recording::turn_work(&parsed.messages)));
        engine.shared.control.crash();
        std::future::pending::<()>().await;
    }
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header(REQUEST_ID_HEADER).map_or_else(|| super::next_id(&engine.ids), SmolStr::from);
    let bound = parsed.max_tokens.unwrap_or(id::Tokens::MAX);
    let tokens = id::Tokens::from(engine.shared.opts.answer).min(bound);
    let recorded = engine.shared.opts.recording.as_ref();
    let stream = engine.submit(incarnation::Request {
        id: id.clone(),
        program: header(PROGRAM_HEADER).map(id::ProgramId::from),
        model: parsed.model.to_string(),
        marks: marks(&parsed.messages),
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        work: recorded.map(|_| recording::turn_work(&parsed.messages)),
    });
    if parsed.stream {
        stream_chunks(&engine, stream, 0)
    } else {
        collect_answer(&id, &parsed.model, &stream).await
    }
}

fn contains_poison(engine: &incarnation::Incarnation, parsed: &chat::Request) -> bool {
    let poison = engine.shared.poison.lock();
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

/// Sends the chunks of `stream` from `offset` on as server-sent events, as they are generated.
fn stream_chunks(
    engine: &Arc<incarnation::Incarnation>,
    stream: Arc<incarnation::Stream>,
    offset: usize,
) -> Response {
    let number = engine.shared.deliveries.fetch_add(1, Ordering::SeqCst);
    let shared = engine.shared.clone();
    let at = Some((stream, offset));
    let chunks = stream::unfold(at, move |at| {
        let shared = shared.clone();
        async move {
            let (stream, offset) = at?;
            let mut progress = stream.progress.subscribe();
            loop {
                if number < shared.stalled.load(Ordering::SeqCst) {
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
                // The sender is owned by `stream`, which is alive here, so that this cannot fail.
                let _ = progress.changed().await;
            }
        }
    });
    sse::Sse::new(chunks).into_response()
}

/// Waits for the complete answer and returns it as a single object.
async fn collect_answer(id: &str, model: &str, stream: &incarnation::Stream) -> Response {
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

async fn cancel(State(engine): Shared, Json(req): Json<Cancel>) -> Response {
    let stream = engine.state.lock().streams.get(&req.id).cloned();
    let Some(stream) = stream else {
        return error_response(StatusCode::NOT_FOUND, "request not found");
    };
    if !stream.is_ended() {
        stream.cancelled.store(true, Ordering::SeqCst);
        engine.shared.counts.lock().cancelled += 1;
        engine.work.notify_one();
    }
    Json(json!({ "cancelled": true })).into_response()
}

#[derive(Deserialize)]
struct StreamQuery {
    #[serde(default)]
    offset: usize,
}

async fn resume(
    State(engine): Shared,
    Path(id): Path<SmolStr>,
    Query(query): Query<StreamQuery>,
) -> Response {
    let stream = engine.state.lock().streams.get(&id).cloned();
    let Some(stream) = stream else {
        return error_response(StatusCode::NOT_FOUND, "stream not found");
    };
    engine.shared.counts.lock().resumed += 1;
    stream_chunks(&engine, stream, query.offset)
}

async fn load(State(engine): Shared) -> Response {
    Json(engine.lagged_report()).into_response()
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn events(State(engine): Shared, Query(query): Query<EventsQuery>) -> Response {
    let lag = engine.shared.opts.cache_lag;
    let events = engine.state.lock().cache.events(query.from, lag);
    Json(json!({ "events": events })).into_response()
}

#[derive(Deserialize)]
struct Release {
    program: id::ProgramId,
}

async fn release(State(engine): Shared, Json(req): Json<Release>) -> Response {
    if engine.shared.loses_releases.load(Ordering::SeqCst) {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "lost by injected fault");
    }
    let held = engine.state.lock().cache.remove(&req.program);
    engine.shared.counts.lock().released += u32::from(held);
    engine.publish_cache();
    Json(json!({ "held": held })).into_response()
}

async fn export(State(engine): Shared, Json(req): Json<Release>) -> Response {
    let state = engine.state.lock();
    match state.cache.marks(&req.program) {
        Some(marks) => Json(json!({ "program": req.program, "marks": marks })).into_response(),
        None => error_response(StatusCode::NOT_FOUND, "no cache entry for this program"),
    }
}

#[derive(Deserialize)]
struct Import {
    program: id::ProgramId,
    marks: Vec<cache::Mark>,
}

async fn import(State(engine): Shared, Json(req): Json<Import>) -> Response {
    engine.state.lock().cache.put(&req.program, req.marks);
    engine.publish_cache();
    Json(json!({ "imported": true })).into_response()
}

#[derive(Deserialize)]
struct Order {
    fence: id::Fence,
    order: SmolStr,
    #[serde(default)]
    program: Option<id::ProgramId>,
}

async fn order(State(engine): Shared, Json(req): Json<Order>) -> Response {
    let mut state = engine.state.lock();
    if engine.shared.opts.checks_fence && req.fence < state.fence {
        engine.shared.counts.lock().refused_orders += 1;
        return error_response(StatusCode::CONFLICT, "stale fencing number");
    }
    state.fence = state.fence.max(req.fence);
    engine.shared.counts.lock().orders += 1;
    if let ("free", Some(program)) = (req.order.as_str(), &req.program) {
        state.cache.remove(program);
    }
    drop(state);
    engine.publish_cache();
    Json(json!({ "accepted": true })).into_response()
}

fn error_response(status: StatusCode, message: &str) -> Response {
    let body = json!({ "error": { "message": message } });
    (status, Json(body)).into_response()
}
