//! The upstreams: who is listed, how busy and healthy each is, and its idle connections.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, confirm, health, lapse, pace, wait_queue};
use fw_replica::{affinity, service};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::connection::link;

mod choose;
mod lease;
mod list;
mod proof;

use lease::Waiter;
pub use lease::{Lease, Load};
pub use list::{Change, List, Read, State};
pub use proof::Proof;

/// Calls that wait and look again when news of the others' calls come: some may find the upstream
/// free that has their prompt.
const WOKEN: usize = 8;

/// Start of an upstream, in milliseconds since the Unix epoch.
pub type StartTime = u64;

/// One upstream, as the platform's store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its id.
    pub id: id::UpstreamId,
    /// The service that it runs.
    pub service: id::ServiceId,
    /// Where it is called.
    pub addr: SocketAddr,
    /// Its data centre.
    pub place: id::PlaceId,
    /// Requests that it runs together.
    pub slots: u32,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// When it started; 0 if not told.
    pub started_at: StartTime,
}

/// What makes one upstream faster than another for a call.
#[derive(Clone, Debug, Default)]
pub enum Warmth<'a> {
    /// Nothing.
    #[default]
    None,
    /// Having handled the object lately.
    Object(&'a SmolStr),
    /// Having the prompt in the cache.
    Prompt {
        /// What it begins like.
        lineage: affinity::Lineage,
        /// Its length.
        tokens: id::Tokens,
    },
}

/// What a call asks of its upstream.
#[derive(Clone, Debug, Default)]
pub struct Want<'a> {
    /// What makes an upstream faster.
    pub warmth: Warmth<'a>,
    /// Upstreams that failed this call.
    pub avoid: &'a [id::UpstreamId],
    /// What decides its place if it has to wait.
    pub hold: wait_queue::Call,
}

#[derive(Debug)]
struct Upstream {
    listed: ListedUpstream,
    /// Set while it is missing from the list, and kept.
    missing: Option<list::Missing>,
    /// Until when another upstream is taken to have its address.
    replaced_until: Option<Instant>,
    /// Short hash of its id, as entries name it to each other.
    short: affinity::Upstream,
    own: u32,
    others: u32,
    reported: Instant,
    idle: Vec<link::Link>,
    pace: pace::Pace,
    /// When a call to it failed, if none has ended well since.
    failed: Option<Instant>,
}

#[derive(Debug)]
struct Service {
    upstreams: Vec<Upstream>,
    health: health::Health,
    /// Smoothed time of a call, in seconds.
    mean: f64,
    /// Smoothed time of a call's comparable part, in seconds.
    part: f64,
    /// Calls that are held back until there is a free slot.
    waiting: BTreeMap<wait_queue::Rank, Waiter>,
    arrivals: u64,
}

