//! Watcher subsets: which upstreams an entry sends heartbeats to.
//!
//! *Load pattern:* 380 entries and 12,000 upstreams, of which about a thousand instances restart on
//! an ordinary day.
//!
//! *Without it:* every entry heartbeats every upstream: 4.5 million heartbeats per interval, and as
//! many connections that may stall. With a random subset each restart reshuffles much of it, and
//! some upstreams are left without a watcher.
//!
//! *Rule:* rendezvous hashing. Each upstream is watched by the entries that rank highest for it: a
//! few of its own place and a few of others. All processes with the same member list compute the
//! same result without coordination; an entry that leaves moves only the upstreams that it watched,
//! and every upstream always has the same number of watchers.
//!
//! *Grounds:* 12 watchers tolerate the loss of a whole place and of several entries besides;
//! at the largest planned size an entry then watches 380 upstreams instead of 12,000.

use fw_base::id;
use xxhash_rust::xxh3;

/// Number of entries that watch an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Watchers in the upstream's own place.
    pub near: usize,
    /// Watchers in all other places together.
    pub far: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { near: 8, far: 4 }
    }
}

/// An entry or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Id of the entry or the upstream.
    pub id: id::EntryId,
    /// Its place.
    pub place: id::PlaceId,
}

/// Whether the entry with id `entry` is among those of `entries` that watch `upstream`.
///
/// O(entries), so a change of one upstream costs that much, and a change of the entries costs it
/// once per upstream.
pub fn watches(
    entry: &id::EntryId,
    entries: &[Member],
    upstream: &Member,
    options: &Options,
) -> bool {
    let Some(own) = entries.iter().find(|member| member.id == *entry) else {
        return false;
    };
    let is_near = |member: &Member| member.place == upstream.place;
    let near = is_near(own);
    let limit = if near { options.near } else { options.far };
    let own_rank = rank(&own.id, &upstream.id);
    let better = entries.iter().filter(|member| is_near(member) == near);
    let better = better.filter(|member| rank(&member.id, &upstream.id) > own_rank);
    better.take(limit).count() < limit
}

/// The upstreams, in their given order, that the entry with id `entry` watches.
pub fn watched_by<'a>(
    entry: &id::EntryId,
    entries: &[Member],
    upstreams: &'a [Member],
    options: &Options,
) -> Vec<&'a Member> {
    let watched = |upstream: &&Member| watches(entry, entries, upstream, options);
    upstreams.iter().filter(watched).collect()
}

/// Ties are broken by the id, so that two members never have the same rank.
fn rank<'a>(entry: &'a id::EntryId, upstream: &id::UpstreamId) -> (u64, &'a str) {
    let seed = xxh3::xxh3_64(upstream.as_bytes());
    (xxh3::xxh3_64_with_seed(entry.as_bytes(), seed), entry)
}
