//! What entries ask of each other.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt;
use crate::side;

/// Calls that an entry answers to other entries.
#[tarpc::service]
pub trait Peer {
    /// Hands a turn to the program's keeper. The same turn again attaches to its attempt.
    async fn submit(req: Submit) -> SubmitReply;
    /// Reads the events of a turn that the keeper runs.
    async fn read(req: attempt::Read) -> attempt::ReadReply;
    /// The caller of an attempt went away.
    async fn detach(attempt: id::AttemptId);
    /// What the keeper knows of a program.
    async fn program(req: Query) -> QueryReply;
    /// Ends a program.
    async fn end(req: Query) -> QueryReply;
    /// Claims, or settles, a call that may run at most once.
    async fn claim(req: Claim) -> ClaimReply;
    /// Takes over a turn whose answer its caller has, and which its keeper could not make durable
    /// before it lost the shard; false if the receiver does not keep the shard, lacks a turn before
    /// it, or could not store it.
    async fn recover(held: side::Held) -> bool;
    /// The turns of shards that the sender has taken, whose answers the receiver gave out and the
    /// store may lack.
    async fn held(req: HeldQuery) -> side::HeldReply;
    /// How the entry stands.
    async fn status(from: PeerStatus) -> PeerStatus;
    /// The set of records in force, if newer than `than`.
    async fn records(than: id::Revision) -> Option<side::Records>;
}

/// How the caller gave the history of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum History {
    /// The messages begin with the committed history.
    Full,
    /// Only the messages after the committed history.
    Delta,
}

/// A turn on its way to the keeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The entry that took the call.
    pub from: id::EntryId,
    /// Revision of the records in force there.
    pub revision: id::Revision,
    /// The program.
    pub program: id::ProgramId,
    /// The program was made up for this call and ends with it.
    pub single: bool,
    /// The program that this one is a sub-agent of, whose budget it shares.
    pub parent: Option<id::ProgramId>,
    /// The turn, if the caller named it.
    pub turn: Option<id::Turn>,
    /// Digest of the committed history, if the caller named it.
    pub base: Option<digest::Digest>,
    /// How `messages` are to be read.
    pub history: History,
    /// The messages.
    pub messages: Vec<chat::Message>,
    /// The model.
    pub model: id::ModelId,
    /// Most tokens to generate, if the caller set a bound.
    pub max_tokens: Option<id::Tokens>,
    /// The caller's other fields: a JSON object as text.
    pub params: Arc<str>,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// The team.
    pub team: id::TeamId,
}

/// What became of a submitted turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Accepted, attached or replayed: read it by its attempt.
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

/// Asks after a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// The program.
    pub program: id::ProgramId,
    /// The team that asks.
    pub team: id::TeamId,
    /// Whether the answer is to hold the whole history.
    pub with_history: bool,
}

/// What the keeper knows of a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QueryReply {
    /// The program.
    Found(Box<Program>),
    /// The receiver does not keep the program's shard.
    NotKeeper,
    /// Refused.
    Refused(error::Error),
}

/// A program as its keeper sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Program {
    /// The program.
    pub program: id::ProgramId,
    /// `idle`, `running` or `ended`.
    pub status: String,
    /// Committed turns.
    pub turn: id::Turn,
    /// Digest of the committed history.
    pub digest: digest::Digest,
    /// Tokens spent, prompt and completion.
    pub tokens: id::Tokens,
    /// Tokens that the budget still allows; absent if it sets no bound.
    pub tokens_left: Option<id::Tokens>,
    /// The team.
    pub team: id::TeamId,
    /// The committed messages, if asked for.
    pub history: Vec<chat::Message>,
}

/// Asks to make, or settles, a claim on an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The team; keys of different teams never meet.
    pub team: id::TeamId,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// Fingerprint of the call: method, path and body.
    pub fingerprint: digest::Digest,
    /// What is asked.
    pub step: ClaimStep,
}

/// A step in the life of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimStep {
    /// Make the claim durable, before the call is sent.
    Open,
    /// The call did not run: the key is free again.
    NotRun,
    /// The call was answered.
    Done(StoredAnswer),
    /// The call was sent, and what became of it will not be known.
    Unknown,
}

/// An answer kept for replay under its idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header.
    pub content_type: String,
    /// The body, base64; empty if it was too large to keep.
    pub body: String,
    /// Whether the body was too large to keep.
    pub truncated: bool,
}

/// What became of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is durable: send the call, once.
    Granted,
    /// It ran before; this was the answer.
    Replay(StoredAnswer),
    /// The outcome is recorded.
    Settled,
    /// The receiver does not keep the key's shard.
    NotKeeper,
    /// Refused.
    Refused(error::Error),
}

/// How an entry stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The entry.
    pub entry: id::EntryId,
    /// Its place.
    pub place: id::PlaceId,
    /// Revision of the records in force.
    pub revision: id::Revision,
    /// Lowest revision in force among the sides that it heartbeats.
    pub sides_revision: id::Revision,
    /// Sides that it heartbeats.
    pub sides: u32,
    /// Shards kept.
    pub shards: u32,
    /// Programs under way.
    pub programs: u32,
    /// Time since the platform's store answered it last.
    #[serde(default)]
    pub store_silent: Duration,
    /// It is shutting down.
    pub leaving: bool,
}

/// Asks an entry for the turns that it holds of shards which the sender has taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeldQuery {
    /// The shards, with the sender's fencing numbers.
    pub shards: Vec<(id::ShardId, id::Fence)>,
    /// Place of the last turn that an earlier reply brought.
    pub after: Option<HeldCursor>,
}

/// Place of a held turn among those that an entry holds.
pub type HeldCursor = (id::Turn, id::AttemptId);
