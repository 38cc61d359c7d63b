//! Placement: selects the upstream that runs a call by its expected latency.
//!
//! *Load pattern:* some upstreams are slow or full, their reported state is one heartbeat old, and
//! most of a program's prompt is in the cache of one engine.
//!
//! *Without it:* placing by count sends a slow upstream its full share of the work and discards
//! caches; placing by cache alone piles programs on a few engines; choosing the least loaded
//! upstream by lagging reports sends every call to the same one until the next report (herd
//! behaviour).
//!
//! *Rule:* the cost of an upstream is the expected time until the turn is done there, in seconds:
//! the wait for a slot in the batch (from its reported load and what this process has sent since
//! the report was made), prefill of the tokens that its cache lacks, decoding at its step time,
//! loading of a missing model, and the network distance. The candidates are the upstreams that hold
//! the program's cache and a random sample of others ("power of two choices", which avoids herds
//! and costs O(1)). A program leaves its cache only if another upstream is better by a margin.
//!
//! *Grounds:* `docs/POLICY.md`: a margin of 300 ms instead of 20 ms halved the wasted cache,
//! because smaller gains are within the error of the expected latency; 4 or 9 choices instead of 2
//! changed nothing beyond the noise.
//!
//! *Cost:* upstreams are interned to indices; a choice reads a handful of them, however many there
//! are.

use std::time::Duration;

use fw_base::id;
use rand::Rng;

mod choice;
mod view;

pub use view::View;

/// Parameters of the cost function.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upstreams sampled in addition to those that hold the cache.
    pub choices: usize,
    /// Least saving for which a program leaves its cache, in absolute terms.
    pub margin: Duration,
    /// Least saving for which a program leaves its cache, as a fraction of the cost of staying.
    pub margin_fraction: f64,
    /// Weight of a second of prefill relative to a second of waiting. Values above 1 favour less
    /// wasted cache over program latency.
    pub cache_weight: f64,
    /// Tokens that a turn is expected to generate.
    pub expected_output: id::Tokens,
    /// Time to load a model that the upstream has not loaded.
    pub model_load_time: Duration,
    /// One-way delay to an upstream in another place, if no distance is set.
    pub remote_delay: Duration,
    /// Rate at which a cache is exported to another engine, in tokens per second; 0 if engines do
    /// not support it.
    pub export_rate: id::Tokens,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            choices: 2,
            margin: Duration::from_millis(300),
            margin_fraction: 0.1,
            cache_weight: 1.0,
            expected_output: 100,
            model_load_time: Duration::from_secs(20),
            remote_delay: Duration::from_micros(500),
            export_rate: 0,
        }
    }
}

/// Load that an upstream reports; the fields have the same meaning as in the heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Attempts waiting in the side's queue.
    pub queued: u32,
    /// Attempts running in the engine.
    pub running: u32,
    /// Largest batch of the engine; 0 if unknown.
    pub batch: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill: id::Tokens,
    /// Prefill rate in tokens per second; 0 if unknown.
    pub prefill_rate: u64,
    /// Time from arrival at the side to release into the engine, smoothed.
    pub delay: Duration,
    /// Time between tokens of one stream, smoothed; zero if unknown.
    pub step: Duration,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// A call to be placed.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The program; `None` for a plain request.
    pub program: Option<&'a id::ProgramId>,
    /// Estimated number of tokens of the whole prompt; 0 for a plain request.
    pub prompt_tokens: id::Tokens,
    /// Place of the process that chooses.
    pub place: &'a id::PlaceId,
    /// The model; `None` for a plain request.
    pub model: Option<&'a id::ModelId>,
    /// Upstreams to avoid if there is another, such as those where the call failed before.
    pub avoid: &'a [id::UpstreamId],
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It holds the program's cache.
    Cache,
    /// It has the shortest expected latency; no cache is known.
    Delay,
    /// It has the shortest expected latency; the program leaves its cache elsewhere.
    Moved,
    /// It is the only usable one.
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

/// Result of a placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The chosen upstream.
    pub upstream: id::UpstreamId,
    /// Reason for the choice.
    pub reason: Reason,
    /// Expected time until the turn is done there.
    pub expected_latency: Duration,
    /// Prompt tokens that are probably missing from its cache.
    pub uncached_tokens: id::Tokens,
    /// Upstream from which importing the program's cache first is worthwhile.
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
    let (chosen, reason) = chooser.pick(holder, other)?;
    let name = |index: u32| view.upstreams[index as usize].id.clone();
    Some(Outcome {
        upstream: name(chosen.index),
        reason,
        expected_latency: Duration::from_secs_f64(chosen.expected_latency),
        uncached_tokens: chosen.uncached_tokens,
        import_from: chosen.import_from.map(name),
    })
}
