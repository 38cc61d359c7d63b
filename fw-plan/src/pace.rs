//! Pace: whether an upstream is slower than its peers, from the times of calls.
//!
//! *Load pattern:* times of calls to equal upstreams differ by a factor of two and more, and an
//! entry among twenty sees only a call or two a second of each; now and then one upstream is several
//! times slower than the rest.
//!
//! *Without it:* a smoothed mean of few calls takes chance for slowness. Most upstreams looked 1.4
//! to 2 times slower than usual, and turns fled from the engine that had their prompt in its cache:
//! one in seven met it.
//!
//! *Rule:* the mean of an upstream's times against its peers' counts as far as calls support it,
//! and only beyond what chance explains. Without a call for some time it is forgotten, so that the
//! upstream is tried again.
//!
//! *Grounds:* [`Options`] names where each figure comes from.

use std::time::Duration;

/// How a pace is judged.
#[derive(Clone, Debug)]
pub struct Options {
    /// Calls that the mean reaches back. At a few calls a second that is some seconds.
    pub memory_calls: f64,
    /// Calls for which an upstream counts as usual before any is seen: with a spread of a factor of
    /// two, a mean of as many calls is known to a third.
    pub prior_calls: f64,
    /// Slowness that is put down to chance.
    pub noise_margin: f64,
    /// Most that one call counts, so that a single long one decides nothing.
    pub max_ratio: f64,
    /// After this time without a call an upstream counts as usual again.
    pub expiry: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_calls: 16.0,
            prior_calls: 6.0,
            noise_margin: 0.4,
            max_ratio: 6.0,
            expiry: Duration::from_secs(3),
        }
    }
}

/// One upstream's pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean: f64,
    calls: f64,
    updated_at: Duration,
}

impl Pace {
    /// A call that ended at `now` took `ratio` times as long as is usual among the peers.
    pub fn record(&mut self, options: &Options, ratio: f64, now: Duration) {
        if self.is_expired(options, now) {
            self.calls = 0.0;
        }
        self.calls = (self.calls + 1.0).min(options.memory_calls);
        self.mean = crate::ewma(self.mean, ratio.min(options.max_ratio), 1.0 / self.calls);
        self.updated_at = now;
    }

    /// How many times longer than usual its calls take; 1 for as long as there is no good reason to
    /// think so.
    pub fn slowness(&self, options: &Options, now: Duration) -> f64 {
        if self.calls == 0.0 || self.is_expired(options, now) {
            return 1.0;
        }
        let sure = self.calls / (self.calls + options.prior_calls);
        let beyond = (self.mean - 1.0) * sure - options.noise_margin;
        1.0 + beyond.max(0.0)
    }

    fn is_expired(&self, options: &Options, now: Duration) -> bool {
        now.saturating_sub(self.updated_at) >= options.expiry
    }
}
