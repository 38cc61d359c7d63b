//! The list of upstreams, as reads of the platform's store change it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fw_base::{clock, id};
use fw_plan::{lapse, pace};
use parking_lot::Mutex;

use super::{Fleet, ListedUpstream, Service, Upstream, short_hash};

/// A read of the platform's store, by this entry or another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Revision that it reflects.
    pub as_of: u64,
    /// How long ago it was made.
    pub ago: Duration,
}

impl StoreRead {
    /// A read of this entry's that has just ended.
    pub fn own(as_of: u64) -> Self {
        let ago = Duration::ZERO;
        Self { as_of, ago }
    }
}

/// What a read says of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All that is listed.
    Full(Vec<ListedUpstream>),
    /// What has changed, oldest first.
    Changes(Vec<Change>),
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// One is listed, or has changed.
    Put(ListedUpstream),
    /// One is no longer listed.
    Removed(id::UpstreamId),
}

impl Change {
    /// The upstream that is listed.
    pub fn into_listed(self) -> Option<ListedUpstream> {
        match self {
            Self::Put(listed) => Some(listed),
            Self::Removed(_) => None,
        }
    }
}

/// The state of the list by which an upstream was chosen, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListState {
    /// Revision of the store that it reflects.
    pub as_of: u64,
    /// Time since the read of the store by which it was last confirmed; `None` if none was heard of.
    pub age: Option<Duration>,
}

/// An upstream that is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missing {
    /// When a read listed it last, since boot; `None` if none did that this entry knows of.
    last_listed: Option<Duration>,
    /// Whether its entry may only have lapsed.
    may_return: bool,
}

/// The reads of the store that the list is from. Times are since boot.
#[derive(Debug)]
pub(super) struct ReadHistory {
    gapless: lapse::Reads,
    /// Revision of the last read.
    as_of: u64,
    /// When the last read was made.
    last: Option<Duration>,
}

impl ReadHistory {
    /// None was made yet.
    pub(super) fn new(opts: lapse::Options) -> Self {
        Self {
            gapless: lapse::Reads::new(opts),
            as_of: 0,
            last: None,
        }
    }
}

impl Fleet {
    /// Whether the list was ever read.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Relaxed)
    }

    /// By which state of the list upstreams are chosen now.
    pub fn list_state(&self) -> ListState {
        let reads = self.reads.lock();
        ListState {
            as_of: reads.as_of,
            age: reads.last.map(|at| clock::since_boot().saturating_sub(at)),
        }
    }

    /// Others made reads without a gap, the first and the last so long ago.
    pub fn note_reads(&self, first: Duration, last: Duration) {
        let now = clock::since_boot();
        let span = lapse::Span {
            first: now.saturating_sub(first),
            last: now.saturating_sub(last),
        };
        self.reads.lock().gapless.note(span);
    }

    /// Takes what `read` says of the list. Without a read, it is what somebody knew at some time.
    pub fn apply(&self, read: Option<StoreRead>, update: ListUpdate) {
        let at = read.map(|read| clock::since_boot().saturating_sub(read.ago));
        if let (Some(read), Some(at)) = (read, at) {
            let mut reads = self.reads.lock();
            reads.as_of = read.as_of;
            reads.gapless.note(lapse::Span::single(at));
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
    }

    /// Takes a change; returns the upstream that is missing now.
    fn apply_change(&self, change: Change) -> Option<id::UpstreamId> {
        match change {
            Change::Put(listed) => {
                self.put(listed);
                None
            }
            Change::Removed(id) => self.mark_missing(id),
        }
    }

    /// Takes a whole list; returns the upstreams that are missing now.
    fn apply_full(&self, list: Vec<ListedUpstream>) -> Vec<id::UpstreamId> {
        self.has_list.store(true, Ordering::Relaxed);
        let known = self.listing().into_iter().map(|known| known.id);
        let gone = known.filter(|known| !list.iter().any(|listed| listed.id == *known));
        let missing = gone.filter_map(|id| self.mark_missing(id)).collect();
        for listed in list {
            self.put(listed);
        }
        missing
    }

    /// Adds or changes one upstream. One that leaves takes no work again before it starts anew: a late
    /// heartbeat may list it as it was.
    pub fn put(&self, listed: ListedUpstream) {
        let service = {
            let mut services = self.services.lock();
            let service = services.entry(listed.service.clone());
            Arc::clone(service.or_insert_with(|| Arc::new(Mutex::new(Service::new()))))
        };
        let mut service = service.lock();
        let now = self.now();
        let id = listed.id.clone();
        let Some(known) = service.find(&id) else {
            tracing::info!(upstream = %id, service = %listed.service, addr = %listed.addr, takes_work = listed.takes_work, "upstream listed");
            service.upstreams.push(Upstream::new(listed));
            service.update_health(now);
            return;
        };
        let restarted =
            known.listed.started_at != listed.started_at || known.listed.addr != listed.addr;
        let leaves = !known.listed.takes_work && !restarted;
        if leaves && listed.takes_work {
            tracing::info!(upstream = %id, "a late heartbeat lists an upstream that leaves as ready; it gets no calls");
        }
        let listed = ListedUpstream {
            takes_work: listed.takes_work && !leaves,
            ..listed
        };
        if known.listed.takes_work != listed.takes_work || restarted {
            let as_of = self.list_state().as_of;
            tracing::info!(upstream = %id, takes_work = listed.takes_work, restarted, as_of, "upstream changed");
        }
        known.missing = None;
        known.listed = listed;
        if restarted {
            known.reset();
            service.health.restarted(now, &id);
        }
    }

    /// An upstream is not on the list any more; returns it if it was before.
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

    /// Decides which of the upstreams that are `missing` now, where so many were listed `before`, may only have lapsed.
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
                "upstream missing after a gap between reads of the store; used until lapsed ones are back"
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

    /// Drops the missing upstreams that have left.
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

    /// All upstreams on the list, by id.
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
    /// One that is listed for the first time.
    fn new(listed: ListedUpstream) -> Self {
        Self {
            hash: short_hash(&listed.id),
            listed,
            missing: None,
            replaced_until: None,
            own_calls: 0,
            other_calls: 0,
            load_updated_at: Instant::now(),
            idle_links: Vec::new(),
            pace: pace::Pace::default(),
            failed_at: None,
        }
    }

    /// It was restarted and holds nothing of before: connections and load are its predecessor's.
    fn reset(&mut self) {
        self.idle_links.clear();
        self.other_calls = 0;
        self.pace = pace::Pace::default();
        self.replaced_until = None;
        self.failed_at = None;
    }
}
