//! The state that all requests of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fw_base::{clock, error, id};
use fw_plan::{confirm, intake, lapse, quota, retry, staleness, start_order};
use fw_replica::{client, member, record, service};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{
    features, first_calls, fleet, held_bytes, memory, quarantine, quotas, read_schedule, shares,
    snapshot, startup, turn_cache,
};
use crate::names;
use crate::version::config;

/// How long a request waits for the configuration on an entry that has just started: when the whole
/// system starts, the replicas are back within half a second.
pub(super) const STARTUP_WAIT: Duration = Duration::from_millis(600);

/// Interval at which teams are checked for quota usage that is due to be reported.
const QUOTA_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the replicas' clock readings that are requested before a read of the store.
const CLOCK_READING_TIMEOUT: Duration = Duration::from_millis(30);

/// Settings of an entry's shared state.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's data centre.
    pub place: id::PlaceId,
    /// Number of disks whose simultaneous loss must be survived.
    pub faults: usize,
    /// Names of the headers that callers and upstreams use.
    pub names: names::HeaderNames,
    /// Addresses at which replicas are looked up while the platform's store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Address at which this entry relays other entries' connections to replicas.
    pub relay: Option<SocketAddr>,
    /// Age of the configuration above which no API key is accepted; `None` for no bound.
    pub keys_stale_after: Option<Duration>,
    /// How requests are counted for teams' quotas.
    pub quota: quota::Options,
    /// How outages of the platform's store are detected.
    pub lapse: lapse::Options,
    /// How old the list of upstreams and the configuration may be when a call is sent.
    pub confirm: confirm::Options,
    /// The parts of load control that are on.
    pub features: features::Options,
}

/// The configuration in force, and whether it is fresh enough for API keys to be accepted.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: Arc<config::Config>,
    /// Whether its keys may be accepted.
    pub key_freshness: staleness::Outcome,
}

/// The last read of the store that was requested.
#[derive(Clone, Debug, Default)]
struct PendingRead {
    /// When it was requested, since boot.
    requested_at: Option<Duration>,
    /// The replicas' clocks before the request.
    clock_readings: client::ClockReadings,
}

/// A change read from the platform's store.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration.
    Config(Box<config::Config>),
    /// A configuration that cannot be decoded.
    UnreadableConfig,
    /// A change of the list of upstreams.
    Upstream(fleet::Change),
    /// The list of replicas.
    Members(member::View),
    /// A replica that the operator retires: its data moves to the others.
    Retire(record::ReplicaId),
}

/// The shared state of an entry.
#[derive(Debug)]
pub struct Gate {
    /// Settings.
    pub opts: Options,
    /// The upstreams.
    pub fleet: Arc<fleet::Fleet>,
    /// The replicas.
    pub replicas: Arc<client::Client>,
    /// Recently used turns.
    pub turns: turn_cache::TurnCache,
    config: watch::Sender<Option<Arc<config::Config>>>,
    /// Requests that have crashed upstreams.
    pub quarantine: Arc<quarantine::Quarantine>,
    retries: Mutex<HashMap<id::ServiceId, retry::Budget>>,
    started: Instant,
    stopping: AtomicBool,
    /// When this entry reads the platform's store.
    read_schedule: read_schedule::ReadSchedule,
    /// The store's content as exchanged with other entries through the replicas.
    snapshot: Mutex<snapshot::Cache>,
    /// The last read of the store that was requested.
    pending_read: Mutex<PendingRead>,
    /// Time up to which the configuration is confirmed to be complete.
    key_freshness: watch::Sender<staleness::KeyFreshness>,
    /// The teams' quota accounts.
    pub quotas: Arc<quotas::Quotas>,
    /// The calls that are prepared shortly after the entry's start.
    first_calls: Arc<first_calls::FirstCalls>,
    /// Bytes held for callers, while they are bounded.
    pub held: Arc<held_bytes::HeldBytes>,
    /// What the entry holds, and whether it takes on another request.
    pub memory: Arc<memory::Memory>,
    /// The steps of the entry's start.
    pub startup: startup::Startup,
    /// The teams' fair shares.
    pub shares: shares::Shares,
}

