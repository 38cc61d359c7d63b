//! How long a keeper collects writes before one commit.
//!
//! *Load pattern:* thousands of turns per second must be made durable in a store that accepts
//! several hundred writes per second from the whole fleet.
//!
//! *Without it:* one write per turn overloads the store, and every entry's writes wait. With a
//! fixed delay, either small fleets wait for no reason or large ones overload the store.
//!
//! *Rule:* each entry may use its share of the store's write rate, so its commits are at least
//! `entries / rate` apart. While the store is slower than that, they are at least as far apart as
//! its latency, so that a slow store is not sent more. A single turn after an idle period is
//! committed at once.
//!
//! *Grounds:* 200 of the several hundred writes per second that the store accepts, for all entries;
//! with 380 entries this is one commit every 1.9 s, below the longest delay.

use std::time::Duration;

use crate::ewma;

/// Parameters of the spacing of commits.
#[derive(Clone, Debug)]
pub struct Options {
    /// Commits per second that all entries together may write. Half of the several hundred writes
    /// that the store accepts; leases, records and claims need the rest.
    pub max_write_rate: f64,
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay.
    pub max_delay: Duration,
    /// Least time between commits, as a multiple of the store's latency.
    pub latency_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_write_rate: 200.0,
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_secs(4),
            latency_factor: 1.0,
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
    last_commit: Option<Duration>,
}

impl CommitWindow {
    /// Creates a window without commits.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            latency: 0.0,
            last_commit: None,
        }
    }

    /// Records that a commit was sent.
    pub fn committed(&mut self, now: Duration) {
        self.last_commit = Some(now);
    }

    /// Records that the store answered a commit after `latency`.
    pub fn observe(&mut self, latency: Duration) {
        self.latency = ewma(self.latency, latency.as_secs_f64(), SMOOTHING);
    }

    /// Least time between two commits while `entries` entries share the store.
    pub fn spacing(&self, entries: u32) -> Duration {
        let share = f64::from(entries.max(1)) / self.options.max_write_rate;
        let store_latency = self.latency * self.options.latency_factor;
        let spacing = Duration::from_secs_f64(share.max(store_latency));
        spacing.clamp(self.options.min_delay, self.options.max_delay)
    }

    /// How long a change made now is held back for others before it is committed.
    pub fn delay(&self, now: Duration, entries: u32) -> Duration {
        match self.last_commit {
            Some(last) => (last + self.spacing(entries)).saturating_sub(now),
            None => Duration::ZERO,
        }
        .max(self.options.min_delay)
    }
}
