//! A turn as it is asked for, run and committed.

use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger;

/// How the messages of a turn are to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum History {
    /// They begin with the committed history.
    #[default]
    Full,
    /// They follow the committed history.
    Delta,
}

/// A turn that a caller asks for.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The team.
    pub team: id::TeamId,
    /// The program that this one is a sub-agent of.
    pub parent: Option<id::ProgramId>,
    /// The turn, if the caller named it.
    pub turn: Option<id::Turn>,
    /// Digest of the committed history, if the caller named it.
    pub base: Option<Digest>,
    /// How `messages` are to be read.
    pub history: History,
    /// The messages.
    pub messages: Vec<chat::Message>,
    /// Fingerprint of everything else that shapes the answer: model, parameters, bounds.
    pub params: Digest,
    /// The attempt to run the turn under, drawn afresh.
    pub attempt: id::AttemptId,
    /// Most tokens to generate, if the caller set a bound.
    pub max_tokens: Option<id::Tokens>,
    /// The program's budget as of now.
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

/// What became of a turn that was asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Run it.
    Run(Run),
    /// It runs already.
    Attach {
        /// The attempt that runs it.
        attempt: id::AttemptId,
        /// Its number.
        turn: id::Turn,
    },
    /// It was committed before.
    Replay {
        /// The attempt that ran it.
        attempt: id::AttemptId,
        /// Its number.
        turn: id::Turn,
        /// Its answer.
        answer: Answer,
    },
    /// It does not run.
    Refused(error::Error),
}

/// A turn to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The attempt to run it under.
    pub attempt: id::AttemptId,
    /// Its number.
    pub turn: id::Turn,
    /// Digest of the history before it.
    pub base: Digest,
    /// The messages after that history.
    pub messages: Vec<chat::Message>,
    /// Digest of the whole prompt.
    pub digest: Digest,
    /// Estimate of the whole prompt's tokens.
    pub prompt_tokens: id::Tokens,
    /// Most tokens to generate; `None` if neither caller nor budget sets a bound.
    pub max_tokens: Option<id::Tokens>,
    /// Time that the budget leaves for the turn.
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
    /// Digest of what else makes it the turn that it is.
    pub params: Digest,
    /// The answer.
    pub answer: Answer,
    /// Time that it ran.
    pub ran: Duration,
}

/// The answer of a turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message, as it enters the history.
    pub message: chat::Message,
    /// Why generation ended, in OpenAI's words: `stop`, `length`, `tool_calls`.
    pub finish_reason: String,
    /// Token counts.
    pub usage: chat::Usage,
}

/// A turn that was finished.
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

/// What a finished turn adds to the program; the shard writes it to the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn.
    pub committed: Committed,
    /// The messages that it added before its answer.
    pub messages: Vec<chat::Message>,
    /// What it spent.
    pub spent: ledger::Amount,
}

/// What a snapshot keeps of one program.
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
    /// What it spent.
    pub spent: ledger::Amount,
    /// Whether it was ended.
    pub ended: bool,
    /// When it was last used.
    pub last_used_at: Duration,
}
