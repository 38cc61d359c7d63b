//! What all requests of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fw_base::{clock, digest, error, id};
use fw_plan::{confirm, lapse, poison, quota, retry, staleness};
use fw_replica::{client, member, record, service};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{fleet, quotas, reading, snapshot, turns};
use crate::names;
use crate::version::config;

/// How long a request waits for an entry that has just started and knows no configuration yet: the
/// replicas of a system that starts as a whole are back within half a second.
const START: Duration = Duration::from_millis(600);

/// Pause between two looks at what others have not been told of quotas.
const TELL: Duration = Duration::from_millis(50);

/// Longest wait for the moments of replicas before a read of the store.
const MOMENTS: Duration = Duration::from_millis(30);

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its data centre.
    pub place: id::PlaceId,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Headers by which callers and upstreams say things.
    pub names: names::HeaderNames,
    /// Where replicas may be found while the platform's store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Where this entry passes connections of others on to replicas.
    pub relay: Option<SocketAddr>,
    /// How old the knowledge of keys may be by which one is accepted; `None` if there is no bound.
    pub keys_stale_after: Option<Duration>,
    /// How requests are counted for teams' quotas.
    pub quota: quota::Options,
    /// How outages of the platform's store are told.
    pub lapse: lapse::Options,
    /// How old the list of upstreams and the configuration may be by which calls are sent.
    pub confirm: confirm::Options,
}

/// What is in force, and whether it is new enough to accept API keys by it.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The configuration.
    pub config: Arc<config::Config>,
    /// Whether keys may be accepted by it.
    pub keys: staleness::Outcome,
}

/// A read of the store that is under way.
#[derive(Clone, Debug, Default)]
struct Asked {
    /// When it was asked, since boot.
    at: Option<Duration>,
    /// Moments of the replicas before it was.
    moments: client::ClockReadings,
}

/// One change that the entry learns of.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Config(Box<config::Config>),
    /// A configuration that cannot be read.
    UnreadableConfig,
    /// Of the list of upstreams.
    Upstream(fleet::Change),
    /// The replicas.
    Members(member::View),
    /// The operator wants a replica emptied.
    Retire(record::ReplicaId),
}

/// The shared state of an entry.
#[derive(Debug)]
pub struct Gate {
    /// What it was told at its start.
    pub opts: Options,
    /// The upstreams.
    pub fleet: Arc<fleet::Fleet>,
    /// The replicas.
    pub replicas: Arc<client::Client>,
    /// Turns seen lately.
    pub turns: turns::Turns,
    config: watch::Sender<Option<Arc<config::Config>>>,
    poison: Mutex<poison::Tracker>,
    retries: Mutex<HashMap<id::ServiceId, retry::Budget>>,
    started: Instant,
    stopping: AtomicBool,
    /// Whether this entry reads the platform's store.
    reading: reading::Reading,
    /// What is passed on by way of the replicas.
    known: Mutex<snapshot::Known>,
    /// The read of the store that is under way.
    asked: Mutex<Asked>,
    /// Up to which moment all changes are known.
    knowledge: watch::Sender<staleness::KeyFreshness>,
    /// What teams may send.
    pub quotas: Arc<quotas::Quotas>,
}

impl Gate {
    /// Knows nothing yet.
    pub fn new(opts: Options) -> Arc<Self> {
        let place = opts.place.clone();
        let fleet = fleet::Fleet::new(place, opts.lapse.clone(), opts.confirm.clone());
        let knowledge = staleness::KeyFreshness::new(opts.keys_stale_after);
        Arc::new(Self {
            reading: reading::Reading::new(fleet.entry()),
            fleet,
            replicas: client::Client::new(opts.faults, opts.seeds.clone()),
            turns: turns::Turns::default(),
            config: watch::Sender::default(),
            poison: Mutex::new(poison::Tracker::new(poison::Options::default())),
            retries: Mutex::default(),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            known: Mutex::default(),
            asked: Mutex::default(),
            knowledge: watch::Sender::new(knowledge),
            quotas: quotas::Quotas::new(opts.quota),
            opts,
        })
    }

    /// Takes what was read from the platform's store, unless another entry's newer read was heard of
    /// meanwhile.
    pub fn apply(&self, step: fw_follow::Step<Change>) {
        // Held to the end, so that what others read is taken before or after, not between.
        let mut known = self.known.lock();
        match step {
            fw_follow::Step::Lost => {}
            fw_follow::Step::Whole { as_of, .. } | fw_follow::Step::News { as_of, .. }
                if as_of < known.as_of() =>
            {
                let known = known.as_of();
                tracing::info!(
                    as_of,
                    known,
                    "a read of the store is older than what is known"
                );
                self.reading.has_read();
                self.prove();
            }
            fw_follow::Step::Whole { changes, as_of } => {
                let listed = self.take(changes, &mut known).into_iter();
                let list = fleet::List::Whole(listed.filter_map(fleet::Change::listed).collect());
                self.fleet.apply(Some(fleet::Read::own(as_of)), list);
                self.post(as_of, &mut known);
            }
            fw_follow::Step::News { changes, as_of } => {
                let list = fleet::List::Changes(self.take(changes, &mut known));
                self.fleet.apply(Some(fleet::Read::own(as_of)), list);
                self.post(as_of, &mut known);
            }
        }
    }