impl Gate {
    /// Creates the state of an entry that has no configuration, upstreams or replicas yet.
    pub fn new(opts: Options) -> Arc<Self> {
        let place = opts.place.clone();
        let features = features::Features::new(opts.features.clone());
        let fleet = fleet::Fleet::new(place, opts.lapse.clone(), opts.confirm.clone(), features);
        let key_freshness = staleness::KeyFreshness::new(opts.keys_stale_after);
        let replicas = client::Client::new(opts.faults, opts.seeds.clone());
        replicas.set_place(opts.place.clone());
        let intake = opts.features.intake();
        if let Some(intake) = &intake {
            replicas.set_max_calls(intake.max_replica_calls);
        }
        let memory = memory::Memory::new(intake);
        Arc::new(Self {
            read_schedule: read_schedule::ReadSchedule::new(fleet.entry()),
            fleet,
            quarantine: quarantine::Quarantine::new(Arc::clone(&replicas), opts.faults),
            replicas,
            turns: turn_cache::TurnCache::default(),
            config: watch::Sender::default(),
            retries: Mutex::default(),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            snapshot: Mutex::default(),
            pending_read: Mutex::default(),
            key_freshness: watch::Sender::new(key_freshness),
            quotas: quotas::Quotas::new(opts.quota),
            first_calls: first_calls::FirstCalls::new(start_order::Options::default()),
            held: held_bytes::HeldBytes::new(held_bytes::options(
                opts.features.max_held_bytes,
                opts.features.instance_memory,
            )),
            memory,
            startup: startup::Startup::new(clock::process_start()),
            shares: shares::Shares::default(),
            opts,
        })
    }

    /// Applies a read of the platform's store, unless the replicas have delivered another entry's newer
    /// read in the meantime.
    pub fn apply(&self, event: fw_follow::Event<Change>) {
        // Held until the end, so that an update from the replicas is applied before or after, not between.
        let mut cache = self.snapshot.lock();
        match event {
            fw_follow::Event::Unavailable => {}
            fw_follow::Event::Snapshot { as_of, .. } | fw_follow::Event::Update { as_of, .. }
                if as_of < cache.as_of() =>
            {
                let known = cache.as_of();
                tracing::info!(
                    as_of,
                    known,
                    "a read of the store is older than the current state; not applied"
                );
                self.read_schedule.note_own_read();
                self.confirm_pending_read();
            }
            fw_follow::Event::Snapshot { changes, as_of } => {
                let listed = self.apply_changes(changes, &mut cache).into_iter();
                let list = fleet::ListUpdate::Full(
                    listed.filter_map(fleet::Change::into_listed).collect(),
                );
                self.fleet.apply(Some(fleet::StoreRead::own(as_of)), list);
                self.startup.reach(startup::Step::List);
                self.publish_read(as_of, &mut cache);
            }
            fw_follow::Event::Update { changes, as_of } => {
                let list = fleet::ListUpdate::Changes(self.apply_changes(changes, &mut cache));
                self.fleet.apply(Some(fleet::StoreRead::own(as_of)), list);
                self.publish_read(as_of, &mut cache);
            }
        }
    }

    /// Applies all changes except those of the list of upstreams, which are returned.
    fn apply_changes(
        &self,
        changes: Vec<Change>,
        cache: &mut snapshot::Cache,
    ) -> Vec<fleet::Change> {
        let mut list = Vec::new();
        for change in changes {
            match change {
                Change::Upstream(change) => list.push(change),
                Change::Config(config) => {
                    cache.set_config_decodable(true);
                    self.configure(*config);
                }
                Change::UnreadableConfig => cache.set_config_decodable(false),
                Change::Members(view) => {
                    if self.replicas.update_view(view) {
                        self.replicas.announce_members();
                    }
                }
                Change::Retire(replica) => self.replicas.announce_retire(replica),
            }
        }
        list
    }

    /// Records that this entry has all changes that the store had acknowledged when the last read was
    /// requested.
    fn confirm_pending_read(&self) {
        if let Some(at) = self.pending_read.lock().requested_at {
            self.confirm_read(at);
        }
    }

