//! Retention of paused programs' KV cache over tool calls.
//!
//! *Load pattern:* programs pause for tool calls between their turns, most for seconds, some for
//! minutes, and some never return; the cache holds far fewer histories than there are programs.
//!
//! *Without it:* the engine evicts the least recently used prefix, so programs that have ended
//! displace those that return shortly, and a long history is computed again each time.
//!
//! *Rule:* the lengths of pauses are recorded in a small histogram with powers of two as bounds.
//! Programs are ranked by the probability that a program which has paused for this long returns
//! within the horizon, times the prefill time that it would cost anew, divided by the memory that
//! it holds. Under memory pressure the lowest ranks are freed first. [`Weight`] selects how prefill
//! is counted: as the caller's wait or as the engine's work.
//!
//! *Grounds:* `docs/POLICY.md`: a horizon of 2 s is about how long a cache under pressure keeps an
//! unused prefix, and wastes less than one of 30 s, in which nearly every program returns. Freeing
//! early leaves memory unused: starting at 98 % usage wasted less than starting at 90 %.

use std::time::Duration;

use fw_base::id;

/// Number of buckets. Bucket `i` holds pauses up to 2^i times [`MIN_PAUSE`].
const BUCKETS: usize = 20;
/// Upper end of the first bucket.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Samples after which all counts are halved, so that old pauses lose weight.
const DECAY_THRESHOLD: u32 = 4_096;

/// Exponent of a history's length in its score under [`Weight::Latency`], beyond its share of the
/// memory.
const LENGTH_EXPONENT: f64 = 0.25;

/// The goal that the operator's records set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weight {
    /// Low program latency: a long history, whose prefill a person would wait for, is worth more
    /// than its share of the memory.
    #[default]
    Latency,
    /// Little wasted cache: each cached token is worth the same.
    Cache,
}

/// Parameters of cache retention.
#[derive(Clone, Debug)]
pub struct Options {
    /// The goal.
    pub weight: Weight,
    /// Fraction of the cache in use above which caches are freed.
    pub pressure: f64,
    /// Time within which a program's return counts.
    pub horizon: Duration,
    /// Probability of return below which a cache is freed even without memory pressure.
    pub min_return_probability: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            weight: Weight::default(),
            pressure: 0.98,
            horizon: Duration::from_secs(2),
            min_return_probability: 0.02,
        }
    }
}

/// Decision about a paused program's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Keep it for now; decide again later.
    Keep,
    /// Free it: there is memory pressure and its score is below the threshold, or the program is
    /// unlikely to return.
    Free,
}

/// A paused program.
#[derive(Clone, Copy, Debug)]
pub struct PausedProgram {
    /// Time since its last turn ended.
    pub idle: Duration,
    /// Cached tokens.
    pub tokens: id::Tokens,
}

/// Histogram of observed pauses.
#[derive(Clone, Debug)]
pub struct PauseHistogram {
    counts: [u32; BUCKETS],
    /// Programs that ended instead of returning.
    ended: u32,
    total: u32,
}

impl Default for PauseHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl PauseHistogram {
    /// Creates a histogram without samples, in which every bucket is equally likely.
    pub fn new() -> Self {
        Self {
            counts: [1; BUCKETS],
            ended: 1,
            total: BUCKETS as u32 + 1,
        }
    }

    /// Records that a program returned after `pause`.
    pub fn returned(&mut self, pause: Duration) {
        self.counts[bucket_index(pause)] += 1;
        self.count_sample();
    }

    /// Records that a program ended instead of returning.
    pub fn ended(&mut self) {
        self.ended += 1;
        self.count_sample();
    }

    /// Probability that a program which has paused for `paused` returns within `horizon`.
    pub fn return_probability(&self, paused: Duration, horizon: Duration) -> f64 {
        let total = self.returns_after(paused) + f64::from(self.ended);
        let within = self.returns_after(paused) - self.returns_after(paused + horizon);
        if total > 0.0 { within / total } else { 0.0 }
    }

    /// Number of recorded returns after more than `pause`, assuming a uniform distribution within a
    /// bucket.
    fn returns_after(&self, pause: Duration) -> f64 {
        let index = bucket_index(pause);
        let above: u32 = self.counts[index + 1..].iter().sum();
        let lower = if index == 0 {
            0.0
        } else {
            bucket_upper_bound(index - 1).as_secs_f64()
        };
        let upper = bucket_upper_bound(index).as_secs_f64();
        let left = (upper - pause.as_secs_f64()) / (upper - lower);
        f64::from(above) + f64::from(self.counts[index]) * left.clamp(0.0, 1.0)
    }

    fn count_sample(&mut self) {
        self.total += 1;
        if self.total < DECAY_THRESHOLD {
            return;
        }
        for count in &mut self.counts {
            *count = count.div_ceil(2);
        }
        self.ended = self.ended.div_ceil(2);
        self.total = self.counts.iter().sum::<u32>() + self.ended;
    }
}

/// Value of keeping a paused program's cache: the expected saving per cached token. Only the order
/// of scores is meaningful; the highest are kept.
pub fn score(pauses: &PauseHistogram, paused: &PausedProgram, options: &Options) -> f64 {
    let return_probability = pauses.return_probability(paused.idle, options.horizon);
    match options.weight {
        Weight::Cache => return_probability,
        Weight::Latency => return_probability * (paused.tokens.max(1) as f64).powf(LENGTH_EXPONENT),
    }
}

/// Decides about a paused program's cache. `cache_usage` is the fraction of the engine's cache in
/// use (0 to 1) and `threshold` the score that [`threshold`] returns.
pub fn decide(
    pauses: &PauseHistogram,
    paused: &PausedProgram,
    cache_usage: f64,
    threshold: f64,
    options: &Options,
) -> Outcome {
    let return_probability = pauses.return_probability(paused.idle, options.horizon);
    let unlikely = return_probability < options.min_return_probability;
    let under_pressure =
        cache_usage > options.pressure && score(pauses, paused, options) < threshold;
    if unlikely || under_pressure {
        Outcome::Free
    } else {
        Outcome::Keep
    }
}

/// The score below which caches are to be freed in order to free `excess` tokens.
pub fn threshold(
    pauses: &PauseHistogram,
    paused: &[PausedProgram],
    excess: id::Tokens,
    options: &Options,
) -> f64 {
    let mut scores: Vec<(f64, id::Tokens)> = paused
        .iter()
        .map(|one| (score(pauses, one, options), one.tokens))
        .collect();
    scores.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut freed = 0;
    for (score, tokens) in scores {
        if freed >= excess {
            return score;
        }
        freed += tokens;
    }
    if excess == 0 { 0.0 } else { f64::INFINITY }
}

fn bucket_index(pause: Duration) -> usize {
    let ratio = pause.as_secs_f64() / MIN_PAUSE.as_secs_f64();
    let index = ratio.max(1.0).log2().ceil() as usize;
    index.min(BUCKETS - 1)
}

fn bucket_upper_bound(index: usize) -> Duration {
    MIN_PAUSE * (1 << index)
}
