//! The newest fencing number of each shard, and when it was last renewed.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use parking_lot::Mutex;

/// Whether a fencing number may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It is the newest seen of its shard.
    Current,
    /// It is newer than any seen of its shard: the shard has a new keeper.
    Newer,
    /// A newer one was seen: another entry keeps the shard.
    Stale {
        /// The newest one.
        newest: id::Fence,
    },
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    fence: id::Fence,
    renewed_at: Instant,
}

/// Fencing numbers by shard; at most [`id::SHARDS`] of them.
#[derive(Debug, Default)]
pub struct Fences {
    shards: Mutex<HashMap<id::ShardId, Newest>>,
}

impl Fences {
    /// Notes that the holder of `fence` is alive, unless it is stale.
    ///
    /// Guards against a keeper that was paused, lost its shard and acts on: its messages carry the
    /// number of its own lease, which is below that of its successor. The check stands here since
    /// some engines ignore the number and the side is the only way to its engine.
    pub fn renew(&self, shard: id::ShardId, fence: id::Fence, now: Instant) -> Check {
        let mut shards = self.shards.lock();
        let seen = shards.entry(shard).or_insert(Newest {
            fence,
            renewed_at: now,
        });
        if fence < seen.fence {
            return Check::Stale { newest: seen.fence };
        }
        let check = match fence > seen.fence {
            true => Check::Newer,
            false => Check::Current,
        };
        *seen = Newest {
            fence,
            renewed_at: now,
        };
        check
    }

    /// Whether a newer fencing number than `fence` was seen of `shard`.
    pub fn is_stale(&self, shard: id::ShardId, fence: id::Fence) -> bool {
        matches!(self.check(shard, fence), Check::Stale { .. })
    }

    /// Whether `fence` is the newest seen of `shard`, without renewing it.
    pub fn check(&self, shard: id::ShardId, fence: id::Fence) -> Check {
        match self.shards.lock().get(&shard) {
            Some(seen) if fence < seen.fence => Check::Stale { newest: seen.fence },
            _ => Check::Current,
        }
    }

    /// How long ago the shard was renewed; `None` if it never was.
    pub fn time_since_renewal(&self, shard: id::ShardId, now: Instant) -> Option<Duration> {
        let seen = self.shards.lock().get(&shard).copied()?;
        Some(now.saturating_duration_since(seen.renewed_at))
    }

    /// The highest fencing number of any shard, for orders to the engine.
    ///
    /// An engine may compare all orders with one number, while shards have numbers of their own;
    /// the highest one is never refused, and a stale keeper was refused here before.
    pub fn highest(&self) -> id::Fence {
        let shards = self.shards.lock();
        shards.values().map(|seen| seen.fence).max().unwrap_or(0)
    }
}
