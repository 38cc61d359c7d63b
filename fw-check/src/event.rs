//! What is recorded of a run.
//!
//! The order of the record is the order of time: a sender notes its event before it sends, a
//! receiver after it received. So a run begins after its call was sent, and an upstream notes the
//! run's end before it sends the last byte of its answer.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One request of a caller; see [`crate::recorder::Recorder::next_id`].
pub type CallId = u64;
/// One run of a request at an upstream; see [`crate::recorder::Recorder::next_id`].
pub type RunId = u64;
/// Names a caller.
pub type CallerId = SmolStr;
/// Names an entry or a side over its restarts.
pub type ProcessId = SmolStr;

/// An event and when it was noted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since the record began; written in microseconds.
    #[serde(rename = "at_us", with = "micros")]
    pub at: Duration,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// A turn that a caller sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnSent {
    /// The request.
    pub call: CallId,
    /// Who sends it.
    pub caller: CallerId,
    /// The entry that it is sent to.
    pub to: ProcessId,
    /// The program.
    pub program: id::ProgramId,
    /// The turn; sent again, it has the same number.
    pub turn: id::Turn,
    /// Digests of the messages that the turn adds; see [`message_digest`]. Texts that name their
    /// program and turn let the checker tell runs apart.
    pub messages: Vec<Digest>,
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainSent {
    /// The request.
    pub call: CallId,
    /// Who sends it.
    pub caller: CallerId,
    /// The entry that it is sent to.
    pub to: ProcessId,
    /// Fingerprint of what the service will see of it.
    pub request: Digest,
    /// The `Idempotency-Key`.
    pub key: Option<SmolStr>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// What an upstream was asked to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A turn: the digests of all messages of its prompt, in order.
    Turn(Vec<Digest>),
    /// A plain request, by the fingerprint of [`PlainSent::request`].
    Plain(Digest),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sends a turn.
    TurnSent(TurnSent),
    /// A caller sends a plain request.
    PlainSent(PlainSent),
    /// A caller got an answer.
    Answered {
        /// The request.
        call: CallId,
        /// Digest of the answer: of the assistant's message, or of a plain answer's body.
        answer: Digest,
        /// Whether it was ended as its protocol demands.
        whole: bool,
        /// Tokens that the answer says were used.
        tokens: id::Tokens,
    },
    /// A caller got an error.
    Refused {
        /// The request.
        call: CallId,
        /// What sort of error.
        kind: error::Kind,
        /// Whether it ran, as the caller was told.
        ran: error::Ran,
    },
    /// A caller gave up waiting, or its connection broke.
    Lost {
        /// The request.
        call: CallId,
        /// Whether a byte of it may have left: false if no connection was made.
        sent: bool,
        /// Whether the caller itself broke it off.
        by_caller: bool,
    },
    /// An upstream begins to run a request.
    RunStarted {
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: id::UpstreamId,
        /// What it runs.
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
    /// An engine holds memory for a program from now on.
    MemoryHeld {
        /// The engine.
        upstream: id::UpstreamId,
        /// The program.
        program: id::ProgramId,
    },
    /// An engine holds no memory for a program any more.
    MemoryFreed {
        /// The engine.
        upstream: id::UpstreamId,
        /// The program.
        program: id::ProgramId,
    },
    /// A program's budget, before its first turn.
    BudgetSet {
        /// The program.
        program: id::ProgramId,
        /// Most tokens.
        tokens: Option<id::Tokens>,
        /// Most turns.
        turns: Option<id::Turn>,
    },
    /// Tokens were charged to a program.
    Charged {
        /// The program.
        program: id::ProgramId,
        /// How many.
        tokens: id::Tokens,
    },
    /// An operator was told that a change of a record is accepted.
    RecordAccepted {
        /// Revision of the set of records with the change.
        revision: id::Revision,
        /// Name of the record.
        name: SmolStr,
        /// Digest of its value; absent if it was deleted.
        value: Option<Digest>,
    },
    /// An operator got no answer to a change of a record: it may have taken effect.
    RecordDoubtful {
        /// Name of the record.
        name: SmolStr,
        /// Digest of its value; absent if it was to be deleted.
        value: Option<Digest>,
    },
    /// A process was asked which set of records is in force there.
    RecordInForce {
        /// The process.
        process: ProcessId,
        /// Revision of that set.
        revision: id::Revision,
        /// Digests of the values by name; absent if only the revision was asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        values: Option<BTreeMap<SmolStr, Digest>>,
    },
    /// An upstream begins to leave.
    UpstreamLeaving {
        /// The upstream.
        upstream: id::UpstreamId,
    },
    /// A process was told to stop gracefully.
    ShutdownBegun {
        /// The process.
        process: ProcessId,
    },
    /// A process that was told to stop has ended.
    ShutdownEnded {
        /// The process.
        process: ProcessId,
        /// Requests that were still under way, by its own count.
        cut_off: u32,
    },
    /// A process or an upstream of this name crashed, or was made to.
    Crashed {
        /// The process.
        process: ProcessId,
    },
}

/// The digest that stands for a message in a record.
pub fn message_digest(message: &chat::Message) -> Digest {
    Digest::of_bytes(message.as_str().as_bytes())
}

/// The digest that stands for a plain request: its method, path with query, and body.
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
