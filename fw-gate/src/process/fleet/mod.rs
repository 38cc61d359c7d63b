//! The upstreams: the list of them, the load and health of each, and its idle connections.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, begin, confirm, health, lapse, pace, quarantine, speed, wait_queue};
use fw_replica::{affinity, service, stated_speed, streams};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::features;
use crate::connection::link;

mod admission;
mod choose;
mod confirmation;
mod hedges;
mod lease;
mod list;
mod prefix;
mod restarts;
mod stated;

pub use admission::Refused;
pub use confirmation::Confirmation;
pub use hedges::CallTimer;
use lease::Waiter;
pub use lease::{Lease, Load};
pub use list::{Change, ListState, ListUpdate, StoreRead};
pub use prefix::Prompt;
pub use quarantine::StartTime;

/// Maximum number of waiting calls that are woken when other entries' calls are updated: the upstream with
/// the cached prompt of some of them may have become free.
const MAX_WOKEN: usize = 8;

/// One upstream, as the platform's store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its id.
    pub id: id::UpstreamId,
    /// The service that it serves.
    pub service: id::ServiceId,
    /// Its address for calls.
    pub addr: SocketAddr,
    /// Its data centre.
    pub place: id::PlaceId,
    /// Version of its software; empty if the list does not state it.
    pub version: streams::Version,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// When it started; 0 if the list does not state it.
    pub started_at: StartTime,
}

/// Why one upstream is faster than another for a call: what it has cached.
#[derive(Clone, Debug, Default)]
pub enum Affinity<'a> {
    /// All upstreams are alike.
    #[default]
    None,
    /// An upstream that recently handled the object is faster.
    Object(&'a SmolStr),
    /// An upstream that has the start of the prompt in its KV cache is faster.
    Prompt {
        /// Session and program, whose turns have prompts that begin alike.
        lineage: affinity::Lineage,
        /// Length of the prompt.
        tokens: id::Tokens,
    },
}

/// Criteria by which an upstream is chosen for a call.
#[derive(Clone, Debug, Default)]
pub struct Criteria<'a> {
    /// Why an upstream is faster than others.
    pub affinity: Affinity<'a>,
    /// The parts of the prompt; `None` where its upstream is chosen by affinity alone.
    pub prompt: Option<Prompt<'a>>,
    /// Upstreams that failed this call.
    pub avoid: &'a [id::UpstreamId],
    /// Upstreams that failed earlier copies of this call, used only if there is no other.
    pub avoid_if_possible: &'a [quarantine::UpstreamHash],
    /// The only software version at which the call may run; `None` if it may run at any.
    pub version: Option<&'a streams::Version>,
    /// What ranks the call among those that wait for an upstream.
    pub queue_call: wait_queue::Call,
}

#[derive(Debug)]
struct Upstream {
    listed: ListedUpstream,
    /// Number of this run among all that the service's upstreams have had.
    run: u64,
    /// When an item of the list stated this run last.
    run_listed_at: Instant,
    /// Set if it is missing from the list but still in use.
    missing: Option<list::Missing>,
    /// Until when it gets no calls because another upstream has its address.
    replaced_until: Option<Instant>,
    /// Until when it counts as ended because it crashed under a call.
    ended_until: Option<Instant>,
    /// Short hash of its id and start time, by which entries refer to it among themselves.
    hash: affinity::Upstream,
    /// Short hash of its start time.
    start_hash: u16,
    own_calls: u32,
    other_calls: u32,
    load_updated_at: Instant,
    idle_links: Vec<link::Link>,
    pace: pace::Pace,
    speed: speed::Speed,
    /// When a call to it last failed, if none has succeeded since.
    failed_at: Option<Instant>,
}

#[derive(Debug)]
struct Service {
    upstreams: Vec<Upstream>,
    health: health::Health,
    /// Smoothed duration of a call, in seconds.
    mean_call_secs: f64,
    /// Smoothed duration of the part of a call that is comparable among calls, in seconds.
    mean_part_secs: f64,
    /// Factor of the fastest upstream, if any has stated its own.
    least_factor: Option<f64>,
    hedges: hedges::Hedges,
    /// Calls that wait for a free slot, by rank.
    waiting: BTreeMap<wait_queue::Rank, Waiter>,
    arrivals: u64,
    /// Number of runs that its upstreams have had.
    runs: u64,
    /// Which programs begin, where that is decided by fair shares and feasibility.
    admission: begin::Admission,
}

