//! Leases of upstreams for calls in flight, and the queue of calls that wait for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, health, prefix, quarantine, stretch, wait_queue};
use fw_replica::{affinity, streams};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{Fleet, ListState, Service, StartTime, Upstream};
use crate::connection::link;
use crate::process::traffic;

/// Maximum number of idle connections kept to one upstream. More concurrent calls from one entry to one
/// upstream are rare.
const MAX_IDLE_LINKS: usize = 4;
/// Smoothing factor of a service's mean durations, which thus cover the last fifty calls or so.
const SMOOTHING: f64 = 0.02;
/// Lower bound in seconds of the mean to which durations are compared: shorter ones are dominated by the
/// network, not by the upstream.
const MIN_COMPARED_SECS: f64 = 1e-3;
/// How long an upstream gets no calls after another one answered at its address. About as long as an
/// upstream without heartbeats stays on the list.
const REPLACED_COOLDOWN: Duration = Duration::from_secs(4);

/// An upstream's load, as stated with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Time that work takes on its machine, as a percentage of the usual one, if it states that.
    pub percent: Option<u32>,
}

/// A lease of an upstream for one call, which counts as in flight there until this is dropped.
#[derive(Debug)]
pub struct Lease {
    pub(super) fleet: Arc<Fleet>,
    pub(super) service: Arc<Mutex<Service>>,
    /// The upstream.
    pub id: id::UpstreamId,
    /// Run of the upstream. Nothing that is observed of it applies to a later one.
    run: u64,
    /// When the upstream started, by the list from which it was chosen.
    upstream_started_at: StartTime,
    /// Short hash of the upstream's id and start time.
    pub hash: affinity::Upstream,
    /// The upstream's address.
    pub addr: SocketAddr,
    /// The version of the upstream's software.
    pub version: streams::Version,
    /// Whether the upstream is in another data centre.
    pub is_remote: bool,
    /// The run of the upstream, by which the index of cached prefixes refers to it.
    pub engine: prefix::Engine,
    /// Tokens that its cache has room for; 0 if unknown.
    pub capacity: prefix::Tokens,
    /// State of the upstream when it was chosen, for log lines.
    pub candidate: assign::Candidate,
    /// State of the list when it was chosen, for log lines.
    pub list_state: ListState,
    /// Time from the choice until the call was passed to the connection, for log lines.
    pub sent_after: Duration,
    /// Factor of its work that the upstream stated with the answer, while placement uses it.
    pub stated_factor: Option<f64>,
    started_at: Instant,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut service = self.service.lock();
        let mut freed = None;
        if let Some(upstream) = service.find_run(&self.id, self.run) {
            upstream.own_calls = upstream.own_calls.saturating_sub(1);
            freed = Some(upstream.hash);
        }
        service.wake(freed);
    }
}

impl Lease {
    /// Creates a lease and counts its call at `upstream` of `service`.
    pub(super) fn take(
        fleet: &Arc<Fleet>,
        service: &Arc<Mutex<Service>>,
        upstream: &mut Upstream,
        candidate: assign::Candidate,
    ) -> Self {
        upstream.own_calls += 1;
        Self {
            fleet: Arc::clone(fleet),
            service: Arc::clone(service),
            id: upstream.listed.id.clone(),
            run: upstream.run,
            upstream_started_at: upstream.listed.started_at,
            hash: upstream.hash,
            addr: upstream.listed.addr,
            version: upstream.listed.version.clone(),
            is_remote: upstream.listed.place != fleet.place,
            engine: upstream.engine(),
            capacity: 0,
            candidate,
            list_state: fleet.list_state(),
            sent_after: Duration::ZERO,
            stated_factor: None,
            started_at: Instant::now(),
        }
    }

    /// The upstream and its start, by the list from which it was chosen.
    pub fn incarnation(&self) -> quarantine::Incarnation {
        quarantine::Incarnation {
            upstream: self.id.clone(),
            started_at: self.upstream_started_at,
        }
    }

    /// Counts bytes to or from the upstream if it is in another data centre.
    pub fn count_bytes(&self, kind: traffic::Kind, len: usize) {
        if self.is_remote {
            traffic::count(kind, len);
        }
    }

