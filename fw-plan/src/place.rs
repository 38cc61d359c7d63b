//! Placement: which upstream runs a call, by expected delay.
//!
//! *Load pattern:* some upstreams are slow or full, what is known of them is a heartbeat old, and
//! most of a program's prompt lies in the cache of one engine.
//!
//! *Without it:* placing by count sends a slow upstream its full part and throws caches away;
//! placing by cache alone piles programs on a few engines; taking the least loaded one of all on
//! lagged reports sends everything to the same upstream until the next report (a herd).
//!
//! *Rule:* the cost of an upstream is the expected time until the turn is done there, in seconds:
//! wait for a place in the batch (its reported load, and what this process has sent since the
//! report was made), prefill of what its cache uncached_tokens, decoding at its step time, loading of a
//! missing model, and the distance to it. Compared are the upstreams that hold the program's
//! cache and a sample of others ("two choices", which avoids herds and costs O(1)). A program
//! leaves its cache only where that is better by a margin.
//!
//! *Grounds:* `docs/POLICY.md`: a margin of 300 ms in place of 20 ms halved the wasted cache, because
//! smaller gains are within the error of the expected delay; 4 or 9 choices in place of 2 changed
//! nothing beyond the noise.
//!
//! *Cost:* upstreams are interned to indices; a choice reads a handful of them whatever their
//! number.

use std::time::Duration;

use fw_base::id;
use rand::Rng;

mod choice;
mod view;

pub use view::View;

/// How costs are weighed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upstreams sampled besides those that hold the cache.
    pub choices: usize,
    /// A program leaves its cache only if that saves this long,
    pub margin: Duration,
    /// and at least this part of the cost of staying.
    pub margin_part: f64,
    /// How much a second of prefill weighs against a second of waiting. Above 1 favours a small
    /// waste of cache over program latency.
    pub cache_weight: f64,
    /// Tokens that a turn is expected to generate.
    pub output: id::Tokens,
    /// Time to load a model that is missing.
    pub model_load: Duration,
    /// One-way delay to an upstream in another place, where no distance is set.
    pub remote: Duration,
    /// Tokens a second at which a cache is exported to another engine; 0 if engines cannot.
    pub export_rate: id::Tokens,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            choices: 2,
            margin: Duration::from_millis(300),
            margin_part: 0.1,
            cache_weight: 1.0,
            output: 100,
            model_load: Duration::from_secs(20),
            remote: Duration::from_micros(500),
            export_rate: 0,
        }
    }
}

/// How busy an upstream says it is; the fields have the meaning of the heartbeat's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Attempts waiting in the side's queue.
    pub queued: u32,
    /// Attempts in the engine.
    pub running: u32,
    /// Most attempts that the engine runs together; 0 if not known.
    pub batch: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill: id::Tokens,
    /// Prefill speed in tokens a second; 0 if not known.
    pub prefill_rate: u64,
    /// Time from arrival at the side to release into the engine, smoothed.
    pub delay: Duration,
    /// Time between tokens of one stream, smoothed; zero if not known.
    pub step: Duration,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// A call to be placed.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The program; `None` for a plain request.
    pub program: Option<&'a id::ProgramId>,
    /// Estimate of the whole prompt's tokens; 0 for a plain request.
    pub prompt_tokens: id::Tokens,
    /// Place of the process that chooses.
    pub place: &'a id::PlaceId,
    /// The model; `None` for a plain request.
    pub model: Option<&'a id::ModelId>,
    /// Upstreams not to choose if there is another, such as those where the call failed before.
    pub avoid: &'a [id::UpstreamId],
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It holds the program's cache.
    Cache,
    /// The shortest expected delay; no cache is known.
    Delay,
    /// The shortest expected delay; the program leaves its cache elsewhere.
    Moved,
    /// It is the only one usable.
    Only,
}

impl Reason {
    /// Value of the `reason` label on counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cache => "cache",
            Self::Delay => "delay",
            Self::Moved => "moved",
            Self::Only => "only",
        }
    }
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The upstream chosen.
    pub upstream: id::UpstreamId,
    /// Why.
    pub reason: Reason,
    /// Expected time until the turn is done there.
    pub expected_latency: Duration,
    /// Prompt tokens that its cache is believed to lack.
    pub uncached_tokens: id::Tokens,
    /// Where the program's cache is worth exporting from first.
    pub import_from: Option<id::UpstreamId>,
}

/// Chooses an upstream for a call; `None` if none is usable.
pub fn choose(
    view: &View,
    req: &Request<'_>,
    options: &Options,
    rng: &mut impl Rng,
) -> Option<Outcome> {
    let chooser = choice::Chooser::new(view, req, options);
    let holder = chooser.best_holder();
    let other = chooser.best_sampled(rng);
    let (chosen, reason) = chooser.settle(holder, other)?;
    let name = |index: u32| view.upstreams[index as usize].id.clone();
    Some(Outcome {
        upstream: name(chosen.index),
        reason,
        expected_latency: Duration::from_secs_f64(chosen.expected_latency),
        uncached_tokens: chosen.uncached_tokens,
        import_from: chosen.import_from.map(name),
    })
}
