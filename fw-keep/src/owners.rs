//! Who keeps each shard, as far as the store has told.
//!
//! *Load pattern:* thousands of keys lapse in an outage of the store. When it is back, an entry takes its
//! shards again and hears of each from the answers to its own calls, before its watch has shown that
//! they lapsed.
//!
//! *Without it:* the late news make shards look free that are kept, and the entry looks at all of its
//! shards in the store again, call after call, while programs wait.
//!
//! *Rule:* each shard has the revision up to which it is known; older news change nothing.

use std::time::Instant;

use fw_base::id;

/// A shard's keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: id::EntryId,
    /// Of the process that took the shard.
    pub nonce: u64,
    /// Revision at which it took the shard.
    pub fence: id::Fence,
}

#[derive(Clone, Debug)]
struct Place {
    holder: Option<Holder>,
    /// Since when nobody is known to keep it; stands still while somebody does.
    free_since: Instant,
    /// Revision of the store that this is known from.
    known: id::Revision,
}

/// The keepers of all shards.
#[derive(Clone, Debug)]
pub struct Owners {
    places: Vec<Place>,
}

impl Owners {
    /// As many `shards`, of which nothing is known.
    pub fn new(shards: usize, now: Instant) -> Self {
        let place = Place {
            holder: None,
            free_since: now,
            known: 0,
        };
        Self {
            places: vec![place; shards],
        }
    }

    /// Notes who kept `shard` at `revision` of the store; false if that changes nothing.
    pub fn update(
        &mut self,
        shard: id::ShardId,
        holder: Option<Holder>,
        revision: id::Revision,
        now: Instant,
    ) -> bool {
        let Some(place) = self.places.get_mut(usize::from(shard)) else {
            return false;
        };
        if revision < place.known {
            return false;
        }
        place.known = revision;
        if place.holder == holder {
            return false;
        }
        if holder.is_none() {
            place.free_since = now;
        }
        place.holder = holder;
        true
    }

    /// The keeper of `shard`, if one is known.
    pub fn holder(&self, shard: id::ShardId) -> Option<&Holder> {
        self.places.get(usize::from(shard))?.holder.as_ref()
    }

    /// Since when `shard` is free, if nobody keeps it now.
    pub fn free_since(&self, shard: id::ShardId) -> Option<Instant> {
        let place = self.places.get(usize::from(shard))?;
        place.holder.is_none().then_some(place.free_since)
    }

    /// Whether any shard is free.
    pub fn has_free(&self) -> bool {
        self.places.iter().any(|place| place.holder.is_none())
    }

    /// The keeper of each shard, in order.
    pub fn all(&self) -> impl Iterator<Item = Option<&Holder>> {
        self.places.iter().map(|place| place.holder.as_ref())
    }

    /// The shards that are kept, with their keepers.
    pub fn kept(&self) -> impl Iterator<Item = (id::ShardId, &Holder)> {
        let numbered = (0..).zip(self.all());
        numbered.filter_map(|(shard, holder)| Some((shard, holder?)))
    }
}
