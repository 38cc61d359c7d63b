//! Which entries leave free shards to nobody although they should take them.
//!
//! *Load pattern:* an entry hangs while its lease goes on, and shards that fall to it stay free. Or a
//! fleet starts, or the store is back after an outage, and each entry takes thousands of shards, some
//! with each call, for longer than a round.
//!
//! *Without it:* callers wait for as long as the entry hangs. Judged by the time for which a shard was
//! free, entries that are busy with their shares all count as stuck with each other; they then ask for
//! the same shards, and half of their calls are in vain.
//!
//! *Rule:* an entry is stuck if for a round it has taken nothing, although a shard that falls to it was
//! free all the while. The round begins one round after the entry was listed, as an entry whose lease
//! has lapsed leaves free shards alone for so long. A stuck one gets no shards for some rounds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;

/// Rounds for which a stuck entry gets no shards: long enough that they don't go to and fro around
/// it, and not for good, since it may have been merely slow.
const PASSIVE_ROUNDS: u32 = 20;

/// A free shard that an entry is to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingShard {
    /// The entry.
    pub entry: id::EntryId,
    /// Since when the shard is free.
    pub free_since: Instant,
}

/// What is known of the entries' taking of shards.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Since when each live entry is listed.
    listed: BTreeMap<id::EntryId, Instant>,
    /// When each live entry last took a shard.
    took: BTreeMap<id::EntryId, Instant>,
    /// Until when an entry gets no shards.
    passive: BTreeMap<id::EntryId, Instant>,
}

impl Progress {
    /// Notes that an entry is listed.
    pub fn record_listed(&mut self, entry: &id::EntryId, now: Instant) {
        self.listed.entry(entry.clone()).or_insert(now);
    }

    /// Notes that an entry is listed no more.
    pub fn record_unlisted(&mut self, entry: &id::EntryId) {
        self.listed.remove(entry);
        self.took.remove(entry);
    }

    /// Notes that an entry has taken a shard.
    pub fn record_taken(&mut self, entry: &id::EntryId, now: Instant) {
        self.took.insert(entry.clone(), now);
    }

    /// Judges the entries by the shards that are due; returns those that are found stuck.
    pub fn detect_stalled(
        &mut self,
        due: impl IntoIterator<Item = PendingShard>,
        round: Duration,
        now: Instant,
    ) -> BTreeSet<id::EntryId> {
        self.passive.retain(|_, until| *until > now);
        let stuck = due.into_iter().filter(|due| self.is_stuck(due, round, now));
        let stuck: BTreeSet<_> = stuck.map(|due| due.entry).collect();
        let until = now + round * PASSIVE_ROUNDS;
        let passive = stuck.iter().map(|entry| (entry.clone(), until));
        self.passive.extend(passive);
        stuck
    }

    /// The entries that get no shards, as of the last judgement.
    pub fn passive(&self) -> impl Iterator<Item = &id::EntryId> {
        self.passive.keys()
    }

    fn is_stuck(&self, due: &PendingShard, round: Duration, now: Instant) -> bool {
        let may_take = self.listed.get(&due.entry).map(|since| *since + round);
        let took = self.took.get(&due.entry).copied();
        let waits_since = [Some(due.free_since), may_take, took];
        waits_since
            .into_iter()
            .max()
            .flatten()
            .is_some_and(|since| since + round < now)
    }
}
