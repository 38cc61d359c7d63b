//! Health of upstreams: which ones may be used, from a lagging instance list and from own
//! observations.
//!
//! *Load pattern:* an upstream crashes, hangs, flaps or leaves long before the instance list shows
//! it, or the list omits one that serves well; or this process loses its own network and sees every
//! call fail.
//!
//! *Without it:* a dead upstream gets its share of the calls until the list catches up, a flapping
//! one gets all waiting work at each return, and a fault of this process's own network ejects every
//! upstream.
//!
//! *Rule:* an upstream's own statement that it leaves, and the failures and missed heartbeats that
//! this process observes, take precedence over the list, which only adds to them. Consecutive
//! failures eject an upstream for a time that doubles with each ejection and decays slowly, so that
//! a flapping one is dampened. The number of consecutive failures depends on the failure rate of
//! all calls: while half of all calls fail, three in a row say nothing about an upstream, and
//! ejecting it would only take capacity from a service in trouble. At most
//! [`Options::max_ejected_share`] of the upstreams are ejected: beyond that the cause is more
//! likely here or common to all, and using them is better than using none. An upstream that
//! crashed, refuses connections or reports its engine as down is the exception: that does not
//! depend on this process's view, so it is excluded beyond that share as well, until it answers or
//! the time of an ejection has passed. Otherwise two of three engines that crash within a second
//! keep getting two calls of three, and three attempts may all hit them while the third engine is
//! idle. Slowness is not a failure: placement sees it as a longer delay. An upstream that returns
//! starts at a small weight that grows, so that the load of all callers at once does not overload
//! it again.
//!
//! *Grounds:* with a fixed three failures in a row, a service half of whose attempts failed refused
//! twice as many new programs (`docs/POLICY.md`). Ejecting at most a third keeps the rest below
//! overload at the loads that a service is planned for. The times are customary for outlier
//! ejection; those of a slow start are a few times the lag of load reports.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::id;

use crate::ewma;

/// Limits of ejection and return.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fewest consecutive failures or missed heartbeats that eject an upstream.
    pub min_failures: u32,
    /// Greatest probability, at the failure rate of all upstreams, that the consecutive failures
    /// are chance.
    pub max_chance: f64,
    /// Length of the first ejection.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Time without an ejection after which one earlier ejection no longer counts.
    pub ejection_memory: Duration,
    /// Greatest share of the upstreams that is ejected at once.
    pub max_ejected_share: f64,
    /// Time over which the weight grows after a return.
    pub slow_start: Duration,
    /// Weight at the time of return.
    pub min_weight: f64,
    /// Time since its last answer for which an upstream that is missing from the list is still
    /// used.
    pub unlisted_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_failures: 3,
            max_chance: 0.001,
            first_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            ejection_memory: Duration::from_secs(60),
            max_ejected_share: 0.34,
            slow_start: Duration::from_secs(10),
            min_weight: 0.1,
            unlisted_grace: Duration::from_secs(10),
        }
    }
}

/// Observation of an upstream's health by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered a heartbeat or a call, however slowly.
    Answered,
    /// A call or connection failed, or a heartbeat was missed.
    Failed,
    /// It crashed, or reports that its engine is down.
    Down,
    /// It reports that it is leaving.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The upstream.
    pub upstream: id::UpstreamId,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It may get new work.
    Usable {
        /// 1 for the full weight; less during a slow start.
        weight: f64,
    },
    /// It may not.
    Unusable {
        /// Reason why it may not.
        reason: Reason,
    },
}

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It is not listed, or no longer.
    Unknown,
    /// It is leaving.
    Leaving,
    /// It failed several times in a row.
    Ejected,
    /// It is down.
    Down,
}

impl Reason {
    /// Value of the `reason` label on counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Leaving => "leaving",
            Self::Ejected => "ejected",
            Self::Down => "down",
        }
    }
}

impl Outcome {
    /// The weight for placement; 0 if unusable.
    pub fn weight(self) -> f64 {
        match self {
            Self::Usable { weight } => weight,
            Self::Unusable { .. } => 0.0,
        }
    }
}

#[derive(Debug, Default)]
struct Upstream {
    listed: bool,
    leaving: bool,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    /// End of the exclusion of an upstream that is down when too many are ejected; an answer ends
    /// it earlier.
    down_until: Option<Duration>,
    ejected_at: Duration,
    /// Time from which it is usable again after an ejection or a restart.
    returned_at: Option<Duration>,
    answered_at: Duration,
}

/// Health of the upstreams of one service, as this process observes it.
#[derive(Debug)]
pub struct Health {
    options: Options,
    upstreams: HashMap<id::UpstreamId, Upstream>,
    /// Moving average of the share of failures among the observations of all upstreams.
    failure_rate: f64,
}

/// Weight of the newest observation in the failure rate of all upstreams.
const SMOOTHING: f64 = 0.01;
/// Failure rate beyond which the number of consecutive failures that eject no longer grows.
const MAX_FAILURE_RATE: f64 = 0.7;

