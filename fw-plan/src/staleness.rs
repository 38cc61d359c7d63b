//! Freshness check of API keys: whether the cached configuration is recent enough to accept keys by
//! it.
//!
//! *Load pattern:* an operator revokes a key while a third of the entries are cut off from the
//! platform's store, or while the entry that reads for all others is gone.
//!
//! *Without it:* an entry that receives no updates accepts the key for as long as it is cut off.
//!
//! *Rule:* an entry records up to which time its configuration includes all acknowledged changes:
//! the time at which the last successful read, its own or a published one, was requested. Once that
//! is longer ago than the bound, keys are not accepted until a newer read is received.

use std::time::Duration;

/// Freshness of the cached configuration. Times are those of a clock that keeps running while the
/// machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyFreshness {
    max_age: Option<Duration>,
    confirmed_at: Option<Duration>,
}

/// Whether keys may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration is recent enough.
    Fresh,
    /// It is too old, or was never confirmed.
    Stale {
        /// Its age; `None` if it was never confirmed.
        age: Option<Duration>,
    },
}

impl KeyFreshness {
    /// Without a confirmation. `bound` is the greatest age by which keys are accepted; `None`
    /// allows any age.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            max_age: bound,
            confirmed_at: None,
        }
    }

    /// A read confirms that the configuration includes all changes that the store had acknowledged
    /// at `requested_at`.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Time since the request of the last read that confirmed it.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether keys may be accepted at `now`.
    pub fn decide(&self, now: Duration) -> Outcome {
        let age = self.age(now);
        match self.max_age {
            Some(bound) if age.is_none_or(|age| age > bound) => Outcome::Stale { age },
            _ => Outcome::Fresh,
        }
    }
}