    /// Takes all changes but those of the list of upstreams, which are returned.
    fn take(&self, changes: Vec<Change>, known: &mut snapshot::Known) -> Vec<fleet::Change> {
        let mut list = Vec::new();
        for change in changes {
            match change {
                Change::Upstream(change) => list.push(change),
                Change::Config(config) => {
                    known.found_config(true);
                    self.configure(*config);
                }
                Change::UnreadableConfig => known.found_config(false),
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

    /// All changes are known that the store had acknowledged when it was asked last.
    fn prove(&self) {
        if let Some(at) = self.asked.lock().at {
            self.proven(at);
        }
    }

    /// The read under way brings no proof: calls do not wait for it.
    fn proves_nothing(&self) {
        if let Some(asked) = self.asked.lock().at {
            self.fleet.proof.failed(asked);
        }
    }

    /// All changes are known that the store had acknowledged at `asked`, since boot.
    fn proven(&self, asked: Duration) {
        self.fleet.proof.prove(asked);
        self.knowledge
            .send_modify(|knowledge| knowledge.confirm(asked));
    }

    /// Tells the replicas that the store was read, and what has changed. A read of what this entry cannot
    /// decode proves nothing, and another entry may know how.
    fn post(&self, as_of: fw_follow::Revision, known: &mut snapshot::Known) {
        let config = self.config().filter(|_| known.knows_config());
        let Some(config) = config else {
            return self.proves_nothing();
        };
        let upstreams = self.fleet.listing();
        let changed = known.read(as_of, &config, &upstreams);
        self.reading.has_read();
        self.prove();
        let post = service::Publish {
            entry: self.fleet.entry(),
            as_of,
            requested_at: None,
            digests: known.marks(),
            changed,
        };
        let moments = self.asked.lock().moments.clone();
        self.replicas.publish(&post, &moments, known.whole(config));
    }

    /// Waits until this entry has to read the store.
    pub async fn turn_to_read(&self) -> fw_follow::Due {
        let is_wanted = tokio::select! {
            () = self.reading.turn() => false,
            () = self.fleet.proof.wanted() => true,
        };
        self.replicas.read_clocks(MOMENTS).await;
        *self.asked.lock() = Asked {
            at: Some(clock::since_boot()),
            moments: self.replicas.clock_readings(),
        };
        fw_follow::Due {
            known: self.known.lock().as_of(),
            is_wanted,
        }
    }

    /// Hears from the replicas what other entries read, for ever.
    pub async fn hear_others(self: Arc<Self>) {
        loop {
            let known = self.known.lock().known();
            let asked = clock::since_boot();
            let is_first = self.config().is_none();
            let mut news = None;
            if !is_first {
                news = self.replicas.await_update(known, snapshot::AWAIT).await;
            }
            if let Some(news) = news {
                if !self.hear(&news, asked) {
                    tokio::time::sleep(snapshot::ASK_FIRST).await;
                }
                continue;
            }
            // The nearest does not answer, or none is known.
            let asked = clock::since_boot();
            if let Some(news) = self.replicas.fetch_update(known).await {
                self.hear(&news, asked);
            }
            let pause = match is_first {
                true => snapshot::ASK_FIRST,
                false => snapshot::ASK,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Tells the replicas for ever what this entry has let through of teams with a quota, where the next
    /// turn would tell it too late.
    pub async fn tell_quotas(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TELL).await;
            let Some(config) = self.config() else {
                continue;
            };
            let teams = config.teams.as_ref();
            let due = self.quotas.due(teams.map_or(&[], |teams| teams.all()));
            let entry = self.fleet.entry();
            let heard =
                |spent: &service::TeamUsage, known: &_| self.quotas.heard(&spent.team, known);
            tokio::join!(
                self.replicas
                    .report_usage(entry, &due.tell, client::Reach::All, heard),
                self.replicas
                    .report_usage(entry, &due.ask, client::Reach::Nearest, heard),
            );
        }
    }

    /// Takes what a replica tells that was asked at `asked`, since boot. Returns whether all is known
    /// now that the replica knows.
    pub fn hear(&self, news: &service::Update, asked: Duration) -> bool {
        let last = news.last_read;
        let mut known = self.known.lock();
        let Some(told) = known.hear(news) else {
            return false;
        };
        let as_of = known.known().as_of;
        if let Some(config) = told.config {
            let version = config.version;
            tracing::info!(version, as_of, ?last, "told by a replica");
            self.configure(config);
        }
        if let Some(reads) = news.reads {
            self.fleet.note_reads(reads.first, reads.last);
        }
        let whole = last.filter(|_| told.is_whole);
        let read = whole.map(|last| fleet::Read {
            as_of: last.as_of,
            ago: last.ago,
        });
        let list = told.upstreams.map_or_else(
            || fleet::List::Changes(Vec::new()),
            |upstreams| {
                let listed = upstreams.len();
                tracing::info!(listed, as_of, ?last, "told by a replica");
                fleet::List::Whole(upstreams)
            },
        );
        self.fleet.apply(read, list);
        let Some(last) = whole else { return false };
        self.reading.heard(last.by, last.ago);
        // The answer was made so long after the question, at least.
        let told_at = asked + news.held_for;
        if let Some(read) = last.asked.and_then(|ago| told_at.checked_sub(ago)) {
            self.proven(read);
        }
        true
    }

    /// Puts `config` in force unless a newer one is.
    pub fn configure(&self, config: config::Config) {
        self.config.send_if_modified(|known| {
            let newest = known.as_ref().map_or(0, |known| known.version);
            if config.version <= newest && known.is_some() {
                return false;
            }
            tracing::info!(
                version = config.version,
                from = newest,
                routes = config.routes.len(),
                "configuration in force"
            );
            *known = Some(Arc::new(config));
            true
        });
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<config::Config>> {
        self.config.borrow().clone()
    }

    /// The configuration in force, also if it is about to be read: that takes an entry some ten
    /// milliseconds from its start, or some hundred if it has to wait for a replica that tells it.
    ///
    /// *Failure:* after a loss of all power, callers wait in the queue of the entry's socket. Refused
    /// in its first moment, they used up the few attempts that they make, and gave up before the
    /// entry could have served them. They are not refused before [`START`] is over.
    pub async fn config_soon(&self) -> Option<Arc<config::Config>> {
        // Nearly always: no request but an entry's first ones has to wait.
        if let Some(known) = self.config() {
            return Some(known);
        }
        let mut config = self.config.subscribe();
        let known = tokio::time::timeout(START, config.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    /// What is in force, also if it is about to be read, as for [`Self::config_soon`], or is known only from
    /// some time ago.
    pub async fn in_force_soon(&self) -> Option<InForce> {
        self.config_soon().await?;
        self.fleet.proof.confirm().await;
        let keys = self.keys_soon().await;
        // Read after the proof, and so at least as new.
        let config = self.config()?;
        Some(InForce { config, keys })
    }

    /// Whether keys may be accepted. An entry that has just started waits until it has read the store.
    async fn keys_soon(&self) -> staleness::Outcome {
        let is_fresh = |knowledge: &staleness::KeyFreshness| {
            knowledge.decide(clock::since_boot()) == staleness::Outcome::Fresh
        };
        let left = START.saturating_sub(self.now());
        if !left.is_zero() {
            let mut knowledge = self.knowledge.subscribe();
            // Over without news, what is known decides.
            let _ = tokio::time::timeout(left, knowledge.wait_for(is_fresh)).await;
        }
        self.knowledge.borrow().decide(clock::since_boot())
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let config = self.config();
        let has_teams = config.as_ref().is_some_and(|config| config.teams.is_some());
        let keys = self.knowledge.borrow().decide(clock::since_boot());
        let is_fresh = !has_teams || keys == staleness::Outcome::Fresh;
        let known = config.is_some() && self.fleet.is_known();
        known && is_fresh && self.replicas.epoch() > 0 && !self.is_stopping()
    }

    /// From now on connections are closed with their next answer.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether requests like this crashed upstreams before.
    ///
    /// # Errors
    ///
    /// `UpstreamCrashed` when it must not be sent to another.
    pub fn check_poison(&self, fingerprint: &digest::Digest) -> Result<(), error::Error> {
        let now = self.now();
        match self.poison.lock().decide(now, fingerprint) {
            poison::Outcome::Refused(_) => Err(error::Error::new(
                error::Kind::UpstreamCrashed,
                "requests like this one crashed the upstreams that ran them",
            )),
            poison::Outcome::Normal | poison::Outcome::Alone { .. } => Ok(()),
        }
    }

    /// `upstream` crashed while it ran a request like this.
    pub fn crashed(&self, upstream: &id::UpstreamId, fingerprint: digest::Digest) {
        let now = self.now();
        self.poison
            .lock()
            .record_crash(now, upstream, fingerprint, false);
    }

    /// A request like this ran to its end.
    pub fn survived(&self, fingerprint: &digest::Digest) {
        self.poison.lock().record_success(fingerprint);
    }

    /// A call to `service` is sent for the first time.
    pub fn earn_retry(&self, service: &id::ServiceId) {
        self.with_retries(service, retry::Budget::deposit);
    }

    /// Whether a failed attempt is made again.
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
                // Most failures here are refusals that another upstream can take at once.
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

/// When an entry reads the platform's store.
#[derive(Debug)]
pub struct Schedule(pub Arc<Gate>);

impl fw_follow::Schedule for Schedule {
    async fn due(&self) -> fw_follow::Due {
        self.0.turn_to_read().await
    }

    async fn wanted(&self) {
        self.0.fleet.proof.wanted().await;
    }

    fn failed(&self) {
        self.0.proves_nothing();
    }

    fn unanswered(&self) {
        if let Some(asked) = self.0.asked.lock().at {
            self.0.fleet.proof.unanswered(asked);
        }
    }
}
