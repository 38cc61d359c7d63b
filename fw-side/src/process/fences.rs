//! The highest fencing number of each shard, and when it was last renewed.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use parking_lot::Mutex;

/// Result of comparing a fencing number with the highest one of its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It is the highest one received for its shard.
    Current,
    /// It is higher than all received for its shard so far: the shard has a new keeper.
    Newer,
    /// A higher one was received: another entry keeps the shard.
    Stale {
        /// The highest one.
        newest: id::Fence,
    },
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    fence: id::Fence,
    renewed_at: Instant,
}

/// Fencing numbers by shard; at most [`id::SHARDS`] entries.
#[derive(Debug, Default)]
pub struct Fences {
    shards: Mutex<HashMap<id::ShardId, Newest>>,
}

impl Fences {
    /// Renews `shard` for the holder of `fence`, unless `fence` is stale.
    ///
    /// Guards against a keeper that was suspended, lost its shard and continues to act: its
    /// messages carry the number of its own lease, which is lower than that of its successor. The
    /// side checks this because some engines ignore the number, and all calls to an engine pass
    /// through its side.
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

    /// Whether a higher fencing number than `fence` was received for `shard`.
    pub fn is_stale(&self, shard: id::ShardId, fence: id::Fence) -> bool {
        matches!(self.check(shard, fence), Check::Stale { .. })
    }

    /// Compares `fence` with the highest number of `shard` without renewing the shard.
    pub fn check(&self, shard: id::ShardId, fence: id::Fence) -> Check {
        match self.shards.lock().get(&shard) {
            Some(seen) if fence < seen.fence => Check::Stale { newest: seen.fence },
            _ => Check::Current,
        }
    }

    /// Time since the shard was last renewed; `None` if it never was.
    pub fn time_since_renewal(&self, shard: id::ShardId, now: Instant) -> Option<Duration> {
        let seen = self.shards.lock().get(&shard).copied()?;
        Some(now.saturating_duration_since(seen.renewed_at))
    }

    /// The highest fencing number across all shards, for commands to the engine.
    ///
    /// An engine may compare all commands with a single number, while each shard has its own. The
    /// highest number is never refused, and stale keepers have already been refused by the side.
    pub fn highest(&self) -> id::Fence {
        let shards = self.shards.lock();
        shards.values().map(|seen| seen.fence).max().unwrap_or(0)
    }
}
