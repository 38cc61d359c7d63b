//! The answer of an attempt as it grows, read by offset.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Asks for the events of an attempt from `offset` on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Index of the first event wanted; the first event of an attempt is 0.
    pub offset: u32,
    /// How long to wait for an event if there is none yet.
    pub wait: Duration,
    /// How long to wait for further events once there is one, so that they share an answer.
    #[serde(default)]
    pub gather: Duration,
}

/// One streamed chunk: the JSON text of an OpenAI `chat.completion.chunk`.
pub type Event = Arc<str>;

/// The events from the offset asked for, and how the attempt stands after them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Events from the offset on; empty if the wait passed without one.
    pub events: Vec<Event>,
    /// State of the attempt after `events`.
    pub state: State,
}

/// How an attempt stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum State {
    /// Waits at the side for its release into the engine.
    Queued,
    /// Runs in the engine.
    Running,
    /// Ended whole; no event follows those already given.
    Done(Box<Finish>),
    /// Ended with an error.
    Failed(error::Error),
    /// The turn goes on under another attempt, whose events start anew at 0. Only keepers say so.
    Moved(id::AttemptId),
    /// The receiver knows no such attempt (any more).
    Unknown,
}

impl State {
    /// Whether no event follows any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finish {
    /// The assistant's message, as it enters the history.
    pub message: chat::Message,
    /// Why generation ended, in OpenAI's words: `stop`, `length`, `tool_calls`.
    pub finish_reason: String,
    /// Token counts.
    pub usage: chat::Usage,
    /// Time spent in the side's queue.
    pub queued: Duration,
    /// Time from release into the engine to its first token.
    pub first_token: Duration,
    /// Time from release into the engine to the end.
    pub ran: Duration,
}
