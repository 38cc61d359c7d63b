//! The list of upstreams, and how reads of the platform's store update it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fw_base::{clock, id};
use fw_plan::{lapse, pace, speed};
use fw_replica::streams;
use parking_lot::Mutex;

use super::{Fleet, ListedUpstream, Service, StartTime, Upstream, prefix, short_hash};

/// A read of the platform's store, made by this entry or another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Revision of the store that was read.
    pub as_of: u64,
    /// How long ago the read was made.
    pub ago: Duration,
}

/// How long the list must not have stated a run of an upstream for an earlier start time to count as a later run,
/// of a machine whose clock was set back. Longer than a late heartbeat is under way, and about as long as an
/// upstream without heartbeats stays on the list.
pub(super) const RUN_MEMORY: Duration = Duration::from_secs(4);

impl StoreRead {
    /// A read that this entry has just completed.
    pub fn own(as_of: u64) -> Self {
        let ago = Duration::ZERO;
        Self { as_of, ago }
    }
}

/// The content of a read of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All listed upstreams.
    Full(Vec<ListedUpstream>),
    /// The changes, oldest first.
    Changes(Vec<Change>),
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was added or changed.
    Put(ListedUpstream),
    /// An upstream is no longer listed.
    Removed(id::UpstreamId),
}

impl Change {
    /// The upstream that was added or changed, if any.
    pub fn into_listed(self) -> Option<ListedUpstream> {
        match self {
            Self::Put(listed) => Some(listed),
            Self::Removed(_) => None,
        }
    }
}

/// The state of the list from which an upstream was chosen, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListState {
    /// Revision of the store that the list is from.
    pub as_of: u64,
    /// Time since the read of the store that last confirmed it; `None` if there was none.
    pub age: Option<Duration>,
}

/// An upstream that is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missing {
    /// When the last read that listed it was made, since boot; `None` if no such read is recorded.
    last_listed: Option<Duration>,
    /// Whether its entry in the store may have expired during an outage, so that it may be listed again.
    may_return: bool,
}

/// The history of the reads from which the list was built. Times are since boot.
#[derive(Debug)]
pub(super) struct ReadHistory {
    gapless: lapse::Reads,
    /// Revision of the last read.
    as_of: u64,
    /// When the last read was made.
    last: Option<Duration>,
}

impl ReadHistory {
    /// Creates a history without reads.
    pub(super) fn new(opts: lapse::Options) -> Self {
        Self {
            gapless: lapse::Reads::new(opts),
            as_of: 0,
            last: None,
        }
    }
}

