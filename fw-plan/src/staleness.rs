//! Whether what an entry knows is new enough to accept API keys by it.
//!
//! *Load pattern:* an operator takes a key away while a third of the entries are cut off from the
//! platform's store, or while the entry that reads for all others is gone.
//!
//! *Without it:* an entry that hears nothing takes the key for good, for as long as it is cut off.
//!
//! *Rule:* an entry knows up to which moment all acknowledged changes are known to it: the time at
//! which the last read that it has the outcome of was asked. Once that is longer ago than the
//! bound, keys are not accepted until something newer is known.

use std::time::Duration;

/// What an entry knows, by the age of its proof. Times are those of a clock that goes on while the
/// machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyFreshness {
    max_age: Option<Duration>,
    confirmed_at: Option<Duration>,
}

/// Whether keys may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// What is known is new enough.
    Fresh,
    /// It is too old, or was never proven.
    Stale {
        /// Its age.
        age: Option<Duration>,
    },
}

impl KeyFreshness {
    /// Nothing is known yet; it may be as old as `bound`, or of any age if there is none.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            max_age: bound,
            confirmed_at: None,
        }
    }

    /// All changes are known that the store had acknowledged at `asked`.
    pub fn confirm(&mut self, asked: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(asked));
    }

    /// Time since the moment up to which all changes are known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|asked| now.saturating_sub(asked))
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