    /// Waits until the list is confirmed to be current, or nobody confirms it in time.
    pub async fn confirm_list(&self) {
        self.fleet.confirmation.wait().await;
    }

    /// Whether the upstream still takes calls; it may have left since it was chosen.
    pub fn is_valid(&self) -> bool {
        let mut service = self.service.lock();
        let upstream = service.find_run(&self.id, self.run);
        upstream.is_some_and(|upstream| {
            upstream.listed.takes_work
                && upstream.listed.addr == self.addr
                && upstream.listed.version == self.version
        })
    }

    /// Records that the call is passed to its connection now.
    pub fn note_sent(&mut self) {
        self.sent_after = self.started_at.elapsed();
        if let Some(age) = self.fleet.list_state().age {
            metrics::histogram!("fw_gate_list_age_seconds").record(age.as_secs_f64());
        }
    }

    /// Takes an idle connection to the upstream, if there is one.
    pub fn idle_link(&self) -> Option<link::Link> {
        let mut service = self.service.lock();
        let upstream = service.find_run(&self.id, self.run)?;
        while let Some(link) = upstream.idle_links.pop() {
            if link.is_usable() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps `link` for a later call.
    pub fn keep_link(&self, mut link: link::Link) {
        link.mark_idle();
        if !link.is_usable() {
            return;
        }
        let mut service = self.service.lock();
        let Some(upstream) = service.find_run(&self.id, self.run) else {
            return;
        };
        upstream.idle_links.retain(link::Link::is_usable);
        if upstream.idle_links.len() < MAX_IDLE_LINKS {
            upstream.idle_links.push(link);
        }
    }

    /// Records the load that the upstream stated.
    pub fn record_load(&self, load: Load) {
        if let Some(upstream) = self.service.lock().find_run(&self.id, self.run) {
            // The upstream's figures are slightly out of date, but include calls that no entry reports.
            let others = (load.running + load.waiting).saturating_sub(upstream.own_calls);
            upstream.other_calls = upstream.other_calls.max(others);
            upstream.load_updated_at = Instant::now();
        }
    }

    /// Records that another upstream answered at its address.
    ///
    /// *Failure:* an upstream restarts under another id, and a late heartbeat of its predecessor puts the old
    /// id back on the list. Calls to the old id are refused at once, so it appears idle and would be chosen
    /// first for every call until its entry on the list expires.
    pub fn mark_replaced(&self) {
        let mut service = self.service.lock();
        if let Some(upstream) = service.find_run(&self.id, self.run) {
            tracing::warn!(upstream = %self.id, addr = %self.addr, "another upstream answered at the address of this one");
            upstream.replaced_until = Some(Instant::now() + REPLACED_COOLDOWN);
            upstream.idle_links.clear();
        }
    }

    /// Records the outcome of the call for the upstream's health.
    pub fn record_health(&self, seen: health::Observation) {
        let now = self.fleet.now();
        let mut service = self.service.lock();
        if service.find_run(&self.id, self.run).is_none() {
            return;
        }
        let before = service.health.decide(now, &self.id).weight() > 0.0;
        service.health.observe(now, &self.id, seen);
        if let Some(upstream) = service.find_run(&self.id, self.run) {
            upstream.failed_at = match seen {
                health::Observation::Answered => None,
                health::Observation::Failed | health::Observation::Down => Some(Instant::now()),
                health::Observation::Leaving => upstream.failed_at,
            };
        }
        let after = service.health.decide(now, &self.id).weight() > 0.0;
        if before && !after {
            tracing::warn!(upstream = %self.id, ?seen, "upstream ejected");
            metrics::counter!("fw_gate_ejections_total").increment(1);
        }
    }

    /// Time since the lease was taken.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Time since the call was passed to the connection.
    pub fn sent_for(&self) -> Duration {
        self.age().saturating_sub(self.sent_after)
    }

    /// Records the times of a stream that completed without a break.
    pub fn record_timing(&self, timing: &stretch::Timing) {
        if self.fleet.features.fair_admission() {
            let opts = &self.fleet.features.begin_options().stretch;
            let now = self.fleet.now();
            let mut service = self.service.lock();
            let stretch = &mut service.admission.stretch;
            stretch.record(opts, timing, now);
            metrics::gauge!("fw_gate_stretch").set(stretch.ratio(opts, now));
        }
    }

    /// Records that the call succeeded. `part` is the duration of the part that is comparable among the calls
    /// of a service, if it had one: an upstream is not slower because an answer is twice as long.
    ///
    /// Both durations are divided by the factor that the upstream stated, so that the means are those of an
    /// upstream of the usual speed, and the pace shows only what the factor leaves unexplained.
    pub fn complete(&self, part: Option<Duration>) {
        self.record_health(health::Observation::Answered);
        let now = self.fleet.now();
        let mut service = self.service.lock();
        let factor = self.stated_factor.unwrap_or(1.0);
        smooth(&mut service.mean_call_secs, self.age().div_f64(factor));
        let Some(part) = part.map(|part| part.div_f64(factor)) else {
            return;
        };
        smooth(&mut service.mean_part_secs, part);
        let ratio = part.as_secs_f64() / service.mean_part_secs.max(MIN_COMPARED_SECS);
        if let Some(upstream) = service.find_run(&self.id, self.run) {
            upstream.pace.record(&self.fleet.pace, ratio, now);
        }
    }
}

/// Updates an exponentially smoothed mean in seconds, which starts with the first duration.
fn smooth(mean: &mut f64, took: Duration) {
    let took = took.as_secs_f64();
    *mean = if *mean > 0.0 {
        *mean + (took - *mean) * SMOOTHING
    } else {
        took
    };
}

/// A call that waits for an upstream.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The upstream that has the call's prompt in its cache.
    preferred: Option<affinity::Upstream>,
    /// Whether it waits for that upstream although others have room; it then holds up no other call.
    pub(super) waits_for_context: bool,
    wakeup: Arc<Notify>,
}

impl Waiter {
    /// Wakes the call to try again.
    pub(super) fn wake(&self) {
        self.wakeup.notify_one();
    }

