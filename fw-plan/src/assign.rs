//! Assignment: which upstream of a service gets a call, by expected delay in milliseconds.
//!
//! *Load pattern:* several entries send to the same few upstreams without asking each other, each
//! seeing the others' calls only in the load that upstreams report with their answers; some
//! upstreams are slow; a session's prompt lies in the cache of one.
//!
//! *Without it:* counting only its own calls, an entry fills an upstream that is full of others'
//! calls; sending by cache alone, it queues behind a long batch while other engines are idle.
//!
//! *Rule:* an upstream's cost is the wait for a slot, which begins only when all of its slots are
//! taken, a small cost for each call that shares its batch, the time to read what its cache lacks,
//! the way to another data centre, and for some time that the last call there failed. The reported
//! load of others fades, as it is older with each moment. The cheapest is taken; among equals chance
//! decides, so that entries do not herd.
//!
//! *Grounds:* engines batch, so a call beside others is barely slower until the slots are taken,
//! while a wait costs a whole call's time. [`Options`] names where each figure comes from.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Weights of the costs.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a call holds its slot, where nothing was measured yet.
    pub call_duration: Duration,
    /// Cost of each call that shares the batch: an engine's step takes under a hundredth longer
    /// for each, over a call of some hundred milliseconds.
    pub shared_batch_cost: Duration,
    /// Cost of another data centre: a round trip of 1 ms, and bytes that are paid for.
    pub remote_cost: Duration,
    /// After which time half of a reported load is taken to be gone: calls last some hundred
    /// milliseconds.
    pub report_half_life: Duration,
    /// Cost of an upstream whose last call failed: a call that breaks there costs its caller a whole
    /// turn, and one that may not be repeated is lost. With four of 42 upstreams that reset every
    /// connection, 4.5 of 100 programs failed before this and the forgotten session, 0.3 after.
    pub failure_cost: Duration,
    /// How long a failed call speaks against an upstream. A broken one then gets a call of each
    /// entry in so much time, in place of a hundred of them.
    pub failure_memory: Duration,
    /// How much the delay of another call by the reading of this one's prompt counts.
    pub prefill_stall_weight: f64,
    /// Span over which costs count as equal; below what the estimates can tell apart.
    pub tie_margin: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_duration: Duration::from_millis(200),
            shared_batch_cost: Duration::from_micros(1_500),
            remote_cost: Duration::from_millis(4),
            report_half_life: Duration::from_millis(400),
            failure_cost: Duration::from_millis(300),
            failure_memory: Duration::from_secs(2),
            prefill_stall_weight: 0.5,
            tie_margin: Duration::from_millis(1),
        }
    }
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests that it runs together.
    pub slots: u32,
    /// Own calls under way there.
    pub own_calls: u32,
    /// Calls of others, as last reported, running and waiting.
    pub reported_calls: u32,
    /// Age of that report.
    pub report_age: Duration,
    /// Time to read what its cache lacks of the prompt.
    pub prefill: Duration,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// How much longer it takes than its peers; 1 for the usual.
    pub slowness: f64,
    /// How long ago a call failed there, if none has ended well since.
    pub failed_ago: Option<Duration>,
}

impl Candidate {
    /// Calls expected to be there now.
    pub fn load(&self, options: &Options) -> f64 {
        let halvings = self.report_age.as_secs_f64() / options.report_half_life.as_secs_f64();
        f64::from(self.own_calls) + f64::from(self.reported_calls) * 0.5_f64.powf(halvings)
    }

    /// Expected delay in milliseconds.
    pub fn cost_ms(&self, options: &Options) -> f64 {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let slots = f64::from(self.slots.max(1));
        let load = self.load(options);
        let waiting = (load + 1.0 - slots).max(0.0);
        let call = ms(options.call_duration);
        let wait = waiting * call / slots;
        let slow = (self.slowness - 1.0).max(0.0) * call;
        let suspect = self
            .failed_ago
            .is_some_and(|ago| ago < options.failure_memory);
        let failed = if suspect {
            ms(options.failure_cost)
        } else {
            0.0
        };
        let remote = if self.remote {
            ms(options.remote_cost)
        } else {
            0.0
        };
        // While it reads this prompt, an engine holds up all that it generates.
        let read = ms(self.prefill) * (1.0 + load * options.prefill_stall_weight);
        wait + load * ms(options.shared_batch_cost) + read + slow + failed + remote
    }
}

/// Index of the cheapest candidate; `None` if there is none.
pub fn choose(options: &Options, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let noise = options.tie_margin.as_secs_f64() * 1e3;
    let costs = candidates
        .iter()
        .map(|candidate| candidate.cost_ms(options));
    let costs = costs.map(|cost| cost + rng.random::<f64>() * noise);
    let costs: Vec<_> = costs.collect();
    (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))
}