impl Service {
    fn new() -> Self {
        let options = health::Options {
            first_ejection: Duration::from_millis(800),
            max_ejection: Duration::from_secs(4),
            slow_start: Duration::from_secs(1),
            // Only listed upstreams are used: one that is not on the list may be leaving.
            unlisted_grace: Duration::ZERO,
            ..health::Options::default()
        };
        Self {
            upstreams: Vec::new(),
            health: health::Health::new(options),
            mean_call_secs: 0.0,
            mean_part_secs: 0.0,
            least_factor: None,
            hedges: hedges::Hedges::default(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            runs: 0,
            admission: begin::Admission::default(),
        }
    }

    /// Wakes the first waiting call that goes to any upstream, and the first whose prompt is cached at the upstream that has `freed` a
    /// slot.
    fn wake(&self, freed: Option<affinity::Upstream>) {
        let first = self.waiting.values().find(|w| !w.waits_for_context);
        let preferring = freed.and_then(|freed| self.waiting.values().find(|w| w.prefers(freed)));
        for waiter in first.into_iter().chain(preferring) {
            waiter.wake();
        }
    }

    fn find(&mut self, id: &id::UpstreamId) -> Option<&mut Upstream> {
        let mut upstreams = self.upstreams.iter_mut();
        upstreams.find(|upstream| upstream.listed.id == *id)
    }

    /// The upstream, if it has not restarted or left since `run`.
    fn find_run(&mut self, id: &id::UpstreamId, run: u64) -> Option<&mut Upstream> {
        self.find(id).filter(|upstream| upstream.run == run)
    }

    /// Number of the run that begins now.
    fn next_run(&mut self) -> u64 {
        self.runs += 1;
        self.runs
    }

    fn update_health(&mut self, now: Duration) {
        let listed = self
            .upstreams
            .iter()
            .map(|upstream| health::ListedUpstream {
                upstream: upstream.listed.id.clone(),
                leaving: false,
            });
        let listed: Vec<_> = listed.collect();
        self.health.update_list(now, &listed);
    }
}

/// All upstreams, by service; each service has a lock of its own.
#[derive(Debug)]
pub struct Fleet {
    place: id::PlaceId,
    /// The parts of load control that are on.
    pub features: features::Features,
    started: Instant,
    options: assign::Options,
    pace: pace::Options,
    speed: speed::Options,
    wait_queue: wait_queue::Options,
    services: Mutex<HashMap<id::ServiceId, Arc<Mutex<Service>>>>,
    /// Upstreams at which sessions and programs ran last, by this entry's calls and the replicas' reports.
    affinity: affinity::Table,
    /// Prompt prefixes in the engines' caches, by this entry's calls and the replicas' reports.
    prefixes: Mutex<fw_plan::prefix::Index>,
    /// Whether a full list has been received.
    has_list: AtomicBool,
    /// The reads of the store from which the list was built.
    reads: Mutex<list::ReadHistory>,
    /// Time up to which the list is confirmed to be complete.
    pub confirmation: Confirmation,
    restarts: restarts::Restarts,
    /// Random id of this entry.
    entry: u32,
}

/// Short hash of an upstream's id and start time, so that what replicas and other entries report of an earlier
/// run, such as prompts in its cache, does not apply to the present one. Among a few hundred upstreams two may
/// have the same; each then appears as busy as both together.
pub fn short_hash(id: &id::UpstreamId, started_at: StartTime) -> affinity::Upstream {
    let hash = (xxh3::xxh3_64_with_seed(id.as_bytes(), started_at) & 0xffff) as u16;
    if hash == affinity::NO_UPSTREAM {
        1
    } else {
        hash
    }
}

impl Fleet {
    /// Number of open connections to upstreams: one for each call under way, and the idle ones.
    pub fn open_links(&self) -> usize {
        let services: Vec<_> = self.services.lock().values().cloned().collect();
        let open_at = |upstream: &Upstream| upstream.idle_links.len() + upstream.own_calls as usize;
        let open = services
            .iter()
            .map(|service| -> usize { service.lock().upstreams.iter().map(open_at).sum() });
        open.sum()
    }

