//! Which programs' engine cache to keep over a tool pause.
//!
//! *Load pattern:* programs pause for tools between their turns, most for seconds, some for
//! minutes, some for ever; the cache holds far fewer histories than there are programs.
//!
//! *Without it:* the engine evicts the least recently used prefix, so programs that are gone
//! crowd out those that return in a moment, and a long history is computed again each time.
//!
//! *Rule:* pauses are learnt as a small histogram of powers of two. The chance that a program
//! that has paused for so long returns within the horizon, times the prefill time it would cost
//! anew, divided by the memory it holds, ranks the programs; under pressure the lowest go first.
//! [`Weight`] sets what prefill is counted in: the caller's wait or the engine's work.
//!
//! *Grounds:* `docs/POLICY.md`: a horizon of 2 s is about how long a cache under pressure keeps an
//! unused prefix, and wastes less than 30 s, in which nearly every program returns. Freeing early
//! leaves memory unused: from 98 % on wasted less than from 90 % on.

use std::time::Duration;

use fw_base::id;

/// Buckets: pauses up to 2^i times [`FLOOR`].
const BUCKETS: usize = 20;
/// Upper end of the first bucket.
const FLOOR: Duration = Duration::from_millis(50);
/// Observations after which all counts are halved, so that old pauses fade.
const FADE: u32 = 4_096;

/// How much more a long history counts than its part of the memory under [`Weight::Latency`].
const LENGTH_POWER: f64 = 0.25;

/// What the operator's records weigh more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weight {
    /// Program latency: a long history, whose prefill a person would wait for, is worth more
    /// than its part of the memory.
    #[default]
    Latency,
    /// Wasted cache: each cached token is worth the same.
    Cache,
}

/// How caches are kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// What weighs more.
    pub weight: Weight,
    /// Part of the cache in use from which caches are freed.
    pub pressure: f64,
    /// How far ahead a return counts.
    pub horizon: Duration,
    /// Chance of return below which a cache is freed even without pressure.
    pub least_chance: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            weight: Weight::default(),
            pressure: 0.98,
            horizon: Duration::from_secs(2),
            least_chance: 0.02,
        }
    }
}

/// What to do with a paused program's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Keep it; ask again later.
    Keep,
    /// Free it: there is pressure, and this one ranks below the line.
    Free,
}

/// A paused program.
#[derive(Clone, Copy, Debug)]
pub struct Paused {
    /// Time since its last turn ended.
    pub paused: Duration,
    /// Tokens held.
    pub tokens: id::Tokens,
}

/// Pauses learnt so far.
#[derive(Clone, Debug)]
pub struct Pauses {
    counts: [u32; BUCKETS],
    /// Programs that did not return.
    gone: u32,
    total: u32,
}

impl Default for Pauses {
    fn default() -> Self {
        Self::new()
    }
}

impl Pauses {
    /// Before anything was seen: every bucket is as likely as the others.
    pub fn new() -> Self {
        Self {
            counts: [1; BUCKETS],
            gone: 1,
            total: BUCKETS as u32 + 1,
        }
    }

    /// A program returned after `pause`.
    pub fn returned(&mut self, pause: Duration) {
        self.counts[bucket(pause)] += 1;
        self.add();
    }

    /// A program ended instead of returning.
    pub fn ended(&mut self) {
        self.gone += 1;
        self.add();
    }

    /// The chance that a program which has paused for `paused` returns within `horizon`.
    pub fn chance(&self, paused: Duration, horizon: Duration) -> f64 {
        let longer = self.longer(paused) + f64::from(self.gone);
        let within = self.longer(paused) - self.longer(paused + horizon);
        if longer > 0.0 { within / longer } else { 0.0 }
    }

    /// How many of the returns seen came after `pause`, spread evenly within a bucket.
    fn longer(&self, pause: Duration) -> f64 {
        let index = bucket(pause);
        let above: u32 = self.counts[index + 1..].iter().sum();
        let lower = if index == 0 {
            0.0
        } else {
            upper_end(index - 1).as_secs_f64()
        };
        let upper = upper_end(index).as_secs_f64();
        let left = (upper - pause.as_secs_f64()) / (upper - lower);
        f64::from(above) + f64::from(self.counts[index]) * left.clamp(0.0, 1.0)
    }

    fn add(&mut self) {
        self.total += 1;
        if self.total < FADE {
            return;
        }
        for count in &mut self.counts {
            *count = count.div_ceil(2);
        }
        self.gone = self.gone.div_ceil(2);
        self.total = self.counts.iter().sum::<u32>() + self.gone;
    }
}

/// What keeping a paused program's cache is worth: the expected saving for each token held.
/// Only the order of scores means anything; the highest are kept.
pub fn score(pauses: &Pauses, paused: &Paused, options: &Options) -> f64 {
    let chance = pauses.chance(paused.paused, options.horizon);
    match options.weight {
        Weight::Cache => chance,
        Weight::Latency => chance * (paused.tokens.max(1) as f64).powf(LENGTH_POWER),
    }
}

/// What to do with a paused program's cache while `used` of the engine's cache (0 to 1) is in
/// use and the score that keeps the cache below the pressure line is `line`, as [`line`] gives it.
pub fn decide(
    pauses: &Pauses,
    paused: &Paused,
    used: f64,
    line: f64,
    options: &Options,
) -> Outcome {
    let chance = pauses.chance(paused.paused, options.horizon);
    let hopeless = chance < options.least_chance;
    let pressed = used > options.pressure && score(pauses, paused, options) < line;
    if hopeless || pressed {
        Outcome::Free
    } else {
        Outcome::Keep
    }
}

/// The score below which caches are to be freed so that `excess` tokens come free.
pub fn line(pauses: &Pauses, paused: &[Paused], excess: id::Tokens, options: &Options) -> f64 {
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

fn bucket(pause: Duration) -> usize {
    let ratio = pause.as_secs_f64() / FLOOR.as_secs_f64();
    let index = ratio.max(1.0).log2().ceil() as usize;
    index.min(BUCKETS - 1)
}

fn upper_end(index: usize) -> Duration {
    FLOOR * (1 << index)
}
