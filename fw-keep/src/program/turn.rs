//! The forms of a turn: requested, running, committed and saved in a snapshot.

use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger;

/// How the messages of a turn relate to the committed history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum History {
    /// They begin with the committed history.
    #[default]
    Full,
    /// They follow the committed history.
    Delta,
}

/// A turn that a caller requests.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The team.
    pub team: id::TeamId,
    /// The program that this one is a sub-agent of.
    pub parent: Option<id::ProgramId>,
    /// Number of the turn, if the caller gave it.
    pub turn: Option<id::Turn>,
    /// Digest of the committed history, if the caller gave it.
    pub base: Option<Digest>,
    /// How `messages` relate to the committed history.
    pub history: History,
    /// The messages.
    pub messages: Vec<chat::Message>,
    /// Fingerprint of everything else that affects the answer: model, parameters, limits.
    pub params: Digest,
    /// A new random id of the attempt that is to run the turn.
    pub attempt: id::AttemptId,
    /// Maximum tokens to generate, if the caller set a limit.
    pub max_tokens: Option<id::Tokens>,
    /// The program's current budget.
    pub limits: ledger::Limits,
}

impl Default for Begin {
    fn default() -> Self {
        Self {
            team: id::TeamId::default(),
            parent: None,
            turn: None,
            base: None,
            history: History::Full,
            messages: Vec::new(),
            params: Digest::EMPTY,
            attempt: 0,
            max_tokens: None,
            limits: ledger::Limits::default(),
        }
    }
}

/// Outcome of a request for a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The turn is to be run.
    Run(Run),
    /// The turn is running already.
    Attach {
        /// The attempt that runs it.
        attempt: id::AttemptId,
        /// Its number.
        turn: id::Turn,
    },
    /// The turn was committed before.
    Replay {
        /// The attempt that ran it.
        attempt: id::AttemptId,
        /// Its number.
        turn: id::Turn,
        /// Its answer.
        answer: Answer,
    },
    /// The turn is refused.
    Refused(error::Error),
}

/// A turn to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The attempt that is to run it.
    pub attempt: id::AttemptId,
    /// Its number.
    pub turn: id::Turn,
    /// Digest of the history before it.
    pub base: Digest,
    /// The messages after that history.
    pub messages: Vec<chat::Message>,
    /// Digest of the complete prompt.
    pub digest: Digest,
    /// Estimate of the tokens of the complete prompt.
    pub prompt_tokens: id::Tokens,
    /// Maximum tokens to generate; `None` if neither caller nor budget sets a limit.
    pub max_tokens: Option<id::Tokens>,
    /// Running time that the budget has left for the turn.
    pub time_left: Option<Duration>,
}

/// A turn that was answered under an earlier keeper and is not in the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The program's team.
    pub team: id::TeamId,
    /// Its number.
    pub turn: id::Turn,
    /// The attempt that ran it.
    pub attempt: id::AttemptId,
    /// Digest of the history before it.
    pub base: Digest,
    /// The messages that it adds.
    pub messages: Vec<chat::Message>,
    /// Fingerprint of its other parameters.
    pub params: Digest,
    /// The answer.
    pub answer: Answer,
    /// Time for which it ran.
    pub ran: Duration,
}

/// The answer of a turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message, as it enters the history.
    pub message: chat::Message,
    /// Why generation ended, as a value of the OpenAI API: `stop`, `length`, `tool_calls`.
    pub finish_reason: String,
    /// Token counts.
    pub usage: chat::Usage,
}

/// A committed turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Its number.
    pub turn: id::Turn,
    /// The attempt that ran it.
    pub attempt: id::AttemptId,
    /// Digest of the history before it.
    pub base: Digest,
    /// Digest of its prompt.
    pub prompt: Digest,
    /// Fingerprint of its other parameters.
    pub params: Digest,
    /// Its answer.
    pub answer: Answer,
}

/// The change that a finished turn makes to its program; the shard writes it to the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn.
    pub committed: Committed,
    /// The new messages before its answer.
    pub messages: Vec<chat::Message>,
    /// The amount that it spent.
    pub spent: ledger::Amount,
}

/// The state of one program in a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// The team.
    pub team: id::TeamId,
    /// The program that this one is a sub-agent of.
    pub parent: Option<id::ProgramId>,
    /// The committed messages.
    pub history: Vec<chat::Message>,
    /// The last committed turn.
    pub last: Option<Committed>,
    /// The amount that it spent.
    pub spent: ledger::Amount,
    /// Whether it was ended.
    pub ended: bool,
    /// Time of its last use.
    pub last_used_at: Duration,
}
