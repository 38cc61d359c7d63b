//! What entries ask of sides.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt;

/// Calls that a side answers.
#[tarpc::service]
pub trait Side {
    /// Heartbeat of an entry: renews its sessions, learns load, health and cache changes.
    async fn heartbeat(req: Heartbeat) -> HeartbeatReply;
    /// Gives the side a newer set of records.
    async fn records(req: Records) -> id::Revision;
    /// Starts a turn. The same attempt again is accepted without effect.
    async fn start(req: Start) -> StartReply;
    /// Reads an attempt's events.
    async fn read(req: attempt::Read) -> attempt::ReadReply;
    /// Cancels an attempt; false if it is not known.
    async fn cancel(attempt: id::AttemptId) -> bool;
    /// Forgets a finished attempt, which is durable now.
    async fn forget(attempt: id::AttemptId);
    /// Finished turns that no keeper has made durable, of shards that the sender keeps now.
    async fn held(req: HeldQuery) -> HeldReply;
    /// Frees the engine memory of programs that ended or moved away.
    async fn release(req: Release);
}

/// Leaves fields with their usual value out of messages. Heartbeats are most of what control sends:
/// in an idle fleet nearly all of their fields are usual.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Times of load reports as whole microseconds: a third of the bytes of seconds and nanoseconds.
mod micros {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub fn serialize<S: Serializer>(time: &Duration, ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_u64(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
        u64::deserialize(de).map(Duration::from_micros)
    }
}

/// A heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub from: id::EntryId,
    /// Revision of the records in force there.
    #[serde(default, skip_serializing_if = "is_default")]
    pub revision: id::Revision,
    /// Shards kept by the entry in which it knows of sessions at this side, with the fencing number
    /// of each. The side frees the sessions of shards that no heartbeat renews.
    #[serde(default, skip_serializing_if = "is_default")]
    pub shards: Vec<(id::ShardId, id::Fence)>,
    /// Sequence number of the last cache change received from this side; 0 for none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_seen: u64,
    /// The incarnation that the entry knows; the side leaves out who it is if that is still right.
    #[serde(default, skip_serializing_if = "is_default")]
    pub known: u64,
    /// Which of the programs that the side asked after ([`HeartbeatReply::asked`]) are gone.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gone: Vec<id::ProgramId>,
}

/// What the side says of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The upstream beside the side; empty, as are service and place, if the entry knows them.
    #[serde(default, skip_serializing_if = "is_default")]
    pub upstream: id::UpstreamId,
    /// Its service.
    #[serde(default, skip_serializing_if = "is_default")]
    pub service: id::ServiceId,
    /// Its place.
    #[serde(default, skip_serializing_if = "is_default")]
    pub place: id::PlaceId,
    /// Drawn at random when the side started: another number means that attempts were lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub incarnation: u64,
    /// Revision of the records in force at the side.
    #[serde(default, skip_serializing_if = "is_default")]
    pub revision: id::Revision,
    /// The upstream is leaving and gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// The upstream does not answer.
    #[serde(default, skip_serializing_if = "is_default")]
    pub down: bool,
    /// How busy it is.
    #[serde(default, skip_serializing_if = "is_default")]
    pub load: Load,
    /// Sequence number after `cache`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_seq: u64,
    /// `cache` starts anew: forget what was known of this side's cache.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_reset: bool,
    /// Cache changes since [`Heartbeat::cache_seen`].
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache: Vec<CacheChange>,
    /// Idle programs of the sender's shards: does the keeper still know them?
    #[serde(default, skip_serializing_if = "is_default")]
    pub asked: Vec<id::ProgramId>,
    /// Shards with sessions or held answers here that this heartbeat did not renew. Their keeper, if it is the
    /// sender, renews them from now on: it may have taken them over without knowing of sessions.
    #[serde(default, skip_serializing_if = "is_default")]
    pub unrenewed: Vec<id::ShardId>,
}

