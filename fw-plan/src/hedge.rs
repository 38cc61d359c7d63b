//! Hedging: a second copy of a slow plain read.
//!
//! *Load pattern:* one of several upstreams answers late now and then, for no fault of the call.
//!
//! *Without it:* each such pause is seen whole by a caller. With a fixed delay, or for calls that
//! may not be repeated, hedging doubles the load or runs a call twice.
//!
//! *Rule:* only idempotent plain reads; the copy is sent once the call has taken longer than
//! [`Options::quantile`] of recent ones, so about that share of calls is doubled at most, and each
//! copy spends the service's retry budget as well.
//!
//! *Grounds:* the 95th percentile doubles at most one call in twenty, which a service at 80 % load
//! still takes.

use std::time::Duration;

use crate::admit;

/// Buckets of the latency histogram: a factor of 2^(1/4) each, from 0.1 ms to about 100 s.
const BUCKETS: usize = 80;
/// Lower end of the histogram.
const FLOOR: Duration = Duration::from_micros(100);
/// Observations after which all counts are halved, so that old latencies fade.
const FADE: u32 = 2_000;

/// When calls are hedged.
#[derive(Clone, Debug)]
pub struct Options {
    /// Quantile of recent latencies after which the copy is sent.
    pub quantile: f64,
    /// Observations needed before anything is hedged.
    pub least: u32,
    /// Shortest wait before the copy is sent.
    pub min_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            least: 100,
            min_delay: Duration::from_millis(2),
        }
    }
}

/// Latencies of one service, and when to hedge its calls.
#[derive(Clone, Debug)]
pub struct Hedge {
    options: Options,
    counts: [u32; BUCKETS],
    total: u32,
}

impl Hedge {
    /// Without observations yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// A call took `latency`.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= FADE {
            self.fade();
        }
    }

    /// After which time a copy of a call is to be sent; `None` for never.
    pub fn decide(&self, lane: admit::Lane, repeatable: bool) -> Option<Duration> {
        let allowed = lane == admit::Lane::Plain && repeatable;
        if !allowed || self.total < self.options.least {
            return None;
        }
        Some(self.quantile().max(self.options.min_delay))
    }

    fn quantile(&self) -> Duration {
        let rank = f64::from(self.total) * self.options.quantile;
        let mut below = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            below += f64::from(*count);
            if below >= rank {
                return upper_end(index);
            }
        }
        upper_end(BUCKETS - 1)
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FLOOR.as_secs_f64();
    let index = ratio.max(1.0).log2() * 4.0;
    (index as usize).min(BUCKETS - 1)
}

fn upper_end(index: usize) -> Duration {
    FLOOR.mul_f64(2_f64.powf((index + 1) as f64 / 4.0))
}
