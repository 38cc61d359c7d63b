//! The upstreams: who is listed, how busy and healthy each is, and its idle connections.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use fw_base::id;
use fw_plan::{assign, confirm, health, hold, lapse, pace};
use fw_replica::{service, trail};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use crate::connection::link;

mod choose;
mod confirmation;
mod lease;
mod list;

pub use confirmation::Confirmation;
use lease::Waiter;
pub use lease::{Lease, Load};
pub use list::{Change, ListState, ListUpdate, StoreRead};

/// Calls that wait and look again when news of the others' calls come: some may find the upstream
/// free that has their prompt.
const MAX_WOKEN: usize = 8;

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
pub enum Affinity<'a> {
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
pub struct Criteria<'a> {
    /// What makes an upstream faster.
    pub affinity: Affinity<'a>,
    /// Upstreams that failed this call.
    pub avoid: &'a [id::UpstreamId],
    /// What decides its place if it has to wait.
    pub hold: hold::Call,
}

#[derive(Debug)]
struct Upstream {
    listed: ListedUpstream,
    /// Set while it is missing from the list, and kept.
    missing: Option<list::Missing>,
    /// Until when another upstream is taken to have its address.
    replaced_until: Option<Instant>,
    /// Short hash of its id, as entries name it to each other.
    hash: trail::Upstream,
    own_calls: u32,
    other_calls: u32,
    load_updated_at: Instant,
    idle_links: Vec<link::Link>,
    pace: pace::Pace,
    /// When a call to it failed, if none has ended well since.
    failed_at: Option<Instant>,
}

#[derive(Debug)]
struct Service {
    upstreams: Vec<Upstream>,
    health: health::Health,
    /// Smoothed time of a call, in seconds.
    mean_call_secs: f64,
    /// Smoothed time of a call's comparable part, in seconds.
    mean_part_secs: f64,
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
            mean_call_secs: 0.0,
            mean_part_secs: 0.0,
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }

    /// Lets the first that waits look again, and the first whose prompt is in the cache of the
    /// upstream that has `freed` a place.
    fn wake(&self, freed: Option<trail::Upstream>) {
        let first = self.waiting.values().next();
        let preferring = freed.and_then(|freed| self.waiting.values().find(|w| w.prefers(freed)));
        for waiter in first.into_iter().chain(preferring) {
            waiter.wake();
        }
    }

    fn find(&mut self, id: &id::UpstreamId) -> Option<&mut Upstream> {
        let mut upstreams = self.upstreams.iter_mut();
        upstreams.find(|upstream| upstream.listed.id == *id)
    }

    fn update_health(&mut self, now: Duration) {
        let listed = self.upstreams.iter().map(|upstream| health::Listed {
            upstream: upstream.listed.id.clone(),
            leaving: false,
        });
        let listed: Vec<_> = listed.collect();
        self.health.listed(now, &listed);
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
    affinity: trail::Trail,
    /// Whether the list was ever read.
    has_list: AtomicBool,
    /// The reads of the store that the list is from.
    reads: Mutex<list::ReadHistory>,
    /// How new the list is known to be.
    pub confirmation: Confirmation,
    /// Names this entry to the others.
    entry: u32,
}

/// Short hash of an upstream's id. Two of a few hundred may share one; each then looks as busy as
/// both.
pub fn short_hash(id: &id::UpstreamId) -> trail::Upstream {
    let hash = (xxh3::xxh3_64(id.as_bytes()) & 0xffff) as u16;
    if hash == trail::NOWHERE { 1 } else { hash }
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
            hold: hold::Options::default(),
            services: Mutex::default(),
            affinity: trail::Trail::default(),
            has_list: AtomicBool::new(false),
            reads: Mutex::new(list::ReadHistory::new(lapse)),
            confirmation: Confirmation::new(confirm),
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
    pub fn lease_again(
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
        let candidate = assign::Candidate::default();
        Some(Lease::take(self, &service, upstream, candidate))
    }

    /// The entry's own calls under way.
    pub fn load(&self) -> service::Load {
        let mut calls = Vec::new();
        for service in self.all_services() {
            let service = service.lock();
            let busy = service
                .upstreams
                .iter()
                .filter(|upstream| upstream.own_calls > 0);
            calls.extend(busy.map(|u| (u.hash, u16::try_from(u.own_calls).unwrap_or(u16::MAX))));
        }
        service::Load {
            entry: self.entry,
            calls,
            relay: None,
        }
    }

    /// Other entries' calls under way, as a replica tells them.
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

    /// Whether no turn of a program is known to have run.
    pub fn is_new_program(&self, lineage: &trail::Lineage) -> bool {
        lineage.program.is_some() && self.affinity.last(lineage).program.is_none()
    }

    /// Where turns of `lineage` ran last, as a replica tells it: newer than what this entry knows
    /// if the last one came in through another.
    pub fn set_last_upstreams(&self, lineage: &trail::Lineage, last: trail::Last) {
        self.affinity.learn(lineage, last);
    }
}