    /// Whether `upstream` has the call's prompt in its cache.
    pub(super) fn prefers(&self, upstream: affinity::Upstream) -> bool {
        self.preferred == Some(upstream)
    }
}

/// The upstreams to which a waiting call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// All.
    All,
    /// Only the one that has its prompt in the cache.
    Preferred,
    /// None yet.
    None,
}

/// A call's position in the queue of those that wait; removed when dropped.
pub(super) struct Ticket<'a> {
    service: &'a Mutex<Service>,
    rank: wait_queue::Rank,
    /// Notified when the call may be the first.
    pub(super) wakeup: Arc<Notify>,
}

impl<'a> Ticket<'a> {
    /// Adds a call to the queue; the upstream `preferred` has its prompt in the cache.
    pub(super) fn enqueue(
        service: &'a Mutex<Service>,
        preferred: Option<affinity::Upstream>,
        rank: impl FnOnce(u64) -> wait_queue::Rank,
    ) -> Self {
        let mut locked = service.lock();
        locked.arrivals += 1;
        let rank = rank(locked.arrivals);
        let wakeup = Arc::new(Notify::new());
        let waiter = Waiter {
            preferred,
            waits_for_context: false,
            wakeup: Arc::clone(&wakeup),
        };
        locked.waiting.insert(rank, waiter);
        Self {
            service,
            rank,
            wakeup,
        }
    }

    /// Sets whether the call waits for its context although other upstreams have room.
    pub(super) fn set_waits_for_context(&self, waits: bool) {
        let mut service = self.service.lock();
        let Some(waiter) = service.waiting.get_mut(&self.rank) else {
            return;
        };
        let begins = waits && !waiter.waits_for_context;
        waiter.waits_for_context = waits;
        if begins {
            service.wake(None);
        }
    }

    /// The upstreams to which the call may be sent from its position in the queue.
    pub(super) fn eligibility(&self, options: &wait_queue::Options) -> Eligibility {
        let service = self.service.lock();
        let mut waiting = service.waiting.iter();
        let first = waiting.find(|(rank, w)| **rank == self.rank || !w.waits_for_context);
        match first {
            Some((first, _)) if *first == self.rank => Eligibility::All,
            Some((first, _)) if options.may_overtake(*first, self.rank) => Eligibility::Preferred,
            _ => Eligibility::None,
        }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut service = self.service.lock();
        service.waiting.remove(&self.rank);
        service.wake(None);
    }
}
