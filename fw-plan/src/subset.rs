//! Which upstreams an entry heartbeats.
//!
//! *Load pattern:* 380 entries and 12,000 upstreams, of which about a thousand instances restart
//! on an ordinary day.
//!
//! *Without it:* every entry heartbeats every upstream: 4.5 million heartbeats an interval, and as
//! many connections to go silent. With a random subset each restart reshuffles much of it, and
//! some upstreams are left to nobody.
//!
//! *Rule:* rendezvous hashing. Each upstream is watched by the entries that rank highest for it: a
//! few of its own place and a few of others. Every process that knows the same members gets the
//! same answer without asking anyone; an entry that leaves moves only what it watched, and every
//! upstream has the same number of watchers whatever happens.
//!
//! *Grounds:* 12 watchers outlive the loss of a place and of several entries of their own; at the
//! size to design for an entry then watches 380 upstreams in place of 12,000.

use fw_base::id;
use xxhash_rust::xxh3;

/// How many entries watch an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries in the upstream's own place.
    pub near: usize,
    /// Entries in any other place.
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
    /// Its id: an entry's or an upstream's.
    pub id: id::EntryId,
    /// Its place.
    pub place: id::PlaceId,
}

/// Whether the entry named `entry` is among those of `entries` that watch `upstream`.
///
/// O(entries), so a change of one upstream costs that much and a change of the entries costs it
/// once per upstream.
pub fn watches(
    entry: &id::EntryId,
    entries: &[Member],
    upstream: &Member,
    options: &Options,
) -> bool {
    let Some(me) = entries.iter().find(|member| member.id == *entry) else {
        return false;
    };
    let is_near = |member: &Member| member.place == upstream.place;
    let near = is_near(me);
    let wanted = if near { options.near } else { options.far };
    let mine = rank(&me.id, &upstream.id);
    let better = entries.iter().filter(|member| is_near(member) == near);
    let better = better.filter(|member| rank(&member.id, &upstream.id) > mine);
    better.take(wanted).count() < wanted
}

/// The upstreams, in their order, that the entry named `entry` watches.
pub fn watched_by<'a>(
    entry: &id::EntryId,
    entries: &[Member],
    upstreams: &'a [Member],
    options: &Options,
) -> Vec<&'a Member> {
    let watched = |upstream: &&Member| watches(entry, entries, upstream, options);
    upstreams.iter().filter(watched).collect()
}

/// Ties are settled by the id, so that two members never rank alike.
fn rank<'a>(entry: &'a id::EntryId, upstream: &id::UpstreamId) -> (u64, &'a str) {
    let seed = xxh3::xxh3_64(upstream.as_bytes());
    (xxh3::xxh3_64_with_seed(entry.as_bytes(), seed), entry)
}
