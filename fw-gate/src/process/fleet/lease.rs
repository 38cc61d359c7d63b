//! Calls under way at upstreams, and calls that wait for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, health, hold};
use fw_replica::trail;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{Fleet, ListState, Service, Upstream};
use crate::connection::link;

/// Idle connections kept to one upstream. More calls than that at once to one upstream from one
/// entry are rare.
const MAX_IDLE_LINKS: usize = 4;
/// Weight of the newest call in a service's mean times: they reach back some fifty calls.
const SMOOTHING: f64 = 0.02;
/// Times below this are not compared, in seconds: they show the way, not the upstream.
const MIN_COMPARED_SECS: f64 = 1e-3;
/// How long an upstream whose address another one has gets no calls. About as long as an entry
/// without heartbeats stays on the list.
const REPLACED_COOLDOWN: Duration = Duration::from_secs(4);

/// An upstream's load, as it tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// A call under way at an upstream; counted there until dropped.
#[derive(Debug)]
pub struct Lease {
    fleet: Arc<Fleet>,
    service: Arc<Mutex<Service>>,
    /// The upstream.
    pub id: id::UpstreamId,
    /// Where it is called.
    pub addr: SocketAddr,
    /// What was known of it when it was chosen, for log lines.
    pub candidate: assign::Candidate,
    /// By which state of the list it was chosen.
    pub list_state: ListState,
    /// Time from the choice until the call was handed to its connection, for log lines.
    pub sent_after: Duration,
    started_at: Instant,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut service = self.service.lock();
        let mut freed = None;
        if let Some(upstream) = service.find(&self.id) {
            upstream.own_calls = upstream.own_calls.saturating_sub(1);
            freed = Some(upstream.hash);
        }
        service.wake(freed);
    }
}

impl Lease {
    /// Counts one call more at `upstream` of `service`.
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
            addr: upstream.listed.addr,
            candidate,
            list_state: fleet.list_state(),
            sent_after: Duration::ZERO,
            started_at: Instant::now(),
        }
    }

    /// Returns once the list is known to be new, or nobody can confirm it.
    pub async fn confirm_list(&self) {
        self.fleet.confirmation.wait().await;
    }

    /// Whether the upstream still takes calls. It may have left since it was chosen.
    pub fn is_valid(&self) -> bool {
        let mut service = self.service.lock();
        let upstream = service.find(&self.id);
        upstream
            .is_some_and(|upstream| upstream.listed.takes_work && upstream.listed.addr == self.addr)
    }

    /// The call is handed to its connection now.
    pub fn note_sent(&mut self) {
        self.sent_after = self.started_at.elapsed();
        if let Some(age) = self.fleet.list_state().age {
            metrics::histogram!("fw_gate_list_age_seconds").record(age.as_secs_f64());
        }
    }

    /// An idle connection to the upstream.
    pub fn idle_link(&self) -> Option<link::Link> {
        let mut service = self.service.lock();
        let upstream = service.find(&self.id)?;
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
        let Some(upstream) = service.find(&self.id) else {
            return;
        };
        upstream.idle_links.retain(link::Link::is_usable);
        if upstream.idle_links.len() < MAX_IDLE_LINKS {
            upstream.idle_links.push(link);
        }
    }

    /// The upstream told its load.
    pub fn record_load(&self, load: Load) {
        if let Some(upstream) = self.service.lock().find(&self.id) {
            // Its own word is as of some time ago, but counts what no entry tells.
            let others = (load.running + load.waiting).saturating_sub(upstream.own_calls);
            upstream.other_calls = upstream.other_calls.max(others);
            upstream.load_updated_at = Instant::now();
        }
    }

    /// Another upstream answered at its address.
    ///
    /// *Failure:* an upstream starts anew under another id, and a late heartbeat of its predecessor
    /// puts the old id back on the list. It refuses at once and looks idle, so that it would draw
    /// every call first until its entry lapses.
    pub fn mark_replaced(&self) {
        let mut service = self.service.lock();
        if let Some(upstream) = service.find(&self.id) {
            tracing::warn!(upstream = %self.id, addr = %self.addr, "another upstream has its address");
            upstream.replaced_until = Some(Instant::now() + REPLACED_COOLDOWN);
            upstream.idle_links.clear();
        }
    }

    /// What the call showed of the upstream's health.
    pub fn record_health(&self, seen: health::Seen) {
        let now = self.fleet.now();
        let mut service = self.service.lock();
        let before = service.health.decide(now, &self.id).weight() > 0.0;
        service.health.seen(now, &self.id, seen);
        if let Some(upstream) = service.find(&self.id) {
            upstream.failed_at = match seen {
                health::Seen::Answered => None,
                health::Seen::Failed | health::Seen::Down => Some(Instant::now()),
                health::Seen::Leaving => upstream.failed_at,
            };
        }
        let after = service.health.decide(now, &self.id).weight() > 0.0;
        if before && !after {
            tracing::warn!(upstream = %self.id, ?seen, "upstream ejected");
            metrics::counter!("fw_gate_ejections_total").increment(1);
        }
    }

    /// Time since the call was sent.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The call ended well. `part` is the time of what can be compared among the calls of a
    /// service, if there was any of it: an answer of twice the length is not twice as slow.
    pub fn complete(&self, part: Option<Duration>) {
        self.record_health(health::Seen::Answered);
        let now = self.fleet.now();
        let mut service = self.service.lock();
        smooth(&mut service.mean_call_secs, self.age());
        let Some(part) = part else { return };
        smooth(&mut service.mean_part_secs, part);
        let ratio = part.as_secs_f64() / service.mean_part_secs.max(MIN_COMPARED_SECS);
        if let Some(upstream) = service.find(&self.id) {
            upstream.pace.note(&self.fleet.pace, ratio, now);
        }
    }
}