impl Service {
    fn new() -> Self {
        let options = health::Options {
            first_ejection: Duration::from_millis(800),
            max_ejection: Duration::from_secs(4),
            slow_start: Duration::from_secs(1),
            // The list is what counts: one that is not on it may be leaving.
            unlisted_grace: Duration::ZERO,
            ..health::Options::default()
        };
        Self {
            upstreams: Vec::new(),
            health: health::Health::new(options),
            mean: 0.0,
            part: 0.0,
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// Lets the first that waits look again, and the first whose prompt is in the cache of the
    /// upstream that has `freed` a place.
    fn wake(&self, freed: Option<affinity::Upstream>) {
        let first = self.waiting.values().next();
        let warm = freed.and_then(|freed| self.waiting.values().find(|w| w.is_warm_at(freed)));
        for waiter in first.into_iter().chain(warm) {
            waiter.wake();
        }
    }

    fn find(&mut self, id: &id::UpstreamId) -> Option<&mut Upstream> {
        let mut upstreams = self.upstreams.iter_mut();
        upstreams.find(|upstream| upstream.listed.id == *id)
    }

    fn tell_health(&mut self, now: Duration) {
        let lines = self
            .upstreams
            .iter()
            .map(|upstream| health::ListedUpstream {
                upstream: upstream.listed.id.clone(),
                leaving: false,
            });
        let lines: Vec<_> = lines.collect();
        self.health.update_list(now, &lines);
    }
}

/// All upstreams, by service; each service has a lock of its own.
#[derive(Debug)]
pub struct Fleet {
    place: id::PlaceId,
    started: Instant,
    options: assign::Options,
    pace: pace::Options,
    hold: wait_queue::Options,
    services: Mutex<HashMap<id::ServiceId, Arc<Mutex<Service>>>>,
    /// Where this entry sent sessions, or heard that others did.
    trail: affinity::Table,
    /// Whether the list was ever read.
    known: AtomicBool,
    /// The reads of the store that the list is from.
    reads: Mutex<list::Reads>,
    /// How new the list is known to be.
    pub proof: Proof,
    /// Names this entry to the others.
    entry: u32,
}

/// Short hash of an upstream's id. Two of a few hundred may share one; each then looks as busy as
/// both.
pub fn short(id: &id::UpstreamId) -> affinity::Upstream {
    let hash = (xxh3::xxh3_64(id.as_bytes()) & 0xffff) as u16;
    if hash == affinity::NO_UPSTREAM {
        1
    } else {
        hash
    }
}

impl Fleet {
    /// Knows no upstream yet; `place` is the entry's own data centre, `lapse` says how outages of the
    /// store are told, and `confirm` how old the list may be.
    pub fn new(place: id::PlaceId, lapse: lapse::Options, confirm: confirm::Options) -> Arc<Self> {
        Arc::new(Self {
            place,
            started: Instant::now(),
            options: assign::Options::default(),
            pace: pace::Options::default(),
            hold: wait_queue::Options::default(),
            services: Mutex::default(),
            trail: affinity::Table::default(),
            known: AtomicBool::new(false),
            reads: Mutex::new(list::Reads::new(lapse)),
            proof: Proof::new(confirm),
            entry: rand::random(),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Names this entry to the others.
    pub fn entry(&self) -> u32 {
        self.entry
    }

    fn service(&self, id: &id::ServiceId) -> Option<Arc<Mutex<Service>>> {
        self.services.lock().get(id).cloned()
    }

    /// A further call to an upstream that was chosen before, if it may still get work.
    pub fn again(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        id: &id::UpstreamId,
    ) -> Option<Lease> {
        let service = self.service(service_id)?;
        let mut locked = service.lock();
        let upstream = locked.find(id)?;
        if !upstream.listed.takes_work {
            return None;
        }
        let why = assign::Candidate::default();
        Some(Lease::take(self, &service, upstream, why))
    }

    /// The entry's own calls under way.
    pub fn load(&self) -> service::Load {
        let mut calls = Vec::new();
        for service in self.all_services() {
            let service = service.lock();
            let busy = service.upstreams.iter().filter(|upstream| upstream.own > 0);
            calls.extend(busy.map(|u| (u.short, u16::try_from(u.own).unwrap_or(u16::MAX))));
        }
        service::Load {
            entry: self.entry,
            calls,
            relay: None,
        }
    }

    /// Other entries' calls under way, as a replica tells them.
    pub fn told_others(&self, others: &[(u16, u16)]) {
        let now = Instant::now();
        let others: HashMap<u16, u16> = others.iter().copied().collect();
        for service in self.all_services() {
            let mut service = service.lock();
            for upstream in &mut service.upstreams {
                upstream.others = others.get(&upstream.short).copied().unwrap_or(0).into();
                upstream.reported = now;
            }
            service.waiting.values().take(WOKEN).for_each(Waiter::wake);
        }
    }

    fn all_services(&self) -> Vec<Arc<Mutex<Service>>> {
        self.services.lock().values().cloned().collect()
    }

    /// Whether no turn of a program is known to have run.
    pub fn is_new(&self, lineage: &affinity::Lineage) -> bool {
        lineage.program.is_some() && self.trail.last_upstreams(lineage).program.is_none()
    }

    /// Where turns of `lineage` ran last, as a replica tells it: newer than what this entry knows
    /// if the last one came in through another.
    pub fn told_last(&self, lineage: &affinity::Lineage, last: affinity::LastUpstreams) {
        self.trail.merge(lineage, last);
    }
}
