//! Hedging: a second copy of a slow plain read.
//!
//! *Load pattern:* one of several upstreams occasionally answers late, for reasons unrelated to the
//! call.
//!
//! *Without it:* the caller waits for the whole of each such pause. With a fixed delay, or for
//! calls that are not idempotent, hedging doubles the load or runs a call twice.
//!
//! *Rule:* only idempotent plain reads are hedged. The copy is sent once the call has taken longer
//! than the [`Options::quantile`] of recent calls, so at most about that fraction of calls is
//! doubled, and each copy also draws on the service's retry budget.
//!
//! *Grounds:* the 95th percentile doubles at most one call in twenty, which a service at 80 % load
//! can still serve.

use std::time::Duration;

use crate::admit;

/// Buckets of the latency histogram: a factor of 2^(1/4) each, from 0.1 ms to about 100 s.
const BUCKETS: usize = 80;
/// Lower end of the histogram.
const MIN_LATENCY: Duration = Duration::from_micros(100);
/// Samples after which all counts are halved, so that old latencies lose weight.
const DECAY_THRESHOLD: u32 = 2_000;

/// Parameters of hedging.
#[derive(Clone, Debug)]
pub struct Options {
    /// Quantile of recent latencies after which the copy is sent.
    pub quantile: f64,
    /// Samples needed before any call is hedged.
    pub min_samples: u32,
    /// Shortest delay before the copy is sent.
    pub min_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            min_samples: 100,
            min_delay: Duration::from_millis(2),
        }
    }
}

/// Latency histogram of one service, which decides when its calls are hedged.
#[derive(Clone, Debug)]
pub struct Hedge {
    options: Options,
    counts: [u32; BUCKETS],
    total: u32,
}

impl Hedge {
    /// Creates an empty histogram.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Records that a call took `latency`.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket_index(latency)] += 1;
        self.total += 1;
        if self.total >= DECAY_THRESHOLD {
            self.decay();
        }
    }

    /// Delay after which a copy of a call is to be sent; `None` if it is not hedged.
    pub fn decide(&self, lane: admit::Lane, idempotent: bool) -> Option<Duration> {
        let allowed = lane == admit::Lane::Plain && idempotent;
        if !allowed || self.total < self.options.min_samples {
            return None;
        }
        Some(self.quantile().max(self.options.min_delay))
    }

    fn quantile(&self) -> Duration {
        let rank = f64::from(self.total) * self.options.quantile;
        let mut cumulative = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += f64::from(*count);
            if cumulative >= rank {
                return bucket_upper_bound(index);
            }
        }
        bucket_upper_bound(BUCKETS - 1)
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_index(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / MIN_LATENCY.as_secs_f64();
    let index = ratio.max(1.0).log2() * 4.0;
    (index as usize).min(BUCKETS - 1)
}

fn bucket_upper_bound(index: usize) -> Duration {
    MIN_LATENCY.mul_f64(2_f64.powf((index + 1) as f64 / 4.0))
}