    /// Records that the last read confirms nothing, so that calls do not wait for it.
    fn fail_pending_read(&self) {
        if let Some(requested_at) = self.pending_read.lock().requested_at {
            self.fleet.confirmation.record_failure(requested_at);
        }
    }

    /// Records that this entry has all changes that the store had acknowledged at `requested_at`, since
    /// boot.
    fn confirm_read(&self, requested_at: Duration) {
        self.fleet.confirmation.record_read(requested_at);
        self.key_freshness
            .send_modify(|key_freshness| key_freshness.confirm(requested_at));
        self.startup.reach(startup::Step::Fresh);
    }

    /// Publishes to the replicas that the store was read, with the changes. A read whose configuration this
    /// entry cannot decode confirms nothing and is not published: another entry may be able to decode it.
    fn publish_read(&self, as_of: fw_follow::Revision, cache: &mut snapshot::Cache) {
        let config = self.config().filter(|_| cache.has_decodable_config());
        let Some(config) = config else {
            return self.fail_pending_read();
        };
        let upstreams = self.fleet.listing();
        let is_first = cache.as_of() == 0;
        let changed = cache.record_read(as_of, &config, &upstreams);
        self.read_schedule.note_own_read();
        self.confirm_pending_read();
        let publish = service::Publish {
            entry: self.fleet.entry(),
            as_of,
            requested_at: None,
            digests: cache.digests(),
            // Replicas have the same parts on disk as a rule, and one that lacks some asks for all: after a loss of
            // all instances, every entry would send every replica the whole configuration.
            changed: if is_first {
                service::Snapshot::default()
            } else {
                changed
            },
        };
        let clock_readings = self.pending_read.lock().clock_readings.clone();
        self.replicas
            .publish(&publish, &clock_readings, cache.full_snapshot(config));
    }

    /// Waits until this entry has to read the store, and prepares the read.
    pub async fn wait_read_due(&self) -> fw_follow::Due {
        let is_urgent = tokio::select! {
            () = self.read_schedule.wait_due() => false,
            () = self.fleet.confirmation.wait_needed() => true,
        };
        self.replicas.read_clocks(CLOCK_READING_TIMEOUT).await;
        *self.pending_read.lock() = PendingRead {
            requested_at: Some(clock::since_boot()),
            clock_readings: self.replicas.clock_readings(),
        };
        fw_follow::Due {
            received_revision: self.snapshot.lock().as_of(),
            is_urgent,
        }
    }