/// How busy an upstream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Attempts waiting in the side's queue.
    #[serde(default, skip_serializing_if = "is_default")]
    pub queued: u32,
    /// Attempts in the engine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u32,
    /// Prompt tokens that wait for prefill, in the queue and in the engine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prefill: id::Tokens,
    /// Time from arrival at the side to release into the engine, smoothed.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub delay: Duration,
    /// Time between tokens of one stream, smoothed.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub step: Duration,
    /// Prefill speed in tokens a second, smoothed; 0 if not known yet.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prefill_rate: u64,
    /// Tokens of engine cache in use.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_used: id::Tokens,
    /// Tokens of engine cache there are; 0 if not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_size: id::Tokens,
    /// Most attempts that the engine runs together; 0 if not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub batch: u32,
    /// Age of the engine's own report.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub age: Duration,
}

/// A change of what an engine's cache holds of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheChange {
    /// The program.
    pub program: id::ProgramId,
    /// Tokens of its history held from now on; 0 for none.
    pub tokens: id::Tokens,
}

/// A set of records, newer than the receiver's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Records {
    /// Store revision of the set.
    pub revision: id::Revision,
    /// The whole set as `fw-record` writes it: JSON text.
    pub set: Arc<str>,
}

/// Starts a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// The keeper.
    pub from: id::EntryId,
    /// Revision of the records that the keeper acted on.
    pub revision: id::Revision,
    /// The attempt, drawn at random by the keeper.
    pub attempt: id::AttemptId,
    /// The program.
    pub program: id::ProgramId,
    /// Its shard.
    pub shard: id::ShardId,
    /// The keeper's fencing number for the shard.
    pub fence: id::Fence,
    /// The turn.
    pub turn: id::Turn,
    /// The model.
    pub model: id::ModelId,
    /// Digest of the history that `messages` follow; the side must hold it, unless it is empty.
    pub base: digest::Digest,
    /// The messages after `base`.
    pub messages: Vec<chat::Message>,
    /// Digest of the whole prompt: `base` extended by `messages`.
    pub digest: digest::Digest,
    /// Digest of the history before the turn, whether the side holds that or not.
    #[serde(default)]
    pub committed: digest::Digest,
    /// How many messages, at the end of the prompt, the turn adds to that history.
    #[serde(default)]
    pub added: u32,
    /// The caller's other fields: a JSON object as text.
    pub params: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: id::Tokens,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// The team, for fair sharing.
    pub team: id::TeamId,
    /// The team's share relative to others; 1.0 is usual.
    pub share: f64,
    /// Engine time that the program has attained so far.
    pub attained: Duration,
    /// Estimate of the prompt's tokens.
    pub prompt_tokens: id::Tokens,
    /// The program ends with this turn and is kept nowhere.
    #[serde(default)]
    pub single: bool,
    /// Runs alone in the engine: it is suspected of having crashed another upstream.
    pub alone: bool,
}

/// Whether a turn was started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StartReply {
    /// Queued or running; read it by its attempt.
    Accepted,
    /// The side does not hold `base`; send the whole history.
    NeedHistory,
    /// Not accepted; it did not run.
    Refused(error::Error),
}

/// Asks for held turns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldQuery {
    /// Shards that the sender keeps, with the fencing number of each.
    pub shards: Vec<(id::ShardId, id::Fence)>,
}

/// Held turns, in the order of their numbers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldReply {
    /// The turns.
    pub turns: Vec<Held>,
    /// There are more, to be asked for when these are forgotten.
    pub more: bool,
}

/// A turn that was answered under an earlier keeper and is not known to be in the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The attempt, to be forgotten once the turn is durable or known to be obsolete.
    pub attempt: id::AttemptId,
    /// The program.
    pub program: id::ProgramId,
    /// Its team.
    pub team: id::TeamId,
    /// The turn.
    pub turn: id::Turn,
    /// The model.
    pub model: id::ModelId,
    /// The caller's other fields.
    pub params: Arc<str>,
    /// Digest of the history before it.
    pub base: digest::Digest,
    /// The messages that it adds.
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub finish: attempt::Finish,
}

/// Frees engine memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// The sender's shard and fencing number are checked for each program.
    pub programs: Vec<(id::ProgramId, id::Fence)>,
}