    /// Creates a fleet without upstreams. `place` is the entry's own data centre, `lapse` configures how
    /// outages of the store are detected, and `confirm` how old the list may be.
    pub fn new(
        place: id::PlaceId,
        lapse: lapse::Options,
        confirm: confirm::Options,
        features: features::Features,
    ) -> Arc<Self> {
        let wait_queue = match features.fair_admission() {
            true => wait_queue::Options::for_levels(),
            false => wait_queue::Options::default(),
        };
        Arc::new(Self {
            place,
            speed: features.speed_options(),
            features,
            started: Instant::now(),
            options: assign::Options::default(),
            pace: pace::Options::default(),
            wait_queue,
            services: Mutex::default(),
            affinity: affinity::Table::default(),
            prefixes: Mutex::default(),
            has_list: AtomicBool::new(false),
            reads: Mutex::new(list::ReadHistory::new(lapse)),
            confirmation: Confirmation::new(confirm),
            restarts: restarts::Restarts::default(),
            entry: rand::random(),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Random id of this entry, by which replicas and other entries tell it apart.
    pub fn entry(&self) -> u32 {
        self.entry
    }

    fn service(&self, id: &id::ServiceId) -> Option<Arc<Mutex<Service>>> {
        self.services.lock().get(id).cloned()
    }

    /// Leases an upstream that was chosen before for a further call, if it still takes work and has not
    /// restarted with another software version than `version`.
    pub fn lease_again(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        id: &id::UpstreamId,
        version: Option<&streams::Version>,
    ) -> Option<Lease> {
        let service = self.service(service_id)?;
        let mut locked = service.lock();
        let upstream = locked.find(id)?;
        let has_version = version.is_none_or(|version| upstream.has_version(version));
        if !upstream.listed.takes_work || !has_version {
            return None;
        }
        let candidate = assign::Candidate::default();
        Some(Lease::take(self, &service, upstream, candidate))
    }

    /// Records that the incarnation `at` of an upstream of `service_id` crashed under a call. It gets no call that is
    /// bound to a version until it is listed anew, or for [`list::RUN_MEMORY`].
    pub fn mark_ended(&self, service_id: &id::ServiceId, at: &quarantine::Incarnation) {
        let Some(service) = self.service(service_id) else {
            return;
        };
        let mut service = service.lock();
        let upstream = service.find(&at.upstream);
        let upstream = upstream.filter(|upstream| upstream.listed.started_at == at.started_at);
        if let Some(upstream) = upstream {
            upstream.ended_until = Some(Instant::now() + list::RUN_MEMORY);
            upstream.idle_links.clear();
        }
    }

    /// Whether upstreams of several software versions are listed for a service.
    pub fn has_several_versions(&self, service_id: &id::ServiceId) -> bool {
        let Some(service) = self.service(service_id) else {
            return false;
        };
        let service = service.lock();
        let mut versions = service.upstreams.iter().map(|u| &u.listed.version);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// This entry's calls in flight, and the speeds of which other entries should hear.
    pub fn load(&self) -> service::Load {
        let now = self.now();
        let mut items = Vec::new();
        for service in self.all_services() {
            let service = service.lock();
            let all = service.upstreams.iter();
            let with_speed = all.map(|upstream| (upstream, self.speed_report(upstream, now)));
            let told = with_speed.filter(|(u, speed)| u.own_calls > 0 || speed.is_some());
            items.extend(told.map(|(u, speed)| {
                let calls = u16::try_from(u.own_calls).unwrap_or(u16::MAX);
                (u.hash, calls, speed)
            }));
        }
        let (calls, speeds) = stated_speed::split(items.into_iter());
        service::Load {
            entry: self.entry,
            calls,
            speeds,
            relay: None,
        }
    }

    /// Sets the other entries' calls in flight, as reported by a replica.
    pub fn set_other_calls(&self, others: &[(u16, u16)]) {
        let now = Instant::now();
        let others: HashMap<u16, u16> = others.iter().copied().collect();
        for service in self.all_services() {
            let mut service = service.lock();
            for upstream in &mut service.upstreams {
                upstream.other_calls = others.get(&upstream.hash).copied().unwrap_or(0).into();
                upstream.load_updated_at = now;
            }
            service
                .waiting
                .values()
                .take(MAX_WOKEN)
                .for_each(Waiter::wake);
        }
    }

    fn all_services(&self) -> Vec<Arc<Mutex<Service>>> {
        self.services.lock().values().cloned().collect()
    }

    /// Whether `lineage` has a program of which no turn is known to have run.
    pub fn is_new_program(&self, lineage: &affinity::Lineage) -> bool {
        lineage.program.is_some() && self.affinity.last_upstreams(lineage).program.is_none()
    }

    /// Records where turns of `lineage` ran last, as reported by a replica: newer than this entry's own
    /// record if the last turn came in through another entry.
    pub fn set_last_upstreams(&self, lineage: &affinity::Lineage, last: affinity::LastUpstreams) {
        self.affinity.merge(lineage, last);
    }
}
