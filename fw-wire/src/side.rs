//! The tarpc service that sides offer to entries.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt;

/// Calls from entries that a side serves.
#[tarpc::service]
pub trait Side {
    /// Renews the entry's sessions; returns load, health and cache changes.
    async fn heartbeat(req: Heartbeat) -> HeartbeatReply;
    /// Sends a newer set of records to the side; returns the revision in force there.
    async fn records(req: Records) -> id::Revision;
    /// Starts a turn. Repeating the call for the same attempt has no effect.
    async fn start(req: Start) -> StartReply;
    /// Reads an attempt's events.
    async fn read(req: attempt::Read) -> attempt::ReadReply;
    /// Cancels an attempt; false if the side does not have it.
    async fn cancel(attempt: id::AttemptId) -> bool;
    /// Drops a finished attempt that has become durable.
    async fn forget(attempt: id::AttemptId);
    /// Finished turns of the sender's shards that no keeper has made durable.
    async fn held(req: HeldQuery) -> HeldReply;
    /// Frees the KV cache of programs that ended or moved to another upstream.
    async fn release(req: Release);
}

/// Whether a field can be omitted from a message because it has its default value. Heartbeats are most
/// of the control traffic, and in an idle fleet nearly all of their fields have default values.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Codec of the times in load reports: whole microseconds, which take a third of the bytes of seconds
/// and nanoseconds.
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

/// A heartbeat of an entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub from: id::EntryId,
    /// Revision of the records in force at the entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub revision: id::Revision,
    /// Shards kept by the entry that have sessions at this side as far as it knows, with the fencing
    /// number of each. The side frees the sessions of shards that no heartbeat renews.
    #[serde(default, skip_serializing_if = "is_default")]
    pub shards: Vec<(id::ShardId, id::Fence)>,
    /// Sequence number of the last cache change received from this side; 0 for none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_seen: u64,
    /// The side's incarnation as last received; if it has not changed, the side omits its identity from
    /// the reply.
    #[serde(default, skip_serializing_if = "is_default")]
    pub known: u64,
    /// Programs queried by the side ([`HeartbeatReply::asked`]) that no longer exist.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gone: Vec<id::ProgramId>,
}

/// The side's identity and state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The side's upstream; empty, like service and place, if the entry has received them already.
    #[serde(default, skip_serializing_if = "is_default")]
    pub upstream: id::UpstreamId,
    /// Its service.
    #[serde(default, skip_serializing_if = "is_default")]
    pub service: id::ServiceId,
    /// Its place.
    #[serde(default, skip_serializing_if = "is_default")]
    pub place: id::PlaceId,
    /// A random number drawn when the side starts; a change means that its attempts were lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub incarnation: u64,
    /// Revision of the records in force at the side.
    #[serde(default, skip_serializing_if = "is_default")]
    pub revision: id::Revision,
    /// Whether the upstream is leaving and gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// Whether the upstream does not respond.
    #[serde(default, skip_serializing_if = "is_default")]
    pub down: bool,
    /// The upstream's load.
    #[serde(default, skip_serializing_if = "is_default")]
    pub load: Load,
    /// Sequence number after the changes in `cache`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_seq: u64,
    /// Whether to discard all earlier cache changes of this side before those in `cache` are applied.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_reset: bool,
    /// Cache changes since [`Heartbeat::cache_seen`].
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache: Vec<CacheChange>,
    /// Idle programs of the sender's shards, of which the side asks whether they still exist.
    #[serde(default, skip_serializing_if = "is_default")]
    pub asked: Vec<id::ProgramId>,
    /// Shards with sessions or held answers at this side that the heartbeat did not renew. If the sender
    /// keeps them, it renews them from now on: it may have taken them over without learning of their sessions.
    #[serde(default, skip_serializing_if = "is_default")]
    pub unrenewed: Vec<id::ShardId>,
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of attempts in the side's queue.
    #[serde(default, skip_serializing_if = "is_default")]
    pub queued: u32,
    /// Number of attempts in the engine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u32,
    /// Prompt tokens waiting for prefill, in the queue and in the engine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prefill: id::Tokens,
    /// Time from arrival at the side to release into the engine, smoothed.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub delay: Duration,
    /// Time between tokens of one stream, smoothed.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub step: Duration,
    /// Prefill speed in tokens per second, smoothed; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prefill_rate: u64,
    /// KV cache in use, in tokens.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_used: id::Tokens,
    /// Size of the KV cache, in tokens; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cache_size: id::Tokens,
    /// Maximum number of attempts that the engine runs concurrently; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_default")]
    pub batch: u32,
    /// Age of the engine's load report.
    #[serde(default, skip_serializing_if = "is_default", with = "micros")]
    pub age: Duration,
}

/// A change of a program's cached prefix in an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheChange {
    /// The program.
    pub program: id::ProgramId,
    /// Length of the cached prefix after the change, in tokens; 0 for none.
    pub tokens: id::Tokens,
}

/// A set of records that is newer than the receiver's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Records {
    /// Store revision of the set.
    pub revision: id::Revision,
    /// The whole set, as the JSON text that `fw-record` writes.
    pub set: Arc<str>,
}

/// Starts a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// The keeper.
    pub from: id::EntryId,
    /// Revision of the records in force at the keeper.
    pub revision: id::Revision,
    /// The attempt; a random number drawn by the keeper.
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
    /// Digest of the history before `messages`; the side must hold that history, unless it is empty.
    pub base: digest::Digest,
    /// The messages after `base`.
    pub messages: Vec<chat::Message>,
    /// Digest of the whole prompt: `base` extended by `messages`.
    pub digest: digest::Digest,
    /// Digest of the committed history before the turn, whether or not the side holds that history.
    #[serde(default)]
    pub committed: digest::Digest,
    /// Number of messages at the end of the prompt that the turn adds to that history.
    #[serde(default)]
    pub added: u32,
    /// The other fields of the caller's request: a JSON object as text.
    pub params: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: id::Tokens,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// The team, for fair sharing.
    pub team: id::TeamId,
    /// The team's share relative to others; the default is 1.0.
    pub share: f64,
    /// Engine time that the program has used so far.
    pub attained: Duration,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: id::Tokens,
    /// Whether the program ends with this turn and is not stored.
    #[serde(default)]
    pub single: bool,
    /// Whether the turn runs alone in the engine, because it is suspected of having crashed another
    /// upstream.
    pub alone: bool,
}

/// Reply to [`Start`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StartReply {
    /// Queued or running; the answer is read by the attempt.
    Accepted,
    /// The side does not hold the history of `base`; the whole history has to be sent.
    NeedHistory,
    /// Not accepted; the turn did not run.
    Refused(error::Error),
}

/// Requests held turns.
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
    /// Whether there are more, to be requested once these have been dropped.
    pub more: bool,
}

/// A turn that was answered under an earlier keeper and may be missing from the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The attempt, to be dropped once the turn is durable or obsolete.
    pub attempt: id::AttemptId,
    /// The program.
    pub program: id::ProgramId,
    /// Its team.
    pub team: id::TeamId,
    /// The turn.
    pub turn: id::Turn,
    /// The model.
    pub model: id::ModelId,
    /// The other fields of the caller's request.
    pub params: Arc<str>,
    /// Digest of the history before the turn.
    pub base: digest::Digest,
    /// The messages that the turn adds.
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub finish: attempt::Finish,
}

/// Frees the KV cache of programs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// The programs, each with the sender's fencing number for its shard, which the side checks.
    pub programs: Vec<(id::ProgramId, id::Fence)>,
}
