//! Registry of the sides that this entry uses, with the state of their upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fw_base::id;
use fw_plan::health;
use fw_plan::hedge;
use fw_plan::place;
use fw_plan::retry;
use fw_plan::takeover;
use fw_wire::side;
use parking_lot::Mutex;
use serde::Deserialize;
use smol_str::SmolStr;

use super::pool;

/// One line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// The upstream.
    pub id: id::UpstreamId,
    /// Its service.
    pub service: id::ServiceId,
    /// Its place.
    pub place: id::PlaceId,
    /// Address of the side's calls.
    pub side: SocketAddr,
    /// Address of the side's HTTP port.
    pub http: SocketAddr,
    /// `live` or `leaving`.
    pub state: SmolStr,
}

impl Instance {
    /// Whether the list marks the upstream as leaving.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// State of one service's upstreams, and the policies that decide about them.
#[derive(Debug)]
pub struct Service {
    /// The view of load and caches that placement uses.
    pub view: place::View,
    /// Which upstreams may get new work.
    pub health: health::Health,
    /// The retry budget.
    pub retry: retry::Budget,
    /// Hedging of plain reads.
    pub hedge: hedge::Hedge,
}

impl Service {
    fn new(options: &Options) -> Self {
        Self {
            view: place::View::new(),
            health: health::Health::new(options.health.clone()),
            retry: retry::Budget::new(options.retry.clone()),
            hedge: hedge::Hedge::new(options.hedge.clone()),
        }
    }

    /// Updates the upstream's weight in placement from its health.
    pub fn refresh(&mut self, now: Duration, upstream: &id::UpstreamId) {
        let weight = self.health.decide(now, upstream).weight();
        self.view.set_health(upstream, weight);
    }
}

/// One side.
#[derive(Debug)]
pub struct Side {
    /// Its line in the instance list.
    pub instance: Instance,
    state: Mutex<State>,
}

/// This entry's current view of a side.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The side's incarnation; 0 before its first heartbeat.
    pub incarnation: u64,
    /// Revision of the records in force there.
    pub revision: id::Revision,
    /// Sequence number of the last cache change received.
    pub cache_seen: u64,
    /// Shards of this entry with sessions there.
    pub shards: BTreeSet<id::ShardId>,
    /// Programs whose state the side requested.
    pub queried_programs: Vec<id::ProgramId>,
    /// Its contacts, as a possible holder of turns of any shard; `has_pending_turns` is set for each
    /// shard from `recovering`.
    pub holder: takeover::Holder,
    /// Shards of which the side holds turns that are not in the journal, with the number of queries
    /// for them.
    pub recovering: BTreeMap<id::ShardId, u32>,
    /// The last heartbeat was answered.
    pub reachable: bool,
}

impl Side {
    /// The current state.
    pub fn state(&self) -> State {
        self.state.lock().clone()
    }

    /// Changes the state under its lock.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock())
    }
}

/// Options of the registry.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// When upstreams get no new work.
    pub health: health::Options,
    /// Retries inside the system.
    pub retry: retry::Options,
    /// Hedging of plain reads.
    pub hedge: hedge::Options,
}

/// All sides that this entry uses.
#[derive(Debug)]
pub struct Sides {
    /// Connections to them.
    pub pool: pool::Pool<side::SideClient>,
    options: Options,
    services: Mutex<HashMap<id::ServiceId, Arc<Mutex<Service>>>>,
    sides: Mutex<HashMap<id::UpstreamId, Arc<Side>>>,
    has_list: AtomicBool,
}

/// Difference between two instance lists.
#[derive(Debug, Default)]
pub struct Change {
    /// Sides that are new or have a new address.
    pub added: Vec<Arc<Side>>,
    /// Sides that are gone.
    pub removed: Vec<Arc<Side>>,
}

impl Sides {
    /// A registry without sides.
    pub fn new(options: Options) -> Self {
        Self {
            pool: pool::Pool::new(options.connect_timeout),
            options,
            services: Mutex::default(),
            sides: Mutex::default(),
            has_list: AtomicBool::new(false),
        }
    }

    /// The service of this name; created without upstreams if there is none.
    pub fn service(&self, name: &id::ServiceId) -> Arc<Mutex<Service>> {
        let mut services = self.services.lock();
        if let Some(service) = services.get(name) {
            return Arc::clone(service);
        }
        let service = Arc::new(Mutex::new(Service::new(&self.options)));
        services.insert(name.clone(), Arc::clone(&service));
        service
    }

    /// The side of an upstream.
    pub fn side(&self, upstream: &id::UpstreamId) -> Option<Arc<Side>> {
        self.sides.lock().get(upstream).map(Arc::clone)
    }

    /// All sides.
    pub fn all(&self) -> Vec<Arc<Side>> {
        self.sides.lock().values().map(Arc::clone).collect()
    }

    /// Whether an instance list was received since the start. Before that no side is known, and one
    /// may hold turns that must be recovered before a shard is served.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Acquire)
    }

    /// Number of sides.
    pub fn len(&self) -> usize {
        self.sides.lock().len()
    }

    /// Whether there are no sides.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a new instance list, reduced to the instances that this entry watches.
    ///
    /// An instance missing in the list is kept while it answers heartbeats, since the list may lag.
    pub fn update_list(&self, now: Duration, list: &[Instance]) -> Change {
        let mut change = Change::default();
        let mut sides = self.sides.lock();
        for instance in list {
            let existing = sides.get(&instance.id);
            if existing.is_some_and(|side| same_addresses(&side.instance, instance)) {
                continue;
            }
            let new = Arc::new(Side {
                instance: instance.clone(),
                state: Mutex::default(),
            });
            if let Some(old) = sides.insert(instance.id.clone(), Arc::clone(&new)) {
                change.removed.push(old);
            }
            change.added.push(new);
        }
        sides.retain(|upstream, side| {
            let listed = list.iter().any(|instance| instance.id == *upstream);
            let kept = listed || side.state.lock().reachable;
            if !kept {
                change.removed.push(Arc::clone(side));
            }
            kept
        });
        drop(sides);
        self.has_list.store(true, Ordering::Release);
        self.apply(now, list, &change);
        change
    }

    fn apply(&self, now: Duration, list: &[Instance], change: &Change) {
        for side in &change.removed {
            self.pool.forget(side.instance.side);
            let service = self.service(&side.instance.service);
            service.lock().view.remove(&side.instance.id);
        }
        for side in &change.added {
            let service = self.service(&side.instance.service);
            let mut service = service.lock();
            service.view.add(&side.instance.id, &side.instance.place);
            // Not used until its first heartbeat is answered.
            service.view.set_health(&side.instance.id, 0.0);
        }
        let mut lines: HashMap<&id::ServiceId, Vec<health::ListedUpstream>> = HashMap::new();
        for instance in list {
            let line = health::ListedUpstream {
                upstream: instance.id.clone(),
                leaving: instance.is_leaving(),
            };
            lines.entry(&instance.service).or_default().push(line);
        }
        for (name, lines) in lines {
            let service = self.service(name);
            service.lock().health.update_list(now, &lines);
        }
    }
}

fn same_addresses(one: &Instance, other: &Instance) -> bool {
    one.side == other.side && one.http == other.http
}