impl Fleet {
    /// Whether a full list has been received.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Relaxed)
    }

    /// The current state of the list.
    pub fn list_state(&self) -> ListState {
        let reads = self.reads.lock();
        ListState {
            as_of: reads.as_of,
            age: reads.last.map(|at| clock::since_boot().saturating_sub(at)),
        }
    }

    /// Records that other entries made reads without a gap, the first one `first` ago and the last one `last`
    /// ago.
    pub fn note_reads(&self, first: Duration, last: Duration) {
        let now = clock::since_boot();
        let span = lapse::Span {
            first: now.saturating_sub(first),
            last: now.saturating_sub(last),
        };
        self.reads.lock().gapless.add_span(span);
    }

    /// Applies an update of the list from `read`. Without a read the age of the update is unknown: a replica
    /// delivered it without evidence that it is current.
    pub fn apply(&self, read: Option<StoreRead>, update: ListUpdate) {
        let at = read.map(|read| clock::since_boot().saturating_sub(read.ago));
        if let (Some(read), Some(at)) = (read, at) {
            let mut reads = self.reads.lock();
            reads.as_of = read.as_of;
            reads.gapless.add_span(lapse::Span::single(at));
        }
        let before = self.count_listed();
        let missing = match update {
            ListUpdate::Full(list) => self.apply_full(list),
            ListUpdate::Changes(changes) => changes
                .into_iter()
                .filter_map(|c| self.apply_change(c))
                .collect(),
        };
        self.keep_lapsed(before, missing);
        let mut reads = self.reads.lock();
        reads.last = reads.last.max(at);
        drop(reads);
        self.drop_removed();
        self.restarts.note_list_changed();
    }

    /// Applies a change; returns the upstream that is newly missing, if any.
    fn apply_change(&self, change: Change) -> Option<id::UpstreamId> {
        match change {
            Change::Put(listed) => {
                self.put(listed);
                None
            }
            Change::Removed(id) => self.mark_missing(id),
        }
    }

    /// Applies a full list; returns the upstreams that are newly missing.
    fn apply_full(&self, list: Vec<ListedUpstream>) -> Vec<id::UpstreamId> {
        self.has_list.store(true, Ordering::Relaxed);
        let current = self.listing().into_iter().map(|current| current.id);
        let removed = current.filter(|current| !list.iter().any(|listed| listed.id == *current));
        let missing = removed.filter_map(|id| self.mark_missing(id)).collect();
        // Health is updated once for the whole list: an entry that starts has a part of a core.
        let mut is_any_new = false;
        for listed in list {
            is_any_new |= self.place(listed);
        }
        if is_any_new {
            for service in self.all_services() {
                service.lock().update_health(self.now());
            }
        }
        missing
    }

    /// Adds or changes one upstream. One that is leaving gets no work again until it has restarted: a late
    /// heartbeat may list it in its earlier state.
    ///
    /// *Failure:* an upstream crashes and restarts under its id, and a heartbeat of its earlier run, sent before
    /// the crash, is applied after the first one of the later run. Taken for a restart, it would put the earlier
    /// run's address and version back, and the next heartbeat would reset the upstream again.
    pub fn put(&self, listed: ListedUpstream) {
        let service = listed.service.clone();
        if self.place(listed)
            && let Some(service) = self.service(&service)
        {
            service.lock().update_health(self.now());
        }
    }

    /// Adds or changes one upstream, but for the list that its service's health has. Returns whether it is new.
    fn place(&self, listed: ListedUpstream) -> bool {
        let service_id = listed.service.clone();
        let service = {
            let mut services = self.services.lock();
            let service = services.entry(service_id.clone());
            Arc::clone(service.or_insert_with(|| Arc::new(Mutex::new(Service::new()))))
        };
        let mut service = service.lock();
        let now = self.now();
        let id = listed.id.clone();
        let Some(upstream) = service.find(&id) else {
            tracing::info!(upstream = %id, service = %listed.service, addr = %listed.addr, version = %listed.version, started_at = listed.started_at, takes_work = listed.takes_work, "upstream listed");
            let run = service.next_run();
            service.upstreams.push(Upstream::new(listed, run));
            drop(service);
            self.remove_from_others(&id, &service_id);
            return true;
        };
        if upstream.is_earlier_run(&listed) {
            tracing::info!(upstream = %id, addr = %listed.addr, started_at = listed.started_at, "a late heartbeat states an earlier run of an upstream; not applied");
            return false;
        }
        // A start time that is not stated tells nothing.
        let started_at = match listed.started_at {
            0 => upstream.listed.started_at,
            stated => stated,
        };
        let restarted = upstream.listed.started_at != started_at
            || upstream.listed.addr != listed.addr
            || upstream.listed.version != listed.version;
        let is_leaving = !upstream.listed.takes_work && !restarted;
        if is_leaving && listed.takes_work {
            tracing::info!(upstream = %id, "a late heartbeat lists a leaving upstream as ready; it gets no calls");
        }
        let listed = ListedUpstream {
            takes_work: listed.takes_work && !is_leaving,
            started_at,
            ..listed
        };
        if upstream.listed.takes_work != listed.takes_work || restarted {
            let as_of = self.list_state().as_of;
            tracing::info!(upstream = %id, takes_work = listed.takes_work, restarted, started_at, as_of, "upstream changed");
        }
        upstream.missing = None;
        upstream.run_listed_at = Instant::now();
        upstream.listed = listed;
        if restarted {
            let run = service.next_run();
            if let Some(upstream) = service.find(&id) {
                *upstream = Upstream::new(upstream.listed.clone(), run);
                upstream.speed = speed::Speed::restarted(now);
            }
            service.health.replaced(now, &id);
            service.wake(None);
        }
        false
    }

    /// Removes the upstream `id` from all services but `service`, which it serves now.
    fn remove_from_others(&self, id: &id::UpstreamId, service: &id::ServiceId) {
        let services = self.services.lock().clone();
        for (_, other) in services.iter().filter(|(other, _)| *other != service) {
            let mut other = other.lock();
            if other.find(id).is_some() {
                tracing::info!(upstream = %id, %service, "upstream serves another service now");
                other.upstreams.retain(|upstream| upstream.listed.id != *id);
                other.update_health(self.now());
            }
        }
    }

    /// Marks an upstream as missing from the list; returns its id if it was listed before.
    fn mark_missing(&self, id: id::UpstreamId) -> Option<id::UpstreamId> {
        let listed = self.reads.lock().last;
        let is_new = self.with_upstream(&id, |upstream| {
            let is_new = upstream.missing.is_none();
            upstream.missing.get_or_insert(Missing {
                last_listed: listed,
                may_return: false,
            });
            is_new
        });
        (is_new == Some(true)).then_some(id)
    }

    /// Keeps the upstreams of `missing` in use if their entries in the store may only have expired during an
    /// outage; `before` is the number of upstreams that were listed before.
    fn keep_lapsed(&self, before: usize, mut missing: Vec<id::UpstreamId>) {
        let (listed, gapless) = {
            let reads = self.reads.lock();
            (reads.last, reads.gapless.clone())
        };
        missing.retain(|id| self.is_missing(id));
        if gapless.decide(listed) == lapse::Outcome::Gone
            || !lapse::has_lapsed(before, missing.len())
        {
            return;
        }
        let now = clock::since_boot();
        let ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        for id in &missing {
            self.with_upstream(id, |upstream| {
                let missing = Missing {
                    last_listed: listed,
                    may_return: true,
                };
                upstream.missing = Some(missing);
            });
            tracing::info!(
                upstream = %id,
                listed_ms_ago = listed.map(ms),
                reads_since_ms = gapless.span().map(|span| ms(span.first)),
                "upstream missing after a gap between reads of the store; kept in use until expired entries are listed again"
            );
        }
    }

    fn is_missing(&self, id: &id::UpstreamId) -> bool {
        let missing = self.with_upstream(id, |upstream| upstream.missing.is_some());
        missing == Some(true)
    }

    fn with_upstream<T>(
        &self,
        id: &id::UpstreamId,
        f: impl FnOnce(&mut Upstream) -> T,
    ) -> Option<T> {
        for service in self.all_services() {
            if let Some(upstream) = service.lock().find(id) {
                return Some(f(upstream));
            }
        }
        None
    }

    /// Removes the missing upstreams that have left.
    fn drop_removed(&self) {
        let (gapless, as_of) = {
            let reads = self.reads.lock();
            (reads.gapless.clone(), reads.as_of)
        };
        let has_left = |upstream: &Upstream| {
            let missing = upstream.missing;
            missing.is_some_and(|missing| {
                !missing.may_return || gapless.decide(missing.last_listed) == lapse::Outcome::Gone
            })
        };
        for service in self.all_services() {
            let mut service = service.lock();
            let before = service.upstreams.len();
            service.upstreams.retain(|upstream| {
                let left = has_left(upstream);
                if left {
                    tracing::info!(upstream = %upstream.listed.id, as_of, "upstream gone from the list");
                }
                !left
            });
            if service.upstreams.len() < before {
                service.update_health(self.now());
            }
        }
        self.drop_unused_services();
    }

    /// Removes the services that have no upstream and were never called, so that list items which name services
    /// of no route do not accumulate. A service that was called keeps its mean durations.
    fn drop_unused_services(&self) {
        self.services.lock().retain(|_, service| {
            let is_referenced = Arc::strong_count(service) > 1;
            let service = service.lock();
            let was_called = service.arrivals > 0 || service.mean_call_secs > 0.0;
            is_referenced || was_called || !service.upstreams.is_empty()
        });
    }

    /// Number of services that have upstreams, or were called.
    pub fn services(&self) -> usize {
        self.services.lock().len()
    }

    fn count_listed(&self) -> usize {
        let count = |service: &Arc<Mutex<Service>>| {
            let service = service.lock();
            service
                .upstreams
                .iter()
                .filter(|u| u.missing.is_none())
                .count()
        };
        self.all_services().iter().map(count).sum()
    }

    /// All listed upstreams, sorted by id.
    pub fn listing(&self) -> Vec<ListedUpstream> {
        let mut listing = Vec::new();
        for service in self.all_services() {
            let service = service.lock();
            let listed = service.upstreams.iter().filter(|u| u.missing.is_none());
            listing.extend(listed.map(|u| u.listed.clone()));
        }
        listing.sort_by(|a, b| a.id.cmp(&b.id));
        listing
    }
}

