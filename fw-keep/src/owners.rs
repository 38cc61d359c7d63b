//! Cached owners of all shards, versioned by store revision.
//!
//! *Load pattern:* thousands of keys lapse in an outage of the store. After it, an entry reacquires its
//! shards and learns the owner of each from the answers to its own calls, before its watch has delivered
//! the deletions.
//!
//! *Without it:* the late watch events make shards look free that are kept, and the entry verifies all
//! of its shards in the store again, call after call, while programs wait.
//!
//! *Rule:* each shard carries the store revision of its cached owner; an older update is ignored.

use std::time::Instant;

use fw_base::id;

/// A shard's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: id::EntryId,
    /// Random number that identifies the process that took the shard.
    pub nonce: u64,
    /// Store revision at which it took the shard, used as fencing number.
    pub fence: id::Fence,
}

#[derive(Clone, Debug)]
struct Ownership {
    holder: Option<Holder>,
    /// When the shard last became free; unchanged while it has a keeper.
    free_since: Instant,
    /// Store revision of the last update.
    revision: id::Revision,
}

/// The cached keepers of all shards.
#[derive(Clone, Debug)]
pub struct Owners {
    ownerships: Vec<Ownership>,
}

impl Owners {
    /// Creates the cache for `shards` shards without keepers.
    pub fn new(shards: usize, now: Instant) -> Self {
        let ownership = Ownership {
            holder: None,
            free_since: now,
            revision: 0,
        };
        Self {
            ownerships: vec![ownership; shards],
        }
    }

    /// Records the keeper of `shard` at a store `revision`; returns whether it has changed.
    pub fn update(
        &mut self,
        shard: id::ShardId,
        holder: Option<Holder>,
        revision: id::Revision,
        now: Instant,
    ) -> bool {
        let Some(ownership) = self.ownerships.get_mut(usize::from(shard)) else {
            return false;
        };
        if revision < ownership.revision {
            return false;
        }
        ownership.revision = revision;
        if ownership.holder == holder {
            return false;
        }
        if holder.is_none() {
            ownership.free_since = now;
        }
        ownership.holder = holder;
        true
    }

    /// The cached keeper of `shard`, if any.
    pub fn holder(&self, shard: id::ShardId) -> Option<&Holder> {
        self.ownerships.get(usize::from(shard))?.holder.as_ref()
    }

    /// The time since which `shard` is free, or `None` if it has a keeper.
    pub fn free_since(&self, shard: id::ShardId) -> Option<Instant> {
        let ownership = self.ownerships.get(usize::from(shard))?;
        ownership.holder.is_none().then_some(ownership.free_since)
    }

    /// Whether any shard has no keeper.
    pub fn has_free(&self) -> bool {
        self.ownerships
            .iter()
            .any(|ownership| ownership.holder.is_none())
    }

    /// The keeper of each shard, in order.
    pub fn all(&self) -> impl Iterator<Item = Option<&Holder>> {
        self.ownerships
            .iter()
            .map(|ownership| ownership.holder.as_ref())
    }

    /// The shards that are kept, with their keepers.
    pub fn kept(&self) -> impl Iterator<Item = (id::ShardId, &Holder)> {
        let numbered = (0..).zip(self.all());
        numbered.filter_map(|(shard, holder)| Some((shard, holder?)))
    }
}
