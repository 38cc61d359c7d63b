//! Assigns shards to entries.
//!
//! Load pattern: entries join and leave, several hundred at once when a data centre restarts, and each
//! reads the same table and acts without coordination. If each took every free shard, all would race
//! for the same shards and most of their writes would fail; if each counted only its own share, moves
//! would cascade. Here every entry computes the same plan from the same table, so each free shard is
//! assigned to exactly one entry, and a shard moves only if its keeper has more than its share.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fw_base::id;
use xxhash_rust::xxh3;

/// The fleet as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct View<'a> {
    /// Live entries that take shards and are not leaving, this one included.
    pub entries: Vec<&'a str>,
    /// Those among them that did not take the free shards assigned to them. They keep their current
    /// shards and are assigned no more.
    pub passive: BTreeSet<&'a str>,
    /// The keeper of each shard, live or leaving; `None` for a free shard.
    pub owners: Vec<Option<&'a str>>,
}

/// The moves that one entry is to make.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Free shards to acquire.
    pub acquire: Vec<id::ShardId>,
    /// Kept shards to hand over.
    pub release: Vec<id::ShardId>,
}

/// A free shard and the entry that is to take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The shard.
    pub shard: id::ShardId,
    /// The entry that takes it.
    pub entry: &'a str,
}

/// Computes the plan of entry `me`.
pub fn plan(me: &str, view: &View<'_>) -> Plan {
    let mine = assignments(view)
        .into_iter()
        .filter(|assignment| assignment.entry == me);
    Plan {
        acquire: mine.map(|assignment| assignment.shard).collect(),
        release: release(me, view),
    }
}

/// Assigns each free shard to the entry that ranks highest for it among those with spare capacity.
pub fn assignments<'a>(view: &View<'a>) -> Vec<Assignment<'a>> {
    let mut spare = spare_capacity(view);
    let mut assignments = Vec::new();
    for shard in free_shards(view) {
        let best = spare.iter_mut().max_by_key(|(entry, _)| rank(entry, shard));
        let Some((entry, left)) = best else { break };
        assignments.push(Assignment { shard, entry });
        *left -= 1;
        if *left == 0 {
            let full = *entry;
            spare.retain(|(entry, _)| *entry != full);
        }
    }
    assignments
}

/// The entries below their quota, with the number of shards they lack.
fn spare_capacity<'a>(view: &View<'a>) -> Vec<(&'a str, usize)> {
    let counts = shard_counts(view);
    let quotas = quotas(view).into_iter();
    let spare = quotas.map(|(entry, quota)| (entry, quota.saturating_sub(counts[entry])));
    spare.filter(|(_, left)| *left > 0).collect()
}

/// The shards of `me` in excess of its quota, lowest rank first.
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

/// Number of shards kept by each entry.
fn shard_counts<'a>(view: &View<'a>) -> BTreeMap<&'a str, usize> {
    let mut counts: BTreeMap<&str, usize> = view.entries.iter().map(|e| (*e, 0)).collect();
    for owner in view.owners.iter().flatten() {
        if let Some(count) = counts.get_mut(owner) {
            *count += 1;
        }
    }
    counts
}

/// The maximum number of shards of each entry that is not passive. The remainder of the division goes
/// to the entries that keep most, so that they need not hand those shards over.
fn quotas<'a>(view: &View<'a>) -> Vec<(&'a str, usize)> {
    let counts = shard_counts(view);
    let is_passive = |entry: &str| view.passive.contains(entry);
    let taken: usize = counts
        .iter()
        .filter(|(e, _)| is_passive(e))
        .map(|(_, n)| n)
        .sum();
    let mut active: Vec<_> = counts.into_iter().filter(|(e, _)| !is_passive(e)).collect();
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

/// Rank of an entry for a shard, by rendezvous hashing: all entries compute the same order.
fn rank(entry: &str, shard: id::ShardId) -> u64 {
    xxh3::xxh3_64_with_seed(entry.as_bytes(), u64::from(shard))
}
