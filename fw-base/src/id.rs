//! Type aliases for identifiers and counts, and the mapping of programs to shards.

use smol_str::SmolStr;
use xxhash_rust::xxh3;

/// Id of a program, chosen by the caller or assigned by an entry. At most [`MAX_NAME`] bytes.
pub type ProgramId = SmolStr;
/// Id of a team: the unit of fair sharing between callers.
pub type TeamId = SmolStr;
/// Id of an upstream instance.
pub type UpstreamId = SmolStr;
/// Name of a service: a pool of interchangeable upstreams.
pub type ServiceId = SmolStr;
/// Name of a place, such as a data centre.
pub type PlaceId = SmolStr;
/// Id of a running entry process. A restarted entry has a new id.
pub type EntryId = SmolStr;
/// Name of a model.
pub type ModelId = SmolStr;
/// Id of an attempt to run a call on an upstream; a random number.
pub type AttemptId = u64;
/// Index of a shard of programs, below [`SHARDS`].
pub type ShardId = u16;
/// Number of a turn within its program; the first turn is 1.
pub type Turn = u32;
/// Fencing number: the store revision at which a shard was acquired.
pub type Fence = i64;
/// Revision of the platform's store.
pub type Revision = i64;
/// A count of model tokens.
pub type Tokens = u64;

/// Number of shards over which programs are hashed. Fixed for the lifetime of a deployment: with 380
/// entries, each keeps about eleven shards, so that the load of a failed entry spreads over many
/// successors.
pub const SHARDS: ShardId = 4096;

/// Longest accepted program id or idempotency key, in bytes.
pub const MAX_NAME: usize = 128;

/// The shard to which `program` belongs.
pub fn shard_of(program: &str) -> ShardId {
    let hash = xxh3::xxh3_64(program.as_bytes());
    let shard = hash % u64::from(SHARDS);
    ShardId::try_from(shard).expect("a remainder of SHARDS fits its type")
}

/// Whether `name` may serve as a program id or idempotency key: 1 to [`MAX_NAME`] bytes of
/// ASCII letters, digits and `-_.:`.
pub fn is_valid_name(name: &str) -> bool {
    let fits = (1..=MAX_NAME).contains(&name.len());
    fits && name
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
}
