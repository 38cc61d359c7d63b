//! Handlers of `GET` and `DELETE /v1/programs/{id}` and of `GET /v1/models`.

use std::sync::Arc;

use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use fw_base::chat;
use fw_base::error;
use fw_base::id;
use fw_wire::peer;
use hyper::HeaderMap;
use serde_json::Value;
use serde_json::json;

use super::answer;
use super::identity;
use crate::process::entry;
use crate::turn::program;

/// Returns a program's status, turn, spent budget and whole history.
pub async fn get(
    State(entry): State<Arc<entry::Entry>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    let query = match query(&entry, name, &headers, true) {
        Ok(query) => query,
        Err(err) => return answer::error_response(&err),
    };
    match program::query(&entry, &query).await {
        Ok(program) => Json(body(&program)).into_response(),
        Err(err) => answer::error_response(&err),
    }
}

/// Ends a program and frees its KV cache.
pub async fn delete(
    State(entry): State<Arc<entry::Entry>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    let query = match query(&entry, name, &headers, false) {
        Ok(query) => query,
        Err(err) => return answer::error_response(&err),
    };
    match program::end(&entry, &query).await {
        Ok(program) => Json(body(&program)).into_response(),
        Err(err) => answer::error_response(&err),
    }
}

/// Lists the models that the records in force offer, in the shape of OpenAI's API.
pub async fn models(State(entry): State<Arc<entry::Entry>>) -> Response {
    let records = entry.records.current();
    let model =
        |name: &id::ModelId| json!({ "id": name, "object": "model", "owned_by": "operator" });
    let data: Vec<Value> = records.models().map(model).collect();
    Json(json!({ "object": "list", "data": data })).into_response()
}

fn query(
    entry: &entry::Entry,
    name: String,
    headers: &HeaderMap,
    with_history: bool,
) -> Result<peer::Query, error::Error> {
    Ok(peer::Query {
        program: name.into(),
        team: identity::team(headers, &entry.records.current())?,
        with_history,
    })
}

fn body(program: &peer::Program) -> Value {
    let message = |message: &chat::Message| -> Value {
        serde_json::from_str(message.as_str()).unwrap_or_default()
    };
    json!({
        "id": program.program,
        "status": program.status,
        "turn": program.turn,
        "digest": program.digest,
        "tokens": program.tokens,
        "tokens_left": program.tokens_left,
        "team": program.team,
        "history": program.history.iter().map(message).collect::<Vec<_>>(),
    })
}
