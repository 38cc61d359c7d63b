//! Layout of the keys in the store.
//!
//! ```text
//! {root}live/entry/{entry}                          address of a live entry, attached to its lease
//! {root}live/shard/{shard}                          keeper of a shard, attached to its lease
//! {root}journal/{shard}/head                        end of the shard's journal
//! {root}journal/{shard}/seg/{generation}/{seq}      a segment
//! ```

use fw_base::id;

/// Prefix of all keys of the live entries and of the shards' keepers.
pub fn live(root: &str) -> String {
    format!("{root}live/")
}

/// Key of a live entry.
pub fn entry(root: &str, entry: &str) -> String {
    format!("{root}live/entry/{entry}")
}

/// Key of a shard's keeper.
pub fn owner(root: &str, shard: id::ShardId) -> String {
    format!("{root}live/shard/{shard:05}")
}

/// Key of the head of a shard's journal.
pub fn head(root: &str, shard: id::ShardId) -> String {
    format!("{root}journal/{shard:05}/head")
}

/// Prefix of a shard's segments.
pub fn segments(root: &str, shard: id::ShardId) -> String {
    format!("{root}journal/{shard:05}/seg/")
}

/// Prefix of the segments of one generation.
pub fn generation(root: &str, shard: id::ShardId, generation: u64) -> String {
    format!("{root}journal/{shard:05}/seg/{generation:016}/")
}

/// Key of a segment.
pub fn segment(root: &str, shard: id::ShardId, generation: u64, seq: u64) -> String {
    format!("{root}journal/{shard:05}/seg/{generation:016}/{seq:016}")
}

/// Parses the generation and the sequence number at the end of a segment's key.
pub fn parse_segment(key: &str) -> Option<(u64, u64)> {
    let (rest, seq) = key.rsplit_once('/')?;
    let (_, generation) = rest.rsplit_once('/')?;
    Some((generation.parse().ok()?, seq.parse().ok()?))
}

/// A parsed key below [`live`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Live<'a> {
    /// A live entry.
    Entry(&'a str),
    /// The keeper of a shard.
    Shard(id::ShardId),
}

/// Parses a key below [`live`]; `None` if its form is unknown.
pub fn parse_live<'a>(root: &str, key: &'a str) -> Option<Live<'a>> {
    let rest = key.strip_prefix(root)?.strip_prefix("live/")?;
    if let Some(entry) = rest.strip_prefix("entry/") {
        return Some(Live::Entry(entry));
    }
    let shard = rest.strip_prefix("shard/")?.parse().ok()?;
    Some(Live::Shard(shard))
}
