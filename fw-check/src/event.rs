//! The events of a record.
//!
//! The order of the record agrees with causality: a sender records its event before it sends, a
//! receiver after it has received. A run therefore starts after its call was sent, and an upstream
//! records the end of a run before it sends the last byte of the answer.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Identifies a request of a caller; see [`crate::recorder::Recorder::next_id`].
pub type CallId = u64;
/// Identifies a run of a request at an upstream; see [`crate::recorder::Recorder::next_id`].
pub type RunId = u64;
/// Identifies a caller.
pub type CallerId = SmolStr;
/// Identifies an entry or a side across its restarts.
pub type ProcessId = SmolStr;

/// An event and the time at which it was recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since the start of the record; serialized in microseconds.
    #[serde(rename = "at_us", with = "micros")]
    pub at: Duration,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A turn that a caller sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnSent {
    /// The request.
    pub call: CallId,
    /// The sender.
    pub caller: CallerId,
    /// The entry that it is sent to.
    pub to: ProcessId,
    /// The program.
    pub program: id::ProgramId,
    /// The turn; a resend has the same number.
    pub turn: id::Turn,
    /// Digests of the messages that the turn adds; see [`message_digest`]. Messages that contain
    /// their program and turn let the checker attribute each run to one turn.
    pub messages: Vec<Digest>,
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainSent {
    /// The request.
    pub call: CallId,
    /// The sender.
    pub caller: CallerId,
    /// The entry that it is sent to.
    pub to: ProcessId,
    /// Digest of the request as the service receives it; see [`request_digest`].
    pub request: Digest,
    /// The value of the `Idempotency-Key` header.
    pub key: Option<SmolStr>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// The request that an upstream runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A turn: the digests of all messages of its prompt, in order.
    Turn(Vec<Digest>),
    /// A plain request: the digest in [`PlainSent::request`].
    Plain(Digest),
}

/// An event of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sends a turn.
    TurnSent(TurnSent),
    /// A caller sends a plain request.
    PlainSent(PlainSent),
    /// A caller received an answer.
    Answered {
        /// The request.
        call: CallId,
        /// Digest of the answer: of the assistant's message, or of a plain answer's body.
        answer: Digest,
        /// Whether it was terminated as its protocol requires, not truncated.
        whole: bool,
        /// Tokens used, as the answer reports them.
        tokens: id::Tokens,
    },
    /// A caller received an error.
    Refused {
        /// The request.
        call: CallId,
        /// The kind of error.
        kind: error::Kind,
        /// Whether the request ran, as reported to the caller.
        ran: error::Ran,
    },
    /// A caller timed out, or its connection broke.
    Lost {
        /// The request.
        call: CallId,
        /// Whether any byte of it may have been sent: false if no connection was established.
        sent: bool,
        /// Whether the caller itself aborted it.
        by_caller: bool,
    },
    /// An upstream starts to run a request.
    RunStarted {
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: id::UpstreamId,
        /// The request that it runs.
        work: Work,
    },
    /// An upstream ended a run.
    RunEnded {
        /// The run.
        run: RunId,
        /// Digest of its answer, if it has one.
        answer: Option<Digest>,
    },
    /// A caller read a program's history.
    HistoryRead {
        /// The program.
        program: id::ProgramId,
        /// Digests of all its messages, in order.
        messages: Vec<Digest>,
    },
    /// A program's end was confirmed to its caller.
    ProgramEnded {
        /// The program.
        program: id::ProgramId,
    },
    /// An engine starts to hold KV cache for a program.
    MemoryHeld {
        /// The engine.
        upstream: id::UpstreamId,
        /// The program.
        program: id::ProgramId,
    },
    /// An engine has freed the KV cache of a program.
    MemoryFreed {
        /// The engine.
        upstream: id::UpstreamId,
        /// The program.
        program: id::ProgramId,
    },
    /// A program's budget was set, before its first turn.
    BudgetSet {
        /// The program.
        program: id::ProgramId,
        /// Maximum number of tokens, if limited.
        tokens: Option<id::Tokens>,
        /// Maximum number of turns, if limited.
        turns: Option<id::Turn>,
    },
    /// Tokens were charged to a program.
    Charged {
        /// The program.
        program: id::ProgramId,
        /// The number of tokens.
        tokens: id::Tokens,
    },
    /// An operator's change of a record was accepted.
    RecordAccepted {
        /// Revision of the set of records that contains the change.
        revision: id::Revision,
        /// Name of the record.
        name: SmolStr,
        /// Digest of its value; absent if it was deleted.
        value: Option<Digest>,
    },
    /// An operator received no answer to a change of a record, which may have taken effect.
    RecordDoubtful {
        /// Name of the record.
        name: SmolStr,
        /// Digest of its value; absent if it was to be deleted.
        value: Option<Digest>,
    },
    /// A process reported the set of records that is in force there.
    RecordInForce {
        /// The process.
        process: ProcessId,
        /// Revision of that set.
        revision: id::Revision,
        /// Digests of the values by name; absent if only the revision was requested.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        values: Option<BTreeMap<SmolStr, Digest>>,
    },
    /// An upstream starts to leave.
    UpstreamLeaving {
        /// The upstream.
        upstream: id::UpstreamId,
    },
    /// A graceful shutdown of a process was requested.
    ShutdownBegun {
        /// The process.
        process: ProcessId,
    },
    /// A process has exited after a graceful shutdown.
    ShutdownEnded {
        /// The process.
        process: ProcessId,
        /// Number of requests still in flight, as the process itself counted them.
        cut_off: u32,
    },
    /// The process or upstream of this name crashed or was killed.
    Crashed {
        /// The process.
        process: ProcessId,
    },
}

/// The digest that represents a message in a record.
pub fn message_digest(message: &chat::Message) -> Digest {
    Digest::of_bytes(message.as_str().as_bytes())
}

/// The digest that represents a plain request: of its method, path with query, and body.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let head = format!("{method} {path}\n");
    Digest::of_bytes(&[head.as_bytes(), body].concat())
}

mod micros {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub fn serialize<S: Serializer>(at: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_micros)
    }
}
