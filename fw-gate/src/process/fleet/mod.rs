//! The upstreams: who is listed, how busy and healthy each is, and its idle connections.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, health, hold, pace};
use fw_replica::{service, trail};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::connection::link;

mod choose;
mod lease;

use lease::Waiter;
pub use lease::{Lease, Load};

/// Calls that wait and look again when news of the others' calls come: some may find the upstream
/// free that has their prompt.
const WOKEN: usize = 8;

/// Start of an upstream, in milliseconds since the Unix epoch.
pub type Born = u64;

/// One upstream, as the platform's store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
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
    pub born: Born,
}

/// The state of the list by which an upstream was chosen, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListState {
    /// Revision of the store that it reflects.
    pub as_of: u64,
    /// Time since the read of the store by which it was last confirmed; `None` if none was heard of.
    pub age: Option<Duration>,
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
        lineage: trail::Lineage,
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
    pub hold: hold::Call,
}

#[derive(Debug)]
struct Upstream {
    listed: Listed,
    /// Until when another upstream is taken to have its address.
    replaced_until: Option<Instant>,
    /// Short hash of its id, as entries name it to each other.
    short: trail::Upstream,
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
    waiting: BTreeMap<hold::Rank, Waiter>,
    arrivals: u64,
}

impl Service {
    fn new() -> Self {
        let options = health::Options {
            eject: Duration::from_millis(800),
            eject_max: Duration::from_secs(4),
            slow_start: Duration::from_secs(1),
            // The list is what counts: one that is not on it may be leaving.
            unlisted: Duration::ZERO,
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
    fn wake(&self, freed: Option<trail::Upstream>) {
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
        let lines = self.upstreams.iter().map(|upstream| health::Listed {
            upstream: upstream.listed.id.clone(),
            leaving: false,
        });
        let lines: Vec<_> = lines.collect();
        self.health.listed(now, &lines);
    }
}

/// All upstreams, by service; each service has a lock of its own.
#[derive(Debug)]
pub struct Fleet {
    place: id::PlaceId,
    started: Instant,
    options: assign::Options,
    pace: pace::Options,
    hold: hold::Options,
    services: Mutex<HashMap<id::ServiceId, Arc<Mutex<Service>>>>,
    /// Where this entry sent sessions, or heard that others did.
    trail: trail::Trail,
    /// Whether the list was ever read.
    known: AtomicBool,
    /// The newest read of the store that the list reflects: its revision, and when it was made.
    confirmed: Mutex<Option<(u64, Instant)>>,
    /// Names this entry to the others.
    entry: u32,
}

/// Short hash of an upstream's id. Two of a few hundred may share one; each then looks as busy as
/// both.
pub fn short(id: &id::UpstreamId) -> trail::Upstream {
    let hash = (xxh3::xxh3_64(id.as_bytes()) & 0xffff) as u16;
    if hash == trail::NOWHERE { 1 } else { hash }
}

impl Fleet {
    /// Knows no upstream yet; `place` is the entry's own data centre.
    pub fn new(place: id::PlaceId) -> Arc<Self> {
        Arc::new(Self {
            place,
            started: Instant::now(),
            options: assign::Options::default(),
            pace: pace::Options::default(),
            hold: hold::Options::default(),
            services: Mutex::default(),
            trail: trail::Trail::default(),
            known: AtomicBool::new(false),
            confirmed: Mutex::default(),
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

    /// Whether the list was ever read.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }

    /// A read of the store that ended at `at` found the list as it is here at revision `as_of`.
    pub fn confirm(&self, as_of: u64, at: Instant) {
        *self.confirmed.lock() = Some((as_of, at));
    }

    /// By which state of the list upstreams are chosen now.
    pub fn list_state(&self) -> ListState {
        let confirmed = *self.confirmed.lock();
        confirmed.map_or_else(ListState::default, |(as_of, at)| ListState {
            as_of,
            age: Some(at.elapsed()),
        })
    }

    fn service(&self, id: &id::ServiceId) -> Option<Arc<Mutex<Service>>> {
        self.services.lock().get(id).cloned()
    }

    /// Takes the whole list. Whatever is missing is gone, unless the list is not `settled`: then it
    /// is used until a settled one comes.
    pub fn replace(&self, list: Vec<Listed>, settled: bool) {
        self.known.store(true, Ordering::Relaxed);
        let missing: Vec<_> = {
            let services = self.services.lock();
            let known = services.values().flat_map(|service| {
                let service = service.lock();
                let ids = service.upstreams.iter().map(|u| u.listed.id.clone());
                ids.collect::<Vec<_>>()
            });
            known
                .filter(|id| !list.iter().any(|listed| listed.id == *id))
                .collect()
        };
        for listed in list {
            self.put(listed);
        }
        for id in missing.iter().filter(|_| settled) {
            self.remove(id);
        }
    }

    /// Adds or changes one upstream.
    pub fn put(&self, listed: Listed) {
        let service = {
            let mut services = self.services.lock();
            let service = services.entry(listed.service.clone());
            Arc::clone(service.or_insert_with(|| Arc::new(Mutex::new(Service::new()))))
        };
        let mut service = service.lock();
        let now = self.now();
        let id = listed.id.clone();
        match service.find(&id) {
            Some(known) => {
                let restarted =
                    known.listed.born != listed.born || known.listed.addr != listed.addr;
                if known.listed.takes_work != listed.takes_work || restarted {
                    let as_of = self.list_state().as_of;
                    tracing::info!(upstream = %id, takes_work = listed.takes_work, restarted, as_of, "upstream changed");
                }
                if restarted {
                    // It holds nothing of before: connections and load are its predecessor's.
                    known.idle.clear();
                    known.others = 0;
                    known.pace = pace::Pace::default();
                    known.replaced_until = None;
                    known.failed = None;
                }
                known.listed = listed;
                if restarted {
                    service.health.restarted(now, &id);
                }
            }
            None => {
                tracing::info!(upstream = %id, service = %listed.service, addr = %listed.addr, takes_work = listed.takes_work, "upstream listed");
                service.upstreams.push(Upstream {
                    short: short(&listed.id),
                    listed,
                    replaced_until: None,
                    own: 0,
                    others: 0,
                    reported: Instant::now(),
                    idle: Vec::new(),
                    pace: pace::Pace::default(),
                    failed: None,
                });
                service.tell_health(now);
            }
        }
    }

    /// An upstream is not on the list any more.
    pub fn remove(&self, id: &id::UpstreamId) {
        for service in self.all_services() {
            let mut service = service.lock();
            if service.find(id).is_none() {
                continue;
            }
            let as_of = self.list_state().as_of;
            tracing::info!(upstream = %id, as_of, "upstream gone from the list");
            service
                .upstreams
                .retain(|upstream| upstream.listed.id != *id);
            service.tell_health(self.now());
        }
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

    /// All upstreams on the list, by id.
    pub fn listing(&self) -> Vec<Listed> {
        let mut listing = Vec::new();
        for service in self.all_services() {
            let service = service.lock();
            listing.extend(service.upstreams.iter().map(|u| u.listed.clone()));
        }
        listing.sort_by(|a, b| a.id.cmp(&b.id));
        listing
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
    pub fn is_new(&self, lineage: &trail::Lineage) -> bool {
        lineage.program.is_some() && self.trail.last(lineage).program.is_none()
    }

    /// Where turns of `lineage` ran last, as a replica tells it: newer than what this entry knows
    /// if the last one came in through another.
    pub fn told_last(&self, lineage: &trail::Lineage, last: trail::Last) {
        self.trail.learn(lineage, last);
    }
}