/// Moves a mean in seconds towards `took`; it begins with the first time seen.
fn smooth(mean: &mut f64, took: Duration) {
    let took = took.as_secs_f64();
    *mean = if *mean > 0.0 {
        *mean + (took - *mean) * SMOOTHING
    } else {
        took
    };
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The upstream that has its prompt in the cache.
    preferred: Option<trail::Upstream>,
    wakeup: Arc<Notify>,
}

impl Waiter {
    /// Lets it look again.
    pub(super) fn wake(&self) {
        self.wakeup.notify_one();
    }

    /// Whether it waits for a place at `upstream` in the first place.
    pub(super) fn prefers(&self, upstream: trail::Upstream) -> bool {
        self.preferred == Some(upstream)
    }
}

/// Upstreams that a waiting call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eligibility {
    /// All.
    All,
    /// Only one that has its prompt in the cache.
    Preferred,
    /// None yet.
    None,
}

/// A call's place among those that wait; given up when dropped.
pub(super) struct Ticket<'a> {
    service: &'a Mutex<Service>,
    rank: hold::Rank,
    /// Notified when it may be the first.
    pub(super) wakeup: Arc<Notify>,
}

impl<'a> Ticket<'a> {
    /// `warm` has the call's prompt in its cache.
    pub(super) fn enqueue(
        service: &'a Mutex<Service>,
        preferred: Option<trail::Upstream>,
        rank: impl FnOnce(u64) -> hold::Rank,
    ) -> Self {
        let mut locked = service.lock();
        locked.arrivals += 1;
        let rank = rank(locked.arrivals);
        let wakeup = Arc::new(Notify::new());
        let waiter = Waiter {
            preferred,
            wakeup: Arc::clone(&wakeup),
        };
        locked.waiting.insert(rank, waiter);
        Self {
            service,
            rank,
            wakeup,
        }
    }

    /// Which upstreams the call may go to by its place among those that wait.
    pub(super) fn eligibility(&self, options: &hold::Options) -> Eligibility {
        let service = self.service.lock();
        match service.waiting.first_key_value() {
            Some((first, _)) if *first == self.rank => Eligibility::All,
            Some((first, _)) if options.may_pass(*first, self.rank) => Eligibility::Preferred,
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
