//! What all requests of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fw_base::{digest, error, id};
use fw_plan::{poison, retry};
use fw_replica::{client, member, record};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{fleet, snapshot, turns};
use crate::names;
use crate::version::config;

/// How long a request waits for an entry that has just started and knows no configuration yet: the
/// replicas of a system that starts as a whole are back within half a second.
const START: Duration = Duration::from_millis(600);

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its data centre.
    pub place: id::PlaceId,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Headers by which callers and upstreams say things.
    pub names: names::Names,
    /// Where replicas may be found while the platform's store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Where this entry passes connections of others on to replicas.
    pub relay: Option<SocketAddr>,
}

/// One change that the entry learns of.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Config(Box<config::Config>),
    /// An upstream is there, or has changed.
    Upstream(fleet::Listed),
    /// An upstream is no longer listed, or its entry cannot be used.
    UpstreamGone(id::UpstreamId),
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
    poison: Mutex<poison::Poison>,
    retries: Mutex<HashMap<id::ServiceId, retry::Budget>>,
    started: Instant,
    stopping: AtomicBool,
    /// Whether the platform's store answers.
    in_touch: AtomicBool,
    /// What the replicas were told last, or told.
    snapshot: Mutex<snapshot::Posted>,
}

impl Gate {
    /// Knows nothing yet.
    pub fn new(opts: Options) -> Arc<Self> {
        Arc::new(Self {
            fleet: fleet::Fleet::new(opts.place.clone()),
            replicas: client::Client::new(opts.faults, opts.seeds.clone()),
            opts,
            turns: turns::Turns::default(),
            config: watch::Sender::default(),
            poison: Mutex::new(poison::Poison::new(poison::Options::default())),
            retries: Mutex::default(),
            started: Instant::now(),
            stopping: AtomicBool::new(false),
            in_touch: AtomicBool::new(false),
            snapshot: Mutex::default(),
        })
    }

    /// Takes what was read from the platform's store.
    pub fn apply(&self, step: fw_follow::Step<Change>) {
        match step {
            fw_follow::Step::Lost => self.in_touch.store(false, Ordering::Relaxed),
            fw_follow::Step::Whole {
                changes,
                settled,
                as_of,
            } => {
                let mut listed = Vec::new();
                for change in changes {
                    match change {
                        Change::Upstream(upstream) => listed.push(upstream),
                        other => self.change(other, settled),
                    }
                }
                self.fleet.replace(listed, settled);
                self.in_touch.store(true, Ordering::Relaxed);
                self.post(as_of);
            }
            fw_follow::Step::News {
                changes,
                settled,
                as_of,
            } => {
                for change in changes {
                    self.change(change, settled);
                }
                self.post(as_of);
            }
        }
    }

    fn change(&self, change: Change, settled: bool) {
        match change {
            Change::Config(config) => self.configure(*config),
            Change::Upstream(listed) => self.fleet.put(listed),
            Change::UpstreamGone(id) if settled => self.fleet.remove(&id),
            // Listed again within moments, or missing from the next whole list.
            Change::UpstreamGone(_) => {}
            Change::Members(view) => {
                if self.replicas.learn(view) {
                    // New members lack what was posted before.
                    self.snapshot.lock().forget();
                    self.replicas.tell();
                }
            }
            Change::Retire(replica) => self.replicas.tell_retire(replica),
        }
    }

    /// Gives the replicas what is known from the store, if that has changed.
    fn post(&self, as_of: fw_follow::Revision) {
        let Some(config) = self.config() else { return };
        let known = snapshot::Snapshot {
            config: config.as_ref().clone(),
            upstreams: self.fleet.listing(),
        };
        let bulletin = self.snapshot.lock().news(as_of, &known);
        if let Some(bulletin) = bulletin {
            self.replicas.post(&bulletin);
        }
    }

    /// Asks the replicas for what other entries know, for as long as the platform's store does not
    /// answer.
    pub async fn ask_others(self: Arc<Self>) {
        loop {
            let pause = match self.config() {
                Some(_) => snapshot::ASK,
                None => snapshot::ASK_FIRST,
            };
            tokio::time::sleep(pause).await;
            if self.in_touch.load(Ordering::Relaxed) {
                continue;
            }
            let after = self.snapshot.lock().as_of();
            let Some(bulletin) = self.replicas.news(after).await else {
                continue;
            };
            let Some(known) = self.snapshot.lock().read(&bulletin) else {
                continue;
            };
            // The store may have answered in the meantime; what it says is newer.
            if self.in_touch.load(Ordering::Relaxed) {
                continue;
            }
            tracing::info!(
                as_of = bulletin.as_of,
                version = known.config.version,
                "told by the replicas"
            );
            self.configure(known.config);
            self.fleet.replace(known.upstreams, true);
        }
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

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.fleet.is_known();
        known && self.replicas.epoch() > 0 && !self.is_stopping()
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
            .crashed(now, upstream, fingerprint, false);
    }

    /// A request like this ran to its end.
    pub fn survived(&self, fingerprint: &digest::Digest) {
        self.poison.lock().survived(fingerprint);
    }

    /// A call to `service` is sent for the first time.
    pub fn earn_retry(&self, service: &id::ServiceId) {
        self.with_retries(service, retry::Budget::earn);
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
                base: Duration::from_millis(4),
                cap: Duration::from_millis(100),
                attempts: 4,
                ratio: 0.3,
                burst: 30.0,
                trickle: 3.0,
            })
        });
        with(budget)
    }
}
