//! Which upstreams may be used, from a lagging list and own observations.
//!
//! *Load pattern:* an upstream crashes, hangs, flaps or leaves long before the instance list says
//! so, or the list forgets one that serves well; or this process loses its own network and sees
//! everything fail.
//!
//! *Without it:* a dead upstream gets its part of the calls until the list catches up, a flapping
//! one gets all waiting work at each return, and a fault of this process's own network ejects
//! every upstream there is.
//!
//! *Rule:* what an upstream says of itself (leaving) and what this process sees (failures, missed
//! heartbeats) go before the list, which only adds to it. Failures in a row eject an upstream for
//! a time that doubles with each ejection and is forgotten slowly, so that a flapping one is
//! dampened. How many in a row depends on how often calls fail everywhere: while half of all calls
//! fail, three in a row say nothing about an upstream, and ejecting it would only take capacity
//! from a service in trouble. At most [`Options::max_ejected_share`] of the upstreams are ejected: beyond that the cause
//! is more likely here or common to all, and using them is better than using none. One that crashed,
//! refuses connections or says that its engine is down is the exception: that is no opinion of this
//! process, and it is left out beyond that part as well, until it answers or an ejection's time is
//! over. Two of three engines that crash within a second would otherwise go on to get two calls of
//! three, and three attempts may all meet them while the third engine has nothing to do. Being slow is
//! no failure: placement sees it as a longer delay. An upstream that returns starts at a small
//! weight that grows, so that a herd does not knock it over again.
//!
//! *Grounds:* with a fixed three failures in a row, a service half of whose attempts failed refused
//! twice as many new programs (`docs/POLICY.md`). A third at most keeps
//! the rest below overload at the loads that a service is planned for. The times are customary for
//! outlier ejection; those of a slow start are a few times the lag of load reports.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::id;

use crate::ewma;

/// When upstreams are ejected and how they return.
#[derive(Clone, Debug)]
pub struct Options {
    /// Failures or missed heartbeats in a row that eject, at least.
    pub min_failures: u32,
    /// How unlikely the failures in a row must be at the failure rate of all upstreams.
    pub max_chance: f64,
    /// Length of the first ejection.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Time without an ejection after which one ejection is forgotten.
    pub ejection_memory: Duration,
    /// Greatest part of the upstreams that is ejected together.
    pub max_ejected_share: f64,
    /// How long the weight grows after a return.
    pub slow_start: Duration,
    /// Weight at the moment of return.
    pub min_weight: f64,
    /// How long an upstream that the list lacks and that is not heard is still used.
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

/// What this process saw of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered a heartbeat or a call, however slowly.
    Answered,
    /// A call or connection failed, or a heartbeat was missed.
    Failed,
    /// It crashed or says that its engine is down.
    Down,
    /// It says that it leaves.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The upstream.
    pub upstream: id::UpstreamId,
    /// The list says that it leaves.
    pub leaving: bool,
}

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It may.
    Usable {
        /// 1 for fully; less while it starts slowly.
        weight: f64,
    },
    /// It may not.
    Unusable {
        /// Why.
        reason: Reason,
    },
}

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It is not known, or no longer.
    Unknown,
    /// It leaves.
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
    /// Until when it is left out, unless it answers, because it is down and too many are ejected.
    down_until: Option<Duration>,
    ejected_at: Duration,
    /// Since when it is usable again, if it was ejected before.
    returned_at: Option<Duration>,
    answered_at: Duration,
}

/// Health of the upstreams of one service, as one process sees it.
#[derive(Debug)]
pub struct Health {
    options: Options,
    upstreams: HashMap<id::UpstreamId, Upstream>,
    /// Part of what was seen of all upstreams that were failures, smoothed.
    failure_rate: f64,
}

/// Weight of the newest observation in the failure rate of all upstreams.
const SMOOTHING: f64 = 0.01;
/// Failure rate beyond which no more failures in a row are asked for.
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

    /// A new copy of the instance list arrived.
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
        let unlisted = self.options.unlisted_grace;
        self.upstreams
            .retain(|_, upstream| upstream.listed || now < upstream.answered_at + unlisted);
    }

    /// This process saw something of `upstream`.
    pub fn observe(&mut self, now: Duration, upstream: &id::UpstreamId, seen: Observation) {
        let needed = self.failure_threshold();
        let known = self.upstreams.entry(upstream.clone());
        let known = known.or_insert_with(|| Upstream::new(now));
        match seen {
            Observation::Answered => known.answer(now),
            Observation::Leaving => known.leaving = true,
            Observation::Failed => known.failures += 1,
            Observation::Down => known.failures = known.failures.max(needed),
        }
        let fails = known.failures >= needed;
        if fails
            && !known.is_ejected(now)
            && !self.eject(now, upstream)
            && seen == Observation::Down
        {
            self.exclude(now, upstream);
        }
        match seen {
            Observation::Answered => self.failure_rate = ewma(self.failure_rate, 0.0, SMOOTHING),
            Observation::Failed => self.failure_rate = ewma(self.failure_rate, 1.0, SMOOTHING),
            Observation::Down | Observation::Leaving => {}
        }
    }

    /// Failures in a row that eject, given how often calls to all upstreams fail.
    fn failure_threshold(&self) -> u32 {
        let failing = self.failure_rate.clamp(f64::MIN_POSITIVE, MAX_FAILURE_RATE);
        let unlikely = self.options.max_chance.ln() / failing.ln();
        self.options.min_failures.max(unlikely.ceil() as u32)
    }

    /// An upstream of this name started anew: it neither leaves nor fails any more.
    pub fn restarted(&mut self, now: Duration, upstream: &id::UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.leaving = false;
            known.answer(now);
            known.returned_at = Some(now.max(known.ejected_until.unwrap_or_default()));
        }
    }

    /// Whether `upstream` may get new work.
    pub fn decide(&self, now: Duration, upstream: &id::UpstreamId) -> Outcome {
        let unusable = |reason| Outcome::Unusable { reason };
        let Some(known) = self.upstreams.get(upstream) else {
            return unusable(Reason::Unknown);
        };
        if known.leaving {
            return unusable(Reason::Leaving);
        }
        if known.is_ejected(now) {
            return unusable(Reason::Ejected);
        }
        if known.down_until.is_some_and(|until| now < until) {
            return unusable(Reason::Down);
        }
        if !known.listed && now >= known.answered_at + self.options.unlisted_grace {
            return unusable(Reason::Unknown);
        }
        Outcome::Usable {
            weight: self.weight(now, known),
        }
    }

    /// Upstreams known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    fn weight(&self, now: Duration, known: &Upstream) -> f64 {
        let Some(returned) = known.returned_at else {
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
            .filter(|known| known.is_ejected(now));
        let after = ejected.count() + 1;
        let most = self.upstreams.len() as f64 * self.options.max_ejected_share;
        if after as f64 > most {
            return false;
        }
        let options = &self.options;
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.eject(now, options);
        }
        true
    }

    fn exclude(&mut self, now: Duration, upstream: &id::UpstreamId) {
        let until = now + self.options.first_ejection;
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.down_until = Some(until);
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
        let quiet = now.saturating_sub(self.ejected_at).as_secs_f64();
        let forgiven = (quiet / options.ejection_memory.as_secs_f64()) as u32;
        self.ejections = self.ejections.saturating_sub(forgiven);
        let length = options.first_ejection * (1 << self.ejections.min(16));
        let until = now + length.min(options.max_ejection);
        self.ejections += 1;
        self.ejected_at = now;
        self.ejected_until = Some(until);
        self.returned_at = Some(until);
        self.failures = 0;
    }
}
