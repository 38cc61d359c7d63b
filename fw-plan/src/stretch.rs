//! Stretch: how many times longer calls take at present than on an idle engine.
//!
//! *Load pattern:* engines run more calls at once than their step time bears, or prefill so many
//! prompts that all calls of a batch stall, while slots are still free.
//!
//! *Without it:* the number of calls is the only sign of overload. At three quarters of the slots a
//! call can take twice its time, and each program that begins then is late.
//!
//! *Rule:* an entry times its own completed streams, the time to the first event and the interval
//! between events, and compares them with a low quantile of all that it has seen. The ratio is
//! averaged over some hundred milliseconds, weighted by the idle time of the calls, with a prior of
//! one call that is not stretched, so that it falls back to 1 when no call completes.
//!
//! *Grounds:* a low quantile is the time on an engine with little else to do, also when most calls
//! of the last seconds were slow. [`Options`] gives the figures.

use std::time::Duration;

/// Parameters of the measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time constant of the mean: a dozen calls at 40 calls a second, and short against a program.
    pub memory: Duration,
    /// Quantile of event intervals that counts as that of an idle engine.
    pub interval_quantile: f64,
    /// The same for the time to the first event, which also depends on the part of the prompt that
    /// has to be prefilled on an idle engine as well.
    pub first_quantile: f64,
    /// Calls before the quantiles are known.
    pub min_calls: u32,
    /// Upper limit of the ratio of one call, so that a single long call decides nothing.
    pub max_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory: Duration::from_millis(300),
            interval_quantile: 0.1,
            first_quantile: 0.25,
            min_calls: 32,
            max_ratio: 6.0,
        }
    }
}

/// Times of one completed stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time to the first event, with the wait for a slot.
    pub first: Duration,
    /// Time from the first event to the last.
    pub rest: Duration,
    /// Number of events after the first.
    pub intervals: u32,
}

/// Buckets of [`Histogram`]: from 50 µs to more than a minute.
const BUCKETS: usize = 288;
/// Lower bound of the first bucket, in seconds.
const MIN_SECS: f64 = 5e-5;
/// Ratio of the bounds of a bucket: the precision of a quantile.
const BUCKET_RATIO: f64 = 1.05;
/// Counts are halved at this many. At 40 calls a second, the calls of the last minute or two weigh
/// most, so a burst of ten seconds hardly moves a low quantile.
const MAX_COUNT: u32 = 4_000;

/// Distribution of times, in which later ones weigh more.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Histogram {
    fn add(&mut self, secs: f64) {
        let steps = (secs / MIN_SECS).ln() / BUCKET_RATIO.ln();
        let at = (steps.max(0.0) as usize).min(BUCKETS - 1);
        self.counts[at] += 1;
        self.total += 1;
        if self.total >= MAX_COUNT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
    }

    /// The quantile `part`, in seconds.
    fn quantile(&self, part: f64) -> f64 {
        let mut left = part * f64::from(self.total);
        let reached = self.counts.iter().position(|count| {
            left -= f64::from(*count);
            left < 0.0
        });
        MIN_SECS * BUCKET_RATIO.powf(reached.unwrap_or(BUCKETS - 1) as f64 + 0.5)
    }
}

/// A mean in which past values lose weight with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl DecayingMean {
    fn add(&mut self, value: f64, weight: f64, now: Duration, memory: Duration) {
        let decay = self.decay(now, memory);
        self.sum = self.sum * decay + value * weight;
        self.weight = self.weight * decay + weight;
        self.updated_at = now;
    }

    fn decay(&self, now: Duration, memory: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        (-age.div_duration_f64(memory)).exp()
    }
}

/// The stretch of one service's calls, as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Stretch {
    first: Histogram,
    intervals: Histogram,
    /// Ratios of calls, weighted by their time on an idle engine.
    ratio: DecayingMean,
    /// Load, in calls a slot.
    load: DecayingMean,
    /// Smoothed time of a call on an idle engine, in seconds.
    idle_secs: f64,
}

/// Smoothing factor of the time of a call on an idle engine.
const IDLE_SMOOTHING: f64 = 0.05;

impl Stretch {
    /// Records a stream that completed at `now`.
    pub fn record(&mut self, opts: &Options, timing: &Timing, now: Duration) {
        self.first.add(timing.first.as_secs_f64());
        if timing.intervals > 0 {
            let mean = timing.rest / timing.intervals;
            self.intervals.add(mean.as_secs_f64());
        }
        if self.first.total < opts.min_calls {
            return;
        }
        let interval = self.intervals.quantile(opts.interval_quantile);
        let idle = self.first.quantile(opts.first_quantile)
            + match timing.intervals {
                0 => 0.0,
                intervals => interval * f64::from(intervals),
            };
        let took = (timing.first + timing.rest).as_secs_f64();
        let ratio = (took / idle).min(opts.max_ratio);
        self.idle_secs = match self.idle_secs > 0.0 {
            true => crate::ewma(self.idle_secs, idle, IDLE_SMOOTHING),
            false => idle,
        };
        self.ratio.add(ratio, idle, now, opts.memory);
    }

    /// Records the load at `now`, in calls a slot.
    pub fn note_load(&mut self, opts: &Options, load: f64, now: Duration) {
        let weight = 1.0 - self.load.decay(now, opts.memory);
        // The first one counts in full.
        let weight = if self.load.weight > 0.0 { weight } else { 1.0 };
        self.load.add(load, weight, now, opts.memory);
    }

    /// The ratio at `now`; 1 without recent calls.
    pub fn ratio(&self, opts: &Options, now: Duration) -> f64 {
        let decay = self.ratio.decay(now, opts.memory);
        let prior = self.idle_secs;
        let weight = self.ratio.weight * decay + prior;
        if weight <= 0.0 {
            return 1.0;
        }
        ((self.ratio.sum * decay + prior) / weight).max(1.0)
    }

    /// Mean load of the time over which the ratio is averaged, in calls a slot.
    pub fn load(&self) -> f64 {
        if self.load.weight > 0.0 {
            self.load.sum / self.load.weight
        } else {
            0.0
        }
    }

    /// Usual time of a call on an idle engine; zero if it is not known.
    pub fn idle_call(&self) -> Duration {
        Duration::from_secs_f64(self.idle_secs)
    }
}