impl Health {
    /// Without upstreams.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            upstreams: HashMap::new(),
            failure_rate: 0.0,
        }
    }

    /// Takes over a new copy of the instance list.
    pub fn update_list(&mut self, now: Duration, list: &[ListedUpstream]) {
        for upstream in self.upstreams.values_mut() {
            upstream.listed = false;
        }
        for line in list {
            let upstream = self.upstreams.entry(line.upstream.clone());
            let upstream = upstream.or_insert_with(|| Upstream::new(now));
            upstream.listed = true;
            upstream.leaving |= line.leaving;
        }
        let grace = self.options.unlisted_grace;
        self.upstreams
            .retain(|_, upstream| upstream.listed || now < upstream.answered_at + grace);
    }

    /// Records an observation of `upstream`.
    pub fn observe(&mut self, now: Duration, upstream: &id::UpstreamId, observation: Observation) {
        let threshold = self.failure_threshold();
        let state = self.upstreams.entry(upstream.clone());
        let state = state.or_insert_with(|| Upstream::new(now));
        match observation {
            Observation::Answered => state.answer(now),
            Observation::Leaving => state.leaving = true,
            Observation::Failed => state.failures += 1,
            Observation::Down => state.failures = state.failures.max(threshold),
        }
        let fails = state.failures >= threshold;
        if fails
            && !state.is_ejected(now)
            && !self.eject(now, upstream)
            && observation == Observation::Down
        {
            self.exclude(now, upstream);
        }
        match observation {
            Observation::Answered => self.failure_rate = ewma(self.failure_rate, 0.0, SMOOTHING),
            Observation::Failed => self.failure_rate = ewma(self.failure_rate, 1.0, SMOOTHING),
            Observation::Down | Observation::Leaving => {}
        }
    }

    /// Consecutive failures that eject, at the current failure rate of all upstreams.
    fn failure_threshold(&self) -> u32 {
        let rate = self.failure_rate.clamp(f64::MIN_POSITIVE, MAX_FAILURE_RATE);
        let improbable = self.options.max_chance.ln() / rate.ln();
        self.options.min_failures.max(improbable.ceil() as u32)
    }

    /// An upstream of this name was restarted: it is neither leaving nor failing any more.
    pub fn restarted(&mut self, now: Duration, upstream: &id::UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.leaving = false;
            state.answer(now);
            state.returned_at = Some(now.max(state.ejected_until.unwrap_or_default()));
        }
    }

    /// Another process took over the name of `upstream`: nothing observed of the earlier one applies, its
    /// ejections included.
    pub fn replaced(&mut self, now: Duration, upstream: &id::UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            *state = Upstream {
                listed: state.listed,
                ..Upstream::new(now)
            };
        }
    }

    /// Whether `upstream` may get new work.
    pub fn decide(&self, now: Duration, upstream: &id::UpstreamId) -> Outcome {
        let unusable = |reason| Outcome::Unusable { reason };
        let Some(state) = self.upstreams.get(upstream) else {
            return unusable(Reason::Unknown);
        };
        if state.leaving {
            return unusable(Reason::Leaving);
        }
        if state.is_ejected(now) {
            return unusable(Reason::Ejected);
        }
        if state.down_until.is_some_and(|until| now < until) {
            return unusable(Reason::Down);
        }
        if !state.listed && now >= state.answered_at + self.options.unlisted_grace {
            return unusable(Reason::Unknown);
        }
        Outcome::Usable {
            weight: self.weight(now, state),
        }
    }

    /// Number of tracked upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is tracked.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    fn weight(&self, now: Duration, state: &Upstream) -> f64 {
        let Some(returned) = state.returned_at else {
            return 1.0;
        };
        let since = now.saturating_sub(returned).as_secs_f64();
        let part = since / self.options.slow_start.as_secs_f64();
        part.clamp(self.options.min_weight, 1.0)
    }

    /// Ejects `upstream`; false if too many are ejected already.
    fn eject(&mut self, now: Duration, upstream: &id::UpstreamId) -> bool {
        let ejected = self
            .upstreams
            .values()
            .filter(|state| state.is_ejected(now));
        let after = ejected.count() + 1;
        let limit = self.upstreams.len() as f64 * self.options.max_ejected_share;
        if after as f64 > limit {
            return false;
        }
        let options = &self.options;
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.eject(now, options);
        }
        true
    }

    fn exclude(&mut self, now: Duration, upstream: &id::UpstreamId) {
        let until = now + self.options.first_ejection;
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.down_until = Some(until);
        }
    }
}

impl Upstream {
    fn new(now: Duration) -> Self {
        Self {
            answered_at: now,
            ..Self::default()
        }
    }

    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn answer(&mut self, now: Duration) {
        self.failures = 0;
        self.answered_at = now;
        self.down_until = None;
    }

    fn eject(&mut self, now: Duration, options: &Options) {
        let since = now.saturating_sub(self.ejected_at).as_secs_f64();
        let forgotten = (since / options.ejection_memory.as_secs_f64()) as u32;
        self.ejections = self.ejections.saturating_sub(forgotten);
        let length = options.first_ejection * (1 << self.ejections.min(16));
        let until = now + length.min(options.max_ejection);
        self.ejections += 1;
        self.ejected_at = now;
        self.ejected_until = Some(until);
        self.returned_at = Some(until);
        self.failures = 0;
    }
}
