//! Decides which entry keeps which shard.
//!
//! Load pattern: entries come and go, several hundred at once when a data centre restarts, and
//! each looks at the same table and must act alone. If each took what it found free, all would
//! race for the same shards and most of their writes would fail; if each counted its own share
//! only, moves would cascade. Here every entry computes the same plan from the same table, so a
//! free shard has one assignment, and a shard moves only if its keeper has more than its share.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fw_base::id;
use xxhash_rust::xxh3;

/// What an entry knows of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View<'a> {
    /// Entries that are live and stay, this one included.
    pub entries: Vec<&'a str>,
    /// Those among them that left shards lying which they should have taken. They keep what they
    /// have and get no more.
    pub passive: BTreeSet<&'a str>,
    /// The keeper of each shard, live or leaving; `None` for a free one.
    pub owners: Vec<Option<&'a str>>,
}

/// What one entry is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Free shards to acquire.
    pub acquire: Vec<id::ShardId>,
    /// Kept shards to hand over.
    pub release: Vec<id::ShardId>,
}

/// Who is to take a free shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The shard.
    pub shard: id::ShardId,
    /// The entry.
    pub entry: &'a str,
}

/// The plan of entry `me`.
pub fn plan(me: &str, view: &View<'_>) -> Plan {
    let mine = assignments(view)
        .into_iter()
        .filter(|assignment| assignment.entry == me);
    Plan {
        acquire: mine.map(|assignment| assignment.shard).collect(),
        release: release(me, view),
    }
}

/// Who is to take each free shard: the entry that ranks highest for it among those with room.
pub fn assignments<'a>(view: &View<'a>) -> Vec<Assignment<'a>> {
    let mut room = room(view);
    let mut assignments = Vec::new();
    for shard in free_shards(view) {
        let best = room.iter_mut().max_by_key(|(entry, _)| rank(entry, shard));
        let Some((entry, left)) = best else { break };
        assignments.push(Assignment { shard, entry });
        *left -= 1;
        if *left == 0 {
            let full = *entry;
            room.retain(|(entry, _)| *entry != full);
        }
    }
    assignments
}

/// The entries that should take more shards, and how many.
fn room<'a>(view: &View<'a>) -> Vec<(&'a str, usize)> {
    let kept = kept(view);
    let quotas = quotas(view).into_iter();
    let room = quotas.map(|(entry, quota)| (entry, quota.saturating_sub(kept[entry])));
    room.filter(|(_, left)| *left > 0).collect()
}

/// Hands over what exceeds the quota.
fn release(me: &str, view: &View<'_>) -> Vec<id::ShardId> {
    let quotas = quotas(view);
    let Some((_, quota)) = quotas.iter().find(|(entry, _)| *entry == me) else {
        return Vec::new();
    };
    let numbered = (0..).zip(&view.owners);
    let own = numbered.filter(|(_, owner)| **owner == Some(me));
    let mut mine: Vec<id::ShardId> = own.map(|(shard, _)| shard).collect();
    let excess = mine.len().saturating_sub(*quota);
    mine.sort_by_key(|shard| rank(me, *shard));
    mine.truncate(excess);
    mine
}

/// Number of shards that each entry keeps.
fn kept<'a>(view: &View<'a>) -> BTreeMap<&'a str, usize> {
    let mut kept: BTreeMap<&str, usize> = view.entries.iter().map(|e| (*e, 0)).collect();
    for owner in view.owners.iter().flatten() {
        if let Some(count) = kept.get_mut(owner) {
            *count += 1;
        }
    }
    kept
}

/// The most shards of each entry that is not passive. Those that keep most get the odd ones, so
/// that they need not hand them over.
fn quotas<'a>(view: &View<'a>) -> Vec<(&'a str, usize)> {
    let kept = kept(view);
    let is_passive = |entry: &str| view.passive.contains(entry);
    let taken: usize = kept
        .iter()
        .filter(|(e, _)| is_passive(e))
        .map(|(_, n)| n)
        .sum();
    let mut active: Vec<_> = kept.into_iter().filter(|(e, _)| !is_passive(e)).collect();
    active.sort_by_key(|(entry, kept)| (Reverse(*kept), *entry));
    let count = active.len().max(1);
    let shards = view.owners.len() - taken;
    let (floor, extra) = (shards / count, shards % count);
    let ranked = active.into_iter().enumerate();
    let quotas = ranked.map(|(place, (entry, _))| (entry, floor + usize::from(place < extra)));
    quotas.collect()
}

fn free_shards(view: &View<'_>) -> Vec<id::ShardId> {
    let numbered = (0..).zip(&view.owners);
    let free = numbered.filter(|(_, owner)| owner.is_none());
    free.map(|(shard, _)| shard).collect()
}

/// Rendezvous hashing: an order of the entries for each shard that all of them agree on.
fn rank(entry: &str, shard: id::ShardId) -> u64 {
    xxh3::xxh3_64_with_seed(entry.as_bytes(), u64::from(shard))
}
