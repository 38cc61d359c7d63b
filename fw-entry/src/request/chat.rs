//! Handler of `POST /v1/chat/completions`: runs a turn and answers as a stream or as a whole.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures_util::Stream;
use fw_base::chat;
use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use fw_wire::peer;
use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::RngExt;

use super::answer;
use super::follow;
use super::headers;
use super::identity;
use crate::process::entry;

/// Counter of chat completions, by form of the answer: `stream`, `whole`.
pub const CALLS: &str = "fw_entry_chat_calls_total";

/// Answers a chat completion request.
pub async fn post(
    State(entry): State<Arc<entry::Entry>>,
    headers: HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Response {
    match complete(entry, &headers, body).await {
        Ok(answer) => answer,
        Err(err) => answer::error_response(&err),
    }
}

async fn complete(
    entry: Arc<entry::Entry>,
    headers: &HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Result<Response, error::Error> {
    let guard = entry.enter()?;
    let team = identity::team(headers, &entry.records.current())?;
    let body = body.map_err(|err| headers::body_error(&err, entry.settings.callers.body_limit))?;
    let parsed = chat::Request::parse(&body)?;
    drop(body);
    let (stream, include_usage) = (parsed.stream, parsed.include_usage);
    let submit = submit_message(&entry, headers, team, parsed)?;
    let (program, model) = (submit.program.clone(), submit.model.clone());
    let mode = match stream {
        true => follow::Mode::Events,
        false => follow::Mode::End,
    };
    let sort = if stream { "stream" } else { "whole" };
    metrics::counter!(CALLS, "sort" => sort).increment(1);
    let follow = follow::Follow::submit(Arc::clone(&entry), submit, mode).await?;
    let turn = follow.turn();
    let mut answer = if stream {
        streamed(follow, include_usage, model, guard).await?
    } else {
        complete_answer(follow, &model).await?
    };
    let response_headers = answer.headers_mut();
    response_headers.insert(headers::PROGRAM, value(&program));
    response_headers.insert(headers::TURN, value(&turn.to_string()));
    Ok(answer)
}

fn submit_message(
    entry: &entry::Entry,
    headers: &HeaderMap,
    team: id::TeamId,
    parsed: chat::Request,
) -> Result<peer::Submit, error::Error> {
    let program = headers::name(headers, headers::PROGRAM)?;
    let single = program.is_none();
    Ok(peer::Submit {
        from: entry.id.clone(),
        revision: entry.records.revision(),
        program: program.unwrap_or_else(|| draw_program_id(entry)),
        single,
        parent: headers::name(headers, headers::PARENT)?,
        turn: headers::turn(headers)?,
        base: headers::base(headers)?,
        history: headers::history(headers)?,
        messages: parsed.messages,
        model: parsed.model,
        max_tokens: parsed.max_tokens,
        params: parsed.params,
        deadline: headers::deadline(headers, &entry.settings.callers)?,
        team,
    })
}

/// A random program id, if possible one whose shard is kept here, which saves a hop.
fn draw_program_id(entry: &entry::Entry) -> id::ProgramId {
    const TRIES: usize = 64;
    let draw = || id::ProgramId::from(format!("one-{:016x}", rand::rng().random::<u64>()));
    let is_kept_here =
        |program: &id::ProgramId| entry.keeper.fence(entry.keeper.shard_of(program)).is_some();
    let mut drawn = (0..TRIES).map(|_| draw());
    drawn.find(is_kept_here).unwrap_or_else(draw)
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

async fn complete_answer(
    mut follow: follow::Follow,
    model: &id::ModelId,
) -> Result<Response, error::Error> {
    loop {
        if let follow::Update::Done(finish) = follow.next().await? {
            return Ok(Json(complete_body(&follow, model, &finish)).into_response());
        }
    }
}

fn complete_body(
    follow: &follow::Follow,
    model: &id::ModelId,
    finish: &attempt::Finish,
) -> serde_json::Value {
    let message: serde_json::Value =
        serde_json::from_str(finish.message.as_str()).unwrap_or_default();
    serde_json::json!({
        "id": follow.answer_id(),
        "object": "chat.completion",
        "created": unix_seconds(),
        "model": model,
        "choices": [{
            "index": 0,
            "message": message,
            "finish_reason": finish.finish_reason,
        }],
        "usage": usage_body(&finish.usage),
    })
}

fn usage_body(usage: &chat::Usage) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": { "cached_tokens": usage.cached },
    })
}

fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs()
}

/// Streams a turn's events. The head is sent with the first event, so that a turn that fails earlier
/// is answered with the status of its error.
async fn streamed(
    mut follow: follow::Follow,
    include_usage: bool,
    model: id::ModelId,
    guard: entry::Guard,
) -> Result<Response, error::Error> {
    let first = follow.next().await?;
    let stream = Streamed {
        follow,
        first: Some(first),
        include_usage,
        model,
        finished: false,
        _guard: guard,
    };
    let headers = [
        (
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        ),
        (header::CACHE_CONTROL, HeaderValue::from_static("no-cache")),
        (
            HeaderName::from_static("x-accel-buffering"),
            HeaderValue::from_static("no"),
        ),
    ];
    let body = Body::from_stream(stream.into_stream());
    Ok((headers, body).into_response())
}

/// A streamed answer. The request counts as under way until its last byte is passed to the connection.
struct Streamed {
    follow: follow::Follow,
    first: Option<follow::Update>,
    include_usage: bool,
    model: id::ModelId,
    finished: bool,
    _guard: entry::Guard,
}

impl Streamed {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        futures_util::stream::unfold(self, async |mut stream| {
            let chunk = stream.chunk().await?;
            Some((Ok(chunk), stream))
        })
    }

    async fn chunk(&mut self) -> Option<Bytes> {
        if self.finished {
            return None;
        }
        let update = match self.first.take() {
            Some(update) => Ok(update),
            None => self.follow.next().await,
        };
        let text = match update {
            Ok(follow::Update::Event(event)) => data(&event),
            Ok(follow::Update::Done(finish)) => {
                self.finished = true;
                self.final_events(&finish)
            }
            Err(err) => {
                self.finished = true;
                answer::count_error(err.kind);
                data(&serde_json::to_string(&answer::body(&err)).unwrap_or_default())
            }
        };
        Some(Bytes::from(text))
    }

    fn final_events(&self, finish: &attempt::Finish) -> String {
        let mut text = String::new();
        if self.include_usage {
            let chunk = serde_json::json!({
                "id": self.follow.answer_id(),
                "object": "chat.completion.chunk",
                "created": unix_seconds(),
                "model": self.model,
                "choices": [],
                "usage": usage_body(&finish.usage),
            });
            text.push_str(&data(&chunk.to_string()));
        }
        text.push_str(&data("[DONE]"));
        text
    }
}

fn data(text: &str) -> String {
    format!("data: {text}\n\n")
}