    /// Fetches other entries' reads of the store from the replicas; never returns.
    pub async fn poll_replicas(self: Arc<Self>) {
        loop {
            self.replicas
                .set_locality(self.fleet.features.stored_turns());
            let version = self.snapshot.lock().known_version();
            let requested_at = clock::since_boot();
            let is_first = self.config().is_none();
            let mut update = None;
            if !is_first {
                update = self
                    .replicas
                    .await_update(version, snapshot::UPDATE_WAIT)
                    .await;
            }
            if let Some(update) = update {
                if !self.apply_update(&update, requested_at) {
                    tokio::time::sleep(snapshot::STARTUP_POLL_INTERVAL).await;
                }
                continue;
            }
            // The nearest replica does not answer, or there is no list of replicas yet.
            let requested_at = clock::since_boot();
            if let Some(update) = self.replicas.fetch_update(version).await {
                self.apply_update(&update, requested_at);
            }
            let pause = match is_first {
                true => snapshot::STARTUP_POLL_INTERVAL,
                false => snapshot::POLL_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Reports this entry's usage of teams' quotas to the replicas, for teams whose next turn would report
    /// it too late; never returns.
    pub async fn report_quotas(self: Arc<Self>) {
        loop {
            tokio::time::sleep(QUOTA_REPORT_INTERVAL).await;
            let Some(config) = self.config() else {
                continue;
            };
            let teams = config.teams.as_ref();
            let due = self.quotas.due(teams.map_or(&[], |teams| teams.all()));
            let entry = self.fleet.entry();
            let merge =
                |usage: &service::TeamUsage, summary: &_| self.quotas.merge(&usage.team, summary);
            tokio::join!(
                self.replicas
                    .report_usage(entry, &due.report, client::Reach::All, merge),
                self.replicas
                    .report_usage(entry, &due.query, client::Reach::Nearest, merge),
            );
        }
    }

    /// Applies a replica's `update` that was requested at `requested_at`, since boot. Returns whether this
    /// entry now has everything that the replica has.
    pub fn apply_update(&self, update: &service::Update, requested_at: Duration) -> bool {
        let last = update.last_read;
        let mut cache = self.snapshot.lock();
        let Some(decoded) = cache.apply_update(update) else {
            return false;
        };
        let as_of = cache.known_version().as_of;
        if let Some(config) = decoded.config {
            let version = config.version;
            tracing::info!(version, as_of, ?last, "update received from a replica");
            self.configure(config);
        }
        if let Some(reads) = update.reads {
            self.fleet.note_reads(reads.first, reads.last);
        }
        let complete = last.filter(|_| decoded.is_complete);
        let read = complete.map(|last| fleet::StoreRead {
            as_of: last.as_of,
            ago: last.ago,
        });
        let list = decoded.upstreams.map_or_else(
            || fleet::ListUpdate::Changes(Vec::new()),
            |upstreams| {
                let listed = upstreams.len();
                tracing::info!(listed, as_of, ?last, "update received from a replica");
                fleet::ListUpdate::Full(upstreams)
            },
        );
        self.fleet.apply(read, list);
        if self.fleet.has_list() {
            self.startup.reach(startup::Step::List);
        }
        let Some(last) = complete else { return false };
        self.read_schedule.note_reported_read(last.by, last.ago);
        // The replica held the request for at least this long before it answered.
        let answered_at = requested_at + update.held_for;
        if let Some(read) = last.asked.and_then(|ago| answered_at.checked_sub(ago)) {
            self.confirm_read(read);
        }
        true
    }

    /// Puts `config` in force unless its version is already in force or a newer one is.
    pub fn configure(&self, config: config::Config) {
        self.config.send_if_modified(|current| {
            let newest = current.as_ref().map_or(0, |current| current.version);
            if config.version <= newest && current.is_some() {
                return false;
            }
            tracing::info!(
                version = config.version,
                from = newest,
                routes = config.routes.len(),
                "configuration in force"
            );
            *current = Some(Arc::new(config));
            true
        });
        self.startup.reach(startup::Step::Config);
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<config::Config>> {
        self.config.borrow().clone()
    }

    /// Time since the request of the last read by which the configuration is known to be complete; `None` if
    /// there was none yet.
    pub fn config_age(&self) -> Option<Duration> {
        self.fleet.confirmation.age()
    }

    /// Returns the configuration in force; waits for it on an entry that has just started. An entry has one
    /// some ten milliseconds after its start, or some hundred if it has to wait for a replica to deliver it.
    ///
    /// *Failure:* after a loss of all power, callers wait in the backlog of the entry's socket. If the entry
    /// refused them right after its start, they would use up their few attempts and give up before it could
    /// serve them. They are not refused before [`STARTUP_WAIT`] has passed.
    pub async fn await_config(&self) -> Option<Arc<config::Config>> {
        // The usual case: only the first requests of an entry have to wait.
        if let Some(config) = self.config() {
            return Some(config);
        }
        let mut config = self.config.subscribe();
        let result = tokio::time::timeout(STARTUP_WAIT, config.wait_for(Option::is_some)).await;
        result.ok()?.ok()?.clone()
    }

    /// Returns the configuration in force once it is confirmed to be current, or cannot be confirmed in time;
    /// waits for the first one as [`Self::await_config`] does.
    pub async fn await_active_config(&self) -> Option<ActiveConfig> {
        self.await_config().await?;
        self.fleet.confirmation.wait().await;
        let key_freshness = self.await_key_freshness().await;
        // Taken after the confirmation, so it is at least as new as the confirmed one.
        let config = self.config()?;
        Some(ActiveConfig {
            config,
            key_freshness,
        })
    }

    /// Bytes held for calls to replicas.
    pub fn replica_call_bytes(&self) -> usize {
        self.replicas.calls() * intake::CALL_BYTES
    }

    /// Takes on a request with a body of `body` bytes.
    ///
    /// # Errors
    ///
    /// `Overloaded` when the entry holds too much to take it on.
    pub fn admit_request(
        &self,
        begins: bool,
        body: usize,
        deadline: Option<Duration>,
    ) -> Result<memory::Request, error::Error> {
        let others = self.held.held() + self.replica_call_bytes();
        self.memory.admit(begins, body, others, deadline)
    }

    /// Counts a call that is prepared from now on; `None` if calls are not ordered, or no longer.
    pub fn enter_first_calls(
        &self,
        class: impl FnOnce() -> start_order::Class,
    ) -> Option<Arc<first_calls::Preparing>> {
        let features = &self.fleet.features;
        let is_ordered = features.fair_admission() || features.locality();
        if !is_ordered || self.first_calls.is_over() {
            return None;
        }
        Some(self.first_calls.enter(class()))
    }

    /// Returns whether keys may be accepted. An entry that has just started waits until it has read the store.
    async fn await_key_freshness(&self) -> staleness::Outcome {
        let is_fresh = |key_freshness: &staleness::KeyFreshness| {
            key_freshness.decide(clock::since_boot()) == staleness::Outcome::Fresh
        };
        let left = STARTUP_WAIT.saturating_sub(self.now());
        if !left.is_zero() {
            let mut key_freshness = self.key_freshness.subscribe();
            // After a timeout the current state decides.
            let _ = tokio::time::timeout(left, key_freshness.wait_for(is_fresh)).await;
        }
        self.key_freshness.borrow().decide(clock::since_boot())
    }

    /// Whether callers may be routed to this entry.
    pub fn is_ready(&self) -> bool {
        let config = self.config();
        let has_teams = config.as_ref().is_some_and(|config| config.teams.is_some());
        let freshness = self.key_freshness.borrow().decide(clock::since_boot());
        let is_fresh = !has_teams || freshness == staleness::Outcome::Fresh;
        let has_state = config.is_some() && self.fleet.has_list();
        has_state && is_fresh && self.replicas.epoch() > 0 && !self.is_stopping()
    }

    /// Begins the shutdown: from now on each connection is closed after its next answer.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Time since the start of this entry.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds to the retry budget of `service` for the first attempt of a call.
    pub fn earn_retry(&self, service: &id::ServiceId) {
        self.with_retries(service, retry::Budget::deposit);
    }

    /// Decides whether a failed attempt is followed by another.
    pub fn decide_retry(
        &self,
        service: &id::ServiceId,
        failure: &retry::Failure,
    ) -> retry::Outcome {
        let now = self.now();
        self.with_retries(service, |budget| {
            budget.decide(now, failure, &mut rand::rng())
        })
    }

    fn with_retries<T>(
        &self,
        service: &id::ServiceId,
        with: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let mut retries = self.retries.lock();
        let budget = retries.entry(service.clone()).or_insert_with(|| {
            retry::Budget::new(retry::Options {
                // Most failures are refusals of calls that another upstream can run at once.
                base_delay: Duration::from_millis(4),
                max_delay: Duration::from_millis(100),
                max_attempts: 4,
                ratio: 0.3,
                burst: 30.0,
                refill_per_second: 3.0,
            })
        });
        with(budget)
    }
}

/// The schedule by which [`fw_follow`] reads the platform's store for a [`Gate`].
#[derive(Debug)]
pub struct Schedule(pub Arc<Gate>);

impl fw_follow::Schedule for Schedule {
    async fn wait_due(&self) -> fw_follow::Due {
        self.0.wait_read_due().await
    }

    async fn wait_urgent(&self) {
        self.0.fleet.confirmation.wait_needed().await;
    }

    fn read_failed(&self) {
        self.0.fail_pending_read();
    }

    fn read_unanswered(&self) {
        if let Some(requested_at) = self.0.pending_read.lock().requested_at {
            self.0.fleet.confirmation.record_unanswered(requested_at);
        }
    }
}
