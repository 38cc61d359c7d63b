//! Decides which entry keeps which shard.
//!
//! Load pattern: entries come and go, several hundred at once when a data centre restarts, and
//! each looks at the same table and must act alone. If each took what it found free, all would
//! race for the same shards and most of their writes would fail; if each counted its own share
//! only, moves would cascade. Here every entry computes the same plan from the same table, so a
//! free shard has one taker, and a shard moves only if its keeper has more than its share.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use fw_base::id;
use xxhash_rust::xxh3;

/// What an entry knows of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View<'a> {
    /// Entries that are live and stay, this one included.
    pub entries: Vec<&'a str>,
    /// The keeper of each shard, live or leaving; `None` for a free one.
    pub owners: Vec<Option<&'a str>>,
    /// For how many rounds each shard has been free; missing ones count as 0. A taker that does
    /// not act within a round is passed over.
    pub free_rounds: BTreeMap<id::ShardId, usize>,
}

/// What one entry is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Free shards to acquire.
    pub acquire: Vec<id::ShardId>,
    /// Kept shards to hand over.
    pub release: Vec<id::ShardId>,
}

/// The plan of entry `me`.
pub fn plan(me: &str, view: &View<'_>) -> Plan {
    let Some(shares) = Shares::new(view) else {
        return Plan::default();
    };
    Plan {
        acquire: acquire(me, view, &shares),
        release: release(me, view, &shares),
    }
}

/// How many shards each entry keeps, and the most it should.
struct Shares<'a> {
    kept: BTreeMap<&'a str, usize>,
    floor: usize,
    /// Number of entries that may keep one shard more than `floor`.
    extra: usize,
}

impl<'a> Shares<'a> {
    fn new(view: &View<'a>) -> Option<Self> {
        let entries = view.entries.len();
        if entries == 0 {
            return None;
        }
        let mut kept: BTreeMap<&str, usize> = view.entries.iter().map(|e| (*e, 0)).collect();
        for owner in view.owners.iter().flatten() {
            if let Some(count) = kept.get_mut(owner) {
                *count += 1;
            }
        }
        Some(Self {
            kept,
            floor: view.owners.len() / entries,
            extra: view.owners.len() % entries,
        })
    }

    /// The most shards of each entry: those that keep most get the odd ones, so that they need
    /// not hand them over.
    fn quotas(&self) -> BTreeMap<&'a str, usize> {
        let mut order: Vec<_> = self.kept.iter().collect();
        order.sort_by_key(|(entry, kept)| (Reverse(**kept), **entry));
        let ranked = order.into_iter().enumerate();
        let quotas = ranked.map(|(rank, (entry, _))| {
            let odd = usize::from(rank < self.extra);
            (*entry, self.floor + odd)
        });
        quotas.collect()
    }
}

fn acquire(me: &str, view: &View<'_>, shares: &Shares<'_>) -> Vec<id::ShardId> {
    let quotas = shares.quotas();
    let mut room: BTreeMap<&str, usize> = BTreeMap::new();
    for (entry, quota) in quotas {
        room.insert(entry, quota.saturating_sub(shares.kept[entry]));
    }
    let mut mine = Vec::new();
    for shard in free_shards(view) {
        let rounds = view.free_rounds.get(&shard).copied().unwrap_or(0);
        let Some(taker) = taker(shard, rounds, &room) else {
            continue;
        };
        if let Some(left) = room.get_mut(taker) {
            *left -= 1;
        }
        if taker == me {
            mine.push(shard);
        }
    }
    mine
}

/// The entry with room that ranks highest for `shard`, passing over one for each lost round.
fn taker<'a>(
    shard: id::ShardId,
    rounds: usize,
    room: &BTreeMap<&'a str, usize>,
) -> Option<&'a str> {
    let with_room = room.iter().filter(|(_, left)| **left > 0);
    let mut ranked: Vec<&str> = with_room.map(|(entry, _)| *entry).collect();
    if ranked.is_empty() {
        return None;
    }
    let place = rounds % ranked.len();
    if place == 0 {
        return ranked.into_iter().max_by_key(|entry| rank(entry, shard));
    }
    ranked.sort_by_key(|entry| Reverse(rank(entry, shard)));
    Some(ranked[place])
}

/// Hands over what exceeds the quota, as long as another has room for it.
fn release(me: &str, view: &View<'_>, shares: &Shares<'_>) -> Vec<id::ShardId> {
    let quotas = shares.quotas();
    let Some(quota) = quotas.get(me) else {
        return Vec::new();
    };
    let mut mine: Vec<id::ShardId> = (0..)
        .zip(&view.owners)
        .filter(|(_, owner)| **owner == Some(me))
        .map(|(shard, _)| shard)
        .collect();
    let excess = mine.len().saturating_sub(*quota);
    mine.sort_by_key(|shard| rank(me, *shard));
    mine.truncate(excess);
    mine
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
