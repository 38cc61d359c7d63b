//! The tarpc service between entries.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_plan::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt;
use crate::side;

/// Calls from other entries that an entry serves.
#[tarpc::service]
pub trait Peer {
    /// Submits a turn to the program's keeper. A repeated submission attaches to the turn's attempt.
    async fn submit(req: Submit) -> SubmitReply;
    /// Reads the events of a turn that the keeper runs.
    async fn read(req: attempt::Read) -> attempt::ReadReply;
    /// Reports that the caller of an attempt has disconnected.
    async fn detach(attempt: id::AttemptId);
    /// The state of a program at its keeper.
    async fn program(req: Query) -> QueryReply;
    /// Ends a program.
    async fn end(req: Query) -> QueryReply;
    /// Claims or settles a call that may run at most once.
    async fn claim(req: Claim) -> ClaimReply;
    /// Recovers a turn whose answer was delivered to its caller, but which its former keeper could not
    /// make durable before it lost the shard. False if the receiver does not keep the shard, lacks an
    /// earlier turn, or could not store it.
    async fn recover(held: side::Held) -> bool;
    /// Turns of shards that the sender has acquired, whose answers the receiver delivered to callers and
    /// which the store may lack.
    async fn held(req: HeldQuery) -> side::HeldReply;
    /// Exchanges the status of both entries.
    async fn status(from: PeerStatus) -> PeerStatus;
    /// Reports what the sender knows of a request that has crashed upstreams.
    async fn report_suspect(suspect: quarantine::Suspect);
    /// Exchanges all that both entries know of requests that have crashed upstreams.
    async fn exchange_suspects(known: Vec<quarantine::Suspect>) -> Vec<quarantine::Suspect>;
    /// The set of records in force, if newer than `than`.
    async fn records(than: id::Revision) -> Option<side::Records>;
}

/// Form in which the caller sent the history of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum History {
    /// The messages begin with the committed history.
    Full,
    /// Only the messages after the committed history.
    Delta,
}

/// A turn submitted to the program's keeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The entry that received the call.
    pub from: id::EntryId,
    /// Revision of the records in force at that entry.
    pub revision: id::Revision,
    /// The program.
    pub program: id::ProgramId,
    /// Whether the program was created for this call and ends with it.
    pub single: bool,
    /// The parent program, if this one is its sub-agent; they share a budget.
    pub parent: Option<id::ProgramId>,
    /// The turn, if the caller gave it.
    pub turn: Option<id::Turn>,
    /// Digest of the committed history, if the caller gave it.
    pub base: Option<digest::Digest>,
    /// Whether `messages` include the committed history.
    pub history: History,
    /// The messages.
    pub messages: Vec<chat::Message>,
    /// The model.
    pub model: id::ModelId,
    /// Maximum number of tokens to generate, if the caller set one.
    pub max_tokens: Option<id::Tokens>,
    /// The other fields of the caller's request: a JSON object as text.
    pub params: Arc<str>,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// The team.
    pub team: id::TeamId,
}

/// Reply to [`Submit`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Accepted, attached or replayed; the answer is read by its attempt.
    Accepted {
        /// The attempt to read.
        attempt: id::AttemptId,
        /// The turn's number.
        turn: id::Turn,
    },
    /// The receiver does not keep the program's shard.
    NotKeeper,
    /// Refused.
    Refused(error::Error),
}

/// Requests the state of a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// The program.
    pub program: id::ProgramId,
    /// The requesting team.
    pub team: id::TeamId,
    /// Whether to include the history in the reply.
    pub with_history: bool,
}

/// Reply to [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QueryReply {
    /// The program.
    Found(Box<Program>),
    /// The receiver does not keep the program's shard.
    NotKeeper,
    /// Refused.
    Refused(error::Error),
}

/// State of a program at its keeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Program {
    /// The program.
    pub program: id::ProgramId,
    /// `idle`, `running` or `ended`.
    pub status: String,
    /// Number of committed turns.
    pub turn: id::Turn,
    /// Digest of the committed history.
    pub digest: digest::Digest,
    /// Tokens used, prompt and completion.
    pub tokens: id::Tokens,
    /// Tokens left in the budget; absent if it sets no bound.
    pub tokens_left: Option<id::Tokens>,
    /// The team.
    pub team: id::TeamId,
    /// The committed messages, if requested.
    pub history: Vec<chat::Message>,
}

/// Opens or settles a claim on an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The team, which is the namespace of its keys.
    pub team: id::TeamId,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// Fingerprint of the call: method, path and body.
    pub fingerprint: digest::Digest,
    /// The step to take.
    pub step: ClaimStep,
}

/// A transition of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimStep {
    /// Make the claim durable, before the call is sent.
    Open,
    /// The call did not run; the key can be used again.
    NotRun,
    /// The call was answered.
    Done(StoredAnswer),
    /// The call was sent, and its outcome is unknown.
    Unknown,
}

/// An answer stored for replay under its idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header.
    pub content_type: String,
    /// The body in base64; empty if it was too large to store.
    pub body: String,
    /// Whether the body was too large to store.
    pub truncated: bool,
}

/// Reply to [`Claim`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is durable; the call may be sent once.
    Granted,
    /// The call has already run, with this answer.
    Replay(StoredAnswer),
    /// The outcome is recorded.
    Settled,
    /// The receiver does not keep the key's shard.
    NotKeeper,
    /// Refused.
    Refused(error::Error),
}

/// Status of an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The entry.
    pub entry: id::EntryId,
    /// Its place.
    pub place: id::PlaceId,
    /// Revision of the records in force.
    pub revision: id::Revision,
    /// Lowest revision in force at the sides to which it sends heartbeats.
    pub sides_revision: id::Revision,
    /// Number of sides to which it sends heartbeats.
    pub sides: u32,
    /// Number of shards that it keeps.
    pub shards: u32,
    /// Number of programs with a turn in progress.
    pub programs: u32,
    /// Time since the platform's store last answered it.
    #[serde(default)]
    pub store_silent: Duration,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Digest of its record of requests that crash upstreams; `None` from a build without the calls for
    /// these.
    #[serde(default)]
    pub suspects: Option<u64>,
}

/// Requests the turns that an entry holds of shards acquired by the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeldQuery {
    /// The shards, with the sender's fencing numbers.
    pub shards: Vec<(id::ShardId, id::Fence)>,
    /// Position of the last turn in the previous reply.
    pub after: Option<HeldCursor>,
}

/// Position of a turn in the order in which an entry returns its held turns.
pub type HeldCursor = (id::Turn, id::AttemptId);
