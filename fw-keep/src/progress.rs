//! Detects entries that do not take the free shards assigned to them.
//!
//! *Load pattern:* an entry hangs while its lease is still renewed, and the shards assigned to it stay
//! free. Or a fleet starts, or the store recovers from an outage, and each entry takes thousands of
//! shards, a group per call, for longer than the stall timeout.
//!
//! *Without it:* callers wait for as long as the entry hangs. If stalls were detected by how long a
//! shard has been free, entries that are still taking their shares would all regard each other as
//! stalled; they would then request the same shards, and half of their calls would fail.
//!
//! *Rule:* an entry is stalled if it has taken no shard for the stall timeout, although a shard assigned
//! to it was free throughout. The timeout starts to count one timeout after the entry was listed, since
//! an entry whose lease has lapsed leaves free shards alone for that long. A stalled entry is assigned
//! no shards for a multiple of the timeout.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;

/// Period for which a stalled entry is assigned no shards, in stall timeouts: long enough that shards do
/// not move back and forth, but not permanent, since the entry may only have been slow.
const PASSIVE_TIMEOUTS: u32 = 20;

/// A free shard that is assigned to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingShard {
    /// The entry that is to take it.
    pub entry: id::EntryId,
    /// The time since which the shard is free.
    pub free_since: Instant,
}

/// Tracks when each entry last took a shard.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The time since which each live entry is listed.
    listed_since: BTreeMap<id::EntryId, Instant>,
    /// The time at which each live entry last took a shard.
    last_taken: BTreeMap<id::EntryId, Instant>,
    /// The time until which a stalled entry is assigned no shards.
    passive_until: BTreeMap<id::EntryId, Instant>,
}

impl Progress {
    /// Records that an entry is listed.
    pub fn record_listed(&mut self, entry: &id::EntryId, now: Instant) {
        self.listed_since.entry(entry.clone()).or_insert(now);
    }

    /// Records that an entry is no longer listed.
    pub fn record_unlisted(&mut self, entry: &id::EntryId) {
        self.listed_since.remove(entry);
        self.last_taken.remove(entry);
    }

    /// Records that an entry has taken a shard.
    pub fn record_taken(&mut self, entry: &id::EntryId, now: Instant) {
        self.last_taken.insert(entry.clone(), now);
    }

    /// Returns the entries that are stalled on `pending` shards, and makes them passive.
    pub fn detect_stalled(
        &mut self,
        pending: impl IntoIterator<Item = PendingShard>,
        stall_timeout: Duration,
        now: Instant,
    ) -> BTreeSet<id::EntryId> {
        self.passive_until.retain(|_, until| *until > now);
        let stalled = pending
            .into_iter()
            .filter(|pending| self.is_stalled(pending, stall_timeout, now));
        let stalled: BTreeSet<_> = stalled.map(|pending| pending.entry).collect();
        let until = now + stall_timeout * PASSIVE_TIMEOUTS;
        let passive = stalled.iter().map(|entry| (entry.clone(), until));
        self.passive_until.extend(passive);
        stalled
    }

    /// The entries that are assigned no shards, as of the last call of [`Self::detect_stalled`].
    pub fn passive(&self) -> impl Iterator<Item = &id::EntryId> {
        self.passive_until.keys()
    }

    fn is_stalled(&self, pending: &PendingShard, stall_timeout: Duration, now: Instant) -> bool {
        let may_take = self
            .listed_since
            .get(&pending.entry)
            .map(|since| *since + stall_timeout);
        let last_taken = self.last_taken.get(&pending.entry).copied();
        let waiting_since = [Some(pending.free_since), may_take, last_taken];
        waiting_since
            .into_iter()
            .max()
            .flatten()
            .is_some_and(|since| since + stall_timeout < now)
    }
}
