//! Streaming of an attempt's answer, read by offset.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Requests the events of an attempt from `offset` on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Index of the first requested event; the first event of an attempt is 0.
    pub offset: u32,
    /// How long to wait for an event if there is none yet.
    pub wait: Duration,
    /// How long to wait for further events once there is one, so that they share a reply.
    #[serde(default)]
    pub gather: Duration,
}

/// One streamed chunk: the JSON text of an OpenAI `chat.completion.chunk`.
pub type Event = Arc<str>;

/// The events from the requested offset on, and the state of the attempt after them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Events from the offset on; empty if the wait ended without one.
    pub events: Vec<Event>,
    /// State of the attempt after `events`.
    pub state: State,
}

/// State of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum State {
    /// Waiting at the side for its release into the engine.
    Queued,
    /// Running in the engine.
    Running,
    /// Completed; no event follows those already returned.
    Done(Box<Finish>),
    /// Ended with an error.
    Failed(error::Error),
    /// The turn continues under another attempt, whose events start at 0 again. Only keepers return this.
    Moved(id::AttemptId),
    /// The receiver has no such attempt, or no longer has it.
    Unknown,
}

impl State {
    /// Whether no further event follows.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finish {
    /// The assistant's message, as appended to the history.
    pub message: chat::Message,
    /// Why generation ended, by OpenAI's values: `stop`, `length`, `tool_calls`.
    pub finish_reason: String,
    /// Token counts.
    pub usage: chat::Usage,
    /// Time spent in the side's queue.
    pub queued: Duration,
    /// Time from release into the engine to its first token.
    pub first_token: Duration,
    /// Time from release into the engine to completion.
    pub ran: Duration,
}
