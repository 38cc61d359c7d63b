//! Relative slowness of an upstream against its peers, estimated from the times of calls.
//!
//! *Load pattern:* times of calls to equal upstreams differ by a factor of two and more, and an
//! entry among twenty sees only a call or two a second of each; now and then one upstream is
//! several times slower than the rest.
//!
//! *Without it:* a smoothed mean of few calls mistakes chance for slowness. Most upstreams look 1.4
//! to 2 times slower than usual, and turns move away from the engine that has their prompt in its
//! cache: only one in seven reaches it.
//!
//! *Rule:* the mean of an upstream's times relative to its peers' is weighted by the number of
//! calls behind it, and counts only beyond the range that chance explains. Without a call for some
//! time it is discarded, so that the upstream is tried again.
//!
//! *Grounds:* [`Options`] gives the reason of each figure.

use std::time::Duration;

/// Parameters of the estimate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of calls that the mean covers: some seconds at a few calls a second.
    pub memory_calls: f64,
    /// Weight of the prior that an upstream is as fast as its peers, in calls: with a spread of a
    /// factor of two, a mean of this many calls is known to within a third.
    pub prior_calls: f64,
    /// Slowness that is attributed to chance.
    pub noise_margin: f64,
    /// Upper limit of the ratio of one call, so that a single long call decides nothing.
    pub max_ratio: f64,
    /// Time without a call after which the estimate is discarded.
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

/// Estimate of one upstream's slowness.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean: f64,
    calls: f64,
    updated_at: Duration,
}

impl Pace {
    /// Records a call that ended at `now` and took `ratio` times as long as is usual among the
    /// peers.
    pub fn record(&mut self, options: &Options, ratio: f64, now: Duration) {
        if self.is_expired(options, now) {
            self.calls = 0.0;
        }
        self.calls = (self.calls + 1.0).min(options.memory_calls);
        self.mean = crate::ewma(self.mean, ratio.min(options.max_ratio), 1.0 / self.calls);
        self.updated_at = now;
    }

    /// Time of its calls relative to the usual time; 1 unless the evidence shows it to be slower.
    pub fn slowness(&self, options: &Options, now: Duration) -> f64 {
        if self.calls == 0.0 || self.is_expired(options, now) {
            return 1.0;
        }
        let confidence = self.calls / (self.calls + options.prior_calls);
        let excess = (self.mean - 1.0) * confidence - options.noise_margin;
        1.0 + excess.max(0.0)
    }

    fn is_expired(&self, options: &Options, now: Duration) -> bool {
        now.saturating_sub(self.updated_at) >= options.expiry
    }
}
