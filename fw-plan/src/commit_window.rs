//! How long a keeper gathers writes into one commit.
//!
//! *Load pattern:* thousands of turns a second are to be made durable in a store that takes
//! several hundred writes a second from the whole fleet.
//!
//! *Without it:* a write for each turn overruns the store, and every entry's writes wait. With a
//! fixed delay either small fleets wait for nothing or large ones overrun it.
//!
//! *Rule:* each entry may write its part of the store's rate, so commits are at least
//! `entries / rate` apart; and while the store is slower than usual, at least as far apart as it
//! takes to answer, so that a slow store is not sent more. A lone turn after a quiet time is
//! committed at once.
//!
//! *Grounds:* 200 of the several hundred writes a second that the store takes, for all entries; at 380
//! entries that is a commit each 1.9 s, below the longest delay.

use std::time::Duration;

use crate::ewma;

/// How commits are spaced.
#[derive(Clone, Debug)]
pub struct Options {
    /// Writes a second that all entries together may make for commits. Half of the several
    /// hundred that the store takes; leases, records and claims need the rest.
    pub writes: f64,
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay.
    pub max_delay: Duration,
    /// Multiple of the store's latency that commits are apart.
    pub latency_part: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            writes: 200.0,
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_secs(4),
            latency_part: 1.0,
        }
    }
}

/// Weight of the newest sample in the smoothed latency.
const SMOOTHING: f64 = 0.2;

/// Spacing of one entry's commits.
#[derive(Clone, Debug)]
pub struct CommitWindow {
    options: Options,
    latency: f64,
    last: Option<Duration>,
}

impl CommitWindow {
    /// Before any commit.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            latency: 0.0,
            last: None,
        }
    }

    /// A commit was sent.
    pub fn committed(&mut self, now: Duration) {
        self.last = Some(now);
    }

    /// The store answered a commit after `latency`.
    pub fn observe(&mut self, latency: Duration) {
        self.latency = ewma(self.latency, latency.as_secs_f64(), SMOOTHING);
    }

    /// Least time between two commits while `entries` entries share the store.
    pub fn spacing(&self, entries: u32) -> Duration {
        let share = f64::from(entries.max(1)) / self.options.writes;
        let answer = self.latency * self.options.latency_part;
        let spacing = Duration::from_secs_f64(share.max(answer));
        spacing.clamp(self.options.min_delay, self.options.max_delay)
    }

    /// How long a change made now waits for others before it is committed.
    pub fn delay(&self, now: Duration, entries: u32) -> Duration {
        match self.last {
            Some(last) => (last + self.spacing(entries)).saturating_sub(now),
            None => Duration::ZERO,
        }
        .max(self.options.min_delay)
    }
}