impl Upstream {
    /// Creates the state of an upstream at the beginning of a run: no calls, connections or failures.
    fn new(listed: ListedUpstream, run: u64) -> Self {
        Self {
            hash: short_hash(&listed.id, listed.started_at),
            start_hash: prefix::run(listed.started_at),
            listed,
            run,
            run_listed_at: Instant::now(),
            missing: None,
            replaced_until: None,
            ended_until: None,
            own_calls: 0,
            other_calls: 0,
            load_updated_at: Instant::now(),
            idle_links: Vec::new(),
            pace: pace::Pace::default(),
            speed: speed::Speed::default(),
            failed_at: None,
        }
    }

    /// Whether it runs `version`. After a crash it may be back with another one that is not listed yet, and neither
    /// its id nor its answers would tell.
    pub(super) fn has_version(&self, version: &streams::Version) -> bool {
        let has_ended = self.ended_until.is_some_and(|until| Instant::now() < until);
        self.listed.version == *version && !has_ended
    }

    /// Whether `listed` is a late item of a run before this one.
    fn is_earlier_run(&self, listed: &ListedUpstream) -> bool {
        let is_before = |start: StartTime| start > 0 && start < self.listed.started_at;
        is_before(listed.started_at) && self.run_listed_at.elapsed() < RUN_MEMORY
    }
}
