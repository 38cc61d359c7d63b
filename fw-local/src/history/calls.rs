//! Recorded calls: an event is recorded before a call is sent, and another when it ends.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_check::event;
use fw_check::event::Event;
use fw_check::recorder;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::net::TcpStream;

use super::endpoints;
use crate::caller;

/// State shared by all recorded callers.
#[derive(Clone)]
pub struct Context {
    /// Recorder of the run.
    pub recorder: recorder::Recorder,
    /// The entries that accept calls.
    pub endpoints: Arc<endpoints::Endpoints>,
}

/// Result of a call.
pub enum CallResult {
    /// The call was answered.
    Answered(Box<caller::Answer>),
    /// The call was refused with an error.
    Refused {
        /// Kind of the error.
        kind: error::Kind,
        /// Delay after which it may be sent again, if the error gives one.
        after: Option<Duration>,
    },
    /// Neither an answer nor an error arrived.
    Lost,
}

/// A turn to send.
#[derive(Clone)]
pub struct Turn {
    /// Its caller.
    pub caller: event::CallerId,
    /// The program.
    pub program: id::ProgramId,
    /// Its number.
    pub turn: id::Turn,
    /// The message that it appends to the history.
    pub message: Value,
    /// The request.
    pub chat: caller::Chat,
    /// Longest that the caller waits before it disconnects.
    pub timeout: Duration,
}

/// A plain request to send.
#[derive(Clone)]
pub struct Plain {
    /// Its caller.
    pub caller: event::CallerId,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The `Idempotency-Key`; absent for an idempotent request.
    pub key: Option<SmolStr>,
    /// The body.
    pub body: String,
    /// Longest that the caller waits before it disconnects.
    pub timeout: Duration,
}

impl Context {
    /// Sends a turn to the entry at `endpoint`.
    pub async fn turn(&self, endpoint: &endpoints::Endpoint, turn: &Turn) -> CallResult {
        let call = self.recorder.next_id();
        self.recorder.record(Event::TurnSent(event::TurnSent {
            call,
            caller: turn.caller.clone(),
            to: endpoint.process.clone(),
            program: turn.program.clone(),
            turn: turn.turn,
            messages: digests(std::slice::from_ref(&turn.message)),
        }));
        if !is_reachable(endpoint).await {
            return self.lost(call, false, false);
        }
        // A new connection for each call: a pooled one could turn out closed as the call is
        // written.
        let caller = caller::Caller::new();
        let answer = caller.chat(endpoint.callers, &turn.chat);
        let Ok(answer) = tokio::time::timeout(turn.timeout, answer).await else {
            return self.lost(call, true, true);
        };
        let digest = digests(&[answer.message()])[0];
        self.ended(call, answer, digest)
    }

    /// Sends a plain request to the entry at `endpoint`.
    pub async fn plain(&self, endpoint: &endpoints::Endpoint, plain: &Plain) -> CallResult {
        let call = self.recorder.next_id();
        let body = plain.body.as_bytes();
        self.recorder.record(Event::PlainSent(event::PlainSent {
            call,
            caller: plain.caller.clone(),
            to: endpoint.process.clone(),
            request: event::request_digest(plain.method, &plain.path, body),
            key: plain.key.clone(),
            idempotent: plain.key.is_none(),
        }));
        if !is_reachable(endpoint).await {
            return self.lost(call, false, false);
        }
        let key = plain
            .key
            .iter()
            .map(|key| ("idempotency-key", key.to_string()));
        let headers: Vec<_> = key.collect();
        let caller = caller::Caller::new();
        let answer = caller.plain(
            endpoint.callers,
            plain.method,
            &plain.path,
            &headers,
            plain.body.clone().into(),
        );
        let Ok(answer) = tokio::time::timeout(plain.timeout, answer).await else {
            return self.lost(call, true, true);
        };
        let digest = digest::Digest::of_bytes(answer.text.as_bytes());
        self.ended(call, answer, digest)
    }

    fn ended(
        &self,
        call: event::CallId,
        answer: caller::Answer,
        digest: digest::Digest,
    ) -> CallResult {
        if let Some(kind) = answer.kind {
            let ran = answer.ran.unwrap_or(kind.row().ran);
            self.recorder.record(Event::Refused { call, kind, ran });
            let after = answer.retry_after;
            return CallResult::Refused { kind, after };
        }
        if !answer.is_ok() {
            return self.lost(call, true, false);
        }
        self.recorder.record(Event::Answered {
            call,
            answer: digest,
            whole: answer.whole,
            tokens: answer.prompt + answer.completion,
        });
        CallResult::Answered(Box::new(answer))
    }

    fn lost(&self, call: event::CallId, sent: bool, by_caller: bool) -> CallResult {
        self.recorder.record(Event::Lost {
            call,
            sent,
            by_caller,
        });
        CallResult::Lost
    }
}

/// Whether the entry accepts connections.
async fn is_reachable(endpoint: &endpoints::Endpoint) -> bool {
    TcpStream::connect(endpoint.callers).await.is_ok()
}

/// Digests of messages, as the record holds them.
pub fn digests(messages: &[Value]) -> Vec<digest::Digest> {
    let canonical = messages.iter().cloned().map(chat::Message::from_value);
    let known = canonical.filter_map(Result::ok);
    known
        .map(|message| event::message_digest(&message))
        .collect()
}
