//! Assignment: the upstream of a service with the lowest expected delay, in milliseconds, gets the
//! call.
//!
//! *Load pattern:* several entries send to the same few upstreams without coordination, and each
//! sees the others' calls only in the load that upstreams report with their answers; some upstreams
//! are slow; a session's prompt is in the KV cache of one upstream.
//!
//! *Without it:* an entry that counts only its own calls overloads an upstream that is full of
//! others' calls; one that follows the cache alone queues behind a long batch while other engines
//! are idle.
//!
//! *Rule:* an upstream's cost is the sum of the wait for a slot, which begins only when all of its
//! slots are taken, a small cost for each call that shares its batch, the prefill time of the part
//! of the prompt that its cache lacks, the round trip to another data centre, and for some time a
//! penalty if the last call there failed. Where upstreams state their speed, all but the last two
//! take longer by the expected factor ([`crate::speed`]), and the duration of the call by that
//! factor is added. The reported load of other entries decays with the age of
//! the report. The cheapest upstream is taken; ties are broken at random, so that entries do not
//! herd.
//!
//! *Grounds:* engines batch, so a call beside others is barely slower until the slots are taken,
//! while a wait costs the time of a whole call. [`Options`] gives the reason of each figure.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::speed;

/// Weights of the cost terms.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for which a call holds its slot, before any call was measured; where upstreams state
    /// their speed, at factor 1.
    pub call_duration: Duration,
    /// Cost of each call that shares the batch: each lengthens an engine's step by under a
    /// hundredth, over a call of some hundred milliseconds.
    pub shared_batch_cost: Duration,
    /// Cost of another data centre: a round trip of 1 ms, and traffic that is paid for.
    pub remote_cost: Duration,
    /// Age at which half of a reported load is assumed to have ended: calls last some hundred
    /// milliseconds.
    pub report_half_life: Duration,
    /// Cost of an upstream whose last call failed: a call that breaks there costs its caller a
    /// whole turn, and one that may not be repeated is lost. With four of 42 upstreams resetting
    /// every connection, 4.5 of 100 programs fail without this and without dropping the session's
    /// affinity to the failed upstream, and 0.3 with both.
    pub failure_cost: Duration,
    /// Time for which a failed call counts against an upstream. A broken upstream then gets one
    /// call of each entry per such time instead of a hundred.
    pub failure_memory: Duration,
    /// Weight of the delay that the prefill of this call causes to another call in the batch.
    pub prefill_stall_weight: f64,
    /// Most calls that a prefill delays: those in the batch, without those that wait in the engine's
    /// queue.
    pub max_stalled: f64,
    /// Mean load of the engines at which contexts are read again that a prefill evicts. Zero where what
    /// is cached is not known.
    pub evicted_load: f64,
    /// Difference of costs below which upstreams count as equal: less than the estimates can
    /// resolve.
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
            max_stalled: f64::INFINITY,
            evicted_load: 0.0,
            tie_margin: Duration::from_millis(1),
        }
    }
}

/// State of one upstream, as far as this entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests that its engine runs concurrently.
    pub slots: u32,
    /// Calls of this entry in progress there.
    pub own_calls: u32,
    /// Calls of other entries, running and waiting, as last reported.
    pub reported_calls: u32,
    /// Calls that are on the way there and that no report shows yet.
    pub expected_calls: u32,
    /// Age of that report.
    pub report_age: Duration,
    /// Prefill time of the part of the prompt that its cache lacks.
    pub prefill: Duration,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Time of its calls relative to that of its peers; 1 if equal. Where upstreams state their
    /// speed, only what that leaves unexplained.
    pub slowness: f64,
    /// Expected factor of its work; `None` unless upstreams of its service state their speed.
    pub speed: Option<speed::Expected>,
    /// Time since a call failed there, unless a later one succeeded.
    pub failed_ago: Option<Duration>,
}

impl Candidate {
    /// Number of calls expected to be there now.
    pub fn load(&self, options: &Options) -> f64 {
        let halvings = self.report_age.as_secs_f64() / options.report_half_life.as_secs_f64();
        let own = self.own_calls + self.expected_calls;
        f64::from(own) + f64::from(self.reported_calls) * 0.5_f64.powf(halvings)
    }

    /// Expected delay in milliseconds.
    pub fn cost_ms(&self, options: &Options) -> f64 {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let slots = f64::from(self.slots.max(1));
        let load = self.load(options);
        let waiting = (load + 1.0 - slots).max(0.0);
        let factor = self.speed.map_or(1.0, |expected| expected.factor);
        let call = ms(options.call_duration) * factor;
        let run = self.speed.map_or(0.0, |_| call);
        let wait = waiting * call / slots;
        let slow = (self.slowness - 1.0).max(0.0) * call;
        let failed_recently = self
            .failed_ago
            .is_some_and(|ago| ago < options.failure_memory);
        let failed = if failed_recently {
            ms(options.failure_cost)
        } else {
            0.0
        };
        let remote = if self.remote {
            ms(options.remote_cost)
        } else {
            0.0
        };
        // During prefill an engine stalls the generation of all other requests in its batch.
        let stalled =
            load.min(options.max_stalled) * options.prefill_stall_weight + options.evicted_load;
        let prefill = ms(self.prefill) * (1.0 + stalled) * factor;
        let batch = load * ms(options.shared_batch_cost) * factor;
        wait + batch + prefill + slow + failed + remote + run
    }
}

/// Index of the cheapest candidate; `None` if there are no candidates.
pub fn choose(options: &Options, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let margin = options.tie_margin.as_secs_f64() * 1e3;
    let costs = candidates
        .iter()
        .map(|candidate| candidate.cost_ms(options));
    let costs = costs.map(|cost| cost + rng.random::<f64>() * margin);
    let costs: Vec<_> = costs.collect();
    (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))
}
