//! The calls that a replica answers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::join_all;
use fw_plan::{lapse, quota};
use parking_lot::Mutex;
use tokio::sync::watch;

mod snapshot;

use crate::{
    affinity, entry_load, journal, ledger, member, record, service, state, team_usage, writer,
};

/// Most turns of a chain in one answer. Longer chains are read in several.
const CHAIN: usize = 256;

/// Charges carried to the newest segment at a time, a few syncs: other records find room in the
/// writer's queue.
const CARRY: usize = 512;

/// How long a replica counts as standing by after it asked: it does so once a second.
const STANDS_BY: Duration = Duration::from_secs(3);

/// The time of day.
pub fn unix_ms() -> record::UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // Before 1970 no record can be older than another, which keeps all of them.
    since.unwrap_or(Duration::ZERO).as_millis() as record::UnixMs
}

/// What a replica is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// How its journal is kept.
    pub journal: journal::Options,
    /// How outages of the platform's store are told.
    pub lapse: lapse::Options,
    /// Differs for each start of the process.
    pub run: u64,
}

/// A replica's data and the way to its disk.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<state::State>,
    writer: writer::Writer,
    files: journal::Files,
    view: watch::Sender<member::View>,
    retiring: AtomicBool,
    votes: AtomicBool,
    retire_told: watch::Sender<Vec<record::ReplicaId>>,
    board: entry_load::Table,
    trail: affinity::Table,
    spending: team_usage::Counters,
    /// Reads of the platform's store that entries told of.
    reads: snapshot::StoreReads,
    /// Replicas that stand by, and when they asked last.
    standbys: Mutex<BTreeMap<record::ReplicaId, Instant>>,
    /// How far each other replica has copied from here.
    readers: Mutex<HashMap<record::ReplicaId, u64>>,
}

impl Shared {
    /// Opens the journal in `dir`.
    ///
    /// # Errors
    ///
    /// When the disk fails, or holds what cannot be read.
    pub fn open(dir: &std::path::Path, opts: Options) -> Result<Arc<Self>, journal::Error> {
        let begun = Instant::now();
        let mut records = 0_u64;
        let mut state = state::State::new(opts.run);
        let apply = |record: record::Record, place| {
            records += 1;
            state.apply(&record, place);
        };
        let journal = journal::Journal::open(dir, opts.journal, apply)?;
        state.expire(unix_ms());
        tracing::info!(
            records,
            segments = journal.files().count(),
            ms = begun.elapsed().as_millis() as u64,
            "journal read"
        );
        let view = state.view().clone();
        let files = journal.files();
        let writer = writer::Writer::start(journal).map_err(|source| journal::Error::Io {
            what: "start the thread of",
            source,
        })?;
        Ok(Arc::new(Self {
            state: Mutex::new(state),
            writer,
            files,
            view: watch::Sender::new(view),
            retiring: AtomicBool::new(false),
            votes: AtomicBool::new(false),
            retire_told: watch::Sender::default(),
            board: entry_load::Table::default(),
            trail: affinity::Table::default(),
            spending: team_usage::Counters::default(),
            reads: snapshot::StoreReads::new(opts.run, opts.lapse),
            standbys: Mutex::default(),
            readers: Mutex::default(),
        }))
    }

    /// The member list as it is known here.
    pub fn view(&self) -> &watch::Sender<member::View> {
        &self.view
    }

    /// Takes a member list unless a newer one is known. Returns whether older ones are refused from
    /// now on, also after a restart.
    pub async fn learn(&self, view: member::View) -> bool {
        if view.epoch <= self.view.borrow().epoch {
            return true;
        }
        // In force before it is on disk: refusing older lists too early harms nobody.
        self.view.send_if_modified(|known| {
            let newer = view.epoch > known.epoch;
            if newer {
                tracing::info!(epoch = view.epoch, members = ?view.list.members, "member list");
                *known = view.clone();
            }
            newer
        });
        self.write(record::Record::Members(view)).await
    }

    /// Whether the replica has all that a member has to know.
    pub fn is_synced(&self) -> bool {
        self.state.lock().is_synced()
    }

    /// Notes for good whether the replica has all that a member has to know.
    pub async fn mark_synced(&self, synced: bool) -> bool {
        self.write(record::Record::Synced(synced)).await
    }

    /// Lets the replica vote from now on, or no longer.
    pub fn let_vote(&self, votes: bool) {
        self.votes.store(votes, Ordering::Relaxed);
    }

    /// Whether the replica votes.
    pub fn is_voting(&self) -> bool {
        self.votes.load(Ordering::Relaxed)
    }

    /// Adds to the replicas that the operator wants emptied.
    pub fn learn_retire(&self, retire: Vec<record::ReplicaId>) {
        self.retire_told.send_if_modified(|told| {
            let news = retire.into_iter().filter(|name| !told.contains(name));
            let news: Vec<_> = news.collect();
            told.extend(news.iter().cloned());
            !news.is_empty()
        });
    }

    /// Replicas that the operator wants emptied, as entries tell.
    pub fn retire_told(&self) -> watch::Receiver<Vec<record::ReplicaId>> {
        self.retire_told.subscribe()
    }

    /// Takes nothing new from now on.
    pub fn retire(&self) {
        self.retiring.store(true, Ordering::Relaxed);
    }

    /// Whether it takes nothing new.
    pub fn is_retiring(&self) -> bool {
        self.retiring.load(Ordering::Relaxed)
    }

    /// Replicas among `members` that have copied all that is here.
    pub fn copied_by(&self, members: &member::List) -> usize {
        let end = self.state.lock().list_end();
        let readers = self.readers.lock();
        let has_all = |name: &&record::ReplicaId| readers.get(*name).is_some_and(|at| *at >= end);
        members.members.keys().filter(has_all).count()
    }

    /// Stores `record` unless it is known; whether it then is on disk.
    pub async fn store(&self, record: record::Record) -> bool {
        let known = match &record {
            record::Record::Turn(turn) => self.has(&turn.id),
            record::Record::Charge(charge) => !self.is_news(charge),
            record::Record::Synced(_)
            | record::Record::Members(_)
            | record::Record::Config(_)
            | record::Record::Upstreams(_) => false,
        };
        if known {
            return true;
        }
        self.write(record).await
    }

    async fn write(&self, record: record::Record) -> bool {
        let Some(place) = self.writer.store(record.clone()).await else {
            return false;
        };
        self.state.lock().apply(&record, place);
        true
    }

    /// `asker` stands by. Returns how many that do, and asked lately, come before it by their names.
    fn note_standby(&self, asker: record::ReplicaId) -> usize {
        let now = Instant::now();
        let mut standbys = self.standbys.lock();
        standbys.insert(asker.clone(), now);
        standbys.retain(|_, at| now.duration_since(*at) < STANDS_BY);
        standbys.range(..asker).count()
    }

    /// Whether the turn is here.
    pub fn has(&self, turn: &record::TurnId) -> bool {
        self.state.lock().place(turn).is_some()
    }

    /// Whether `charge` says anything new.
    pub fn is_news(&self, charge: &record::Charge) -> bool {
        self.state.lock().is_news(charge)
    }

    /// All charges of `program` that are known here.
    pub fn ledger(&self, program: &record::ProgramId) -> Vec<ledger::Line> {
        self.state.lock().ledger(program)
    }

    /// What entries know from the platform's store.
    pub fn bulletins(&self) -> service::Snapshot {
        self.state.lock().bulletins().clone()
    }

    /// Forgets what has been kept long enough at `now`, and removes the oldest segment of the
    /// journal if nothing else is in it.
    pub async fn expire(&self, now: record::UnixMs) {
        {
            let mut state = self.state.lock();
            state.expire(now);
            metrics::gauge!("fw_replica_turns").set(state.turns() as f64);
            metrics::gauge!("fw_replica_programs").set(state.programs() as f64);
        }
        metrics::gauge!("fw_replica_segments").set(self.files.count() as f64);
        if let Some(segment) = self.files.lapsed(now) {
            self.remove(segment).await;
        }
    }

    /// Removes a segment, once the charges in it that still count are in the newest one.
    async fn remove(&self, segment: journal::SegmentId) {
        let charges = match self.live_charges(segment) {
            Ok(charges) => charges,
            Err(err) => {
                metrics::counter!("fw_replica_disk_errors_total").increment(1);
                tracing::error!(%err, segment, "a segment cannot be read");
                return;
            }
        };
        let carried = charges.len();
        if self.carry(charges).await && self.writer.remove(segment).await {
            tracing::info!(segment, carried, "a segment was kept long enough");
        }
    }

    /// Writes charges once more; whether all are on disk. They are not applied, as the state has
    /// them already.
    async fn carry(&self, charges: Vec<record::Charge>) -> bool {
        for charges in charges.chunks(CARRY) {
            let records = charges.iter().cloned().map(record::Record::Charge);
            let stored = join_all(records.map(|record| self.writer.store(record))).await;
            if stored.iter().any(Option::is_none) {
                return false;
            }
        }
        true
    }

    fn live_charges(
        &self,
        segment: journal::SegmentId,
    ) -> Result<Vec<record::Charge>, journal::Error> {
        let mut charges = Vec::new();
        self.files.scan(segment, |record, _| {
            if let record::Record::Charge(charge) = record {
                charges.push(charge);
            }
        })?;
        let state = self.state.lock();
        charges.retain(|charge| state.is_live(charge));
        Ok(charges)
    }

    fn read(&self, turn: &record::TurnId) -> Option<record::Turn> {
        let place = self.state.lock().place(turn)?;
        match self.files.read(place) {
            Ok(record::Record::Turn(turn)) => Some(turn),
            Ok(_) => {
                tracing::error!(%turn, "the index names a record that is no turn");
                None
            }
            Err(err) => {
                metrics::counter!("fw_replica_disk_errors_total").increment(1);
                tracing::error!(%turn, %err, "a turn cannot be read");
                None
            }
        }
    }

    /// The chain from `newest` on, for a sender that goes by the list of `epoch`.
    ///
    /// *Failure:* an entry that has not heard of a new member asks those of the old list: one that was
    /// replaced while it was frozen, and one whose turn lies with the new member and a third. Both were
    /// certain, and the entry took a stored turn for unknown. So nobody is certain towards a sender
    /// whose list is older than its own.
    fn read_chain(&self, epoch: member::Epoch, newest: record::TurnId) -> service::Chain {
        let mut turns = Vec::new();
        let mut wanted = Some(newest);
        while let Some(id) = wanted.take() {
            let found = (turns.len() < CHAIN).then(|| self.read(&id)).flatten();
            let Some(turn) = found else {
                // What the index names but the disk refuses is no certain absence.
                let certain = !self.has(&id) && self.is_voting() && !self.is_newer(epoch);
                return service::Chain {
                    turns,
                    missing: Some(id),
                    certain,
                };
            };
            wanted = turn.parent.clone();
            turns.push(turn);
        }
        service::Chain {
            turns,
            ..service::Chain::default()
        }
    }

    /// Whether a newer member list than that of `epoch` is known here.
    fn is_newer(&self, epoch: member::Epoch) -> bool {
        epoch < self.view.borrow().epoch
    }

    fn unsure(&self, epoch: member::Epoch) -> Option<service::Unsure> {
        if self.is_retiring() {
            return Some(service::Unsure::Retiring);
        }
        if !self.is_voting() {
            return Some(service::Unsure::Unsynced);
        }
        self.is_newer(epoch)
            .then(|| service::Unsure::OldList(self.view.borrow().clone()))
    }

    async fn vote(&self, epoch: member::Epoch, reserve: service::Reserve) -> service::Vote {
        if let Some(why) = self.unsure(epoch) {
            return service::Vote::Unsure { why };
        }
        let voted = self.state.lock().vote(&reserve, unix_ms());
        let granted = match voted {
            Ok(granted) => granted,
            Err(ledger) => {
                metrics::counter!("fw_replica_refused_total", "reason" => "budget").increment(1);
                return service::Vote::Refused { ledger };
            }
        };
        // The ledger has them already, so that a reservation which races sees them.
        let charges = granted.charges.into_iter();
        let stored = join_all(charges.map(|charge| self.store_charge(charge))).await;
        if stored.into_iter().all(|ok| ok) {
            service::Vote::Accepted {
                digest: granted.digest,
            }
        } else {
            service::Vote::Unsure {
                why: service::Unsure::Disk,
            }
        }
    }

    /// Stores a charge that the ledger has; whether it then is on disk.
    async fn store_charge(&self, charge: record::Charge) -> bool {
        let stored = self.write(record::Record::Charge(charge.clone())).await;
        if !stored {
            self.state.lock().not_stored(charge);
        }
        stored
    }
}

/// One connection's view of the replica.
#[derive(Clone, Debug)]
pub struct Server(pub Arc<Shared>);

impl service::Replica for Server {
    async fn begin(self, _: tarpc::context::Context, req: service::Begin) -> service::BeginReply {
        let entry = req.load.entry;
        let spent = req
            .usage
            .map(|spent| self.0.spending.exchange(entry, &spent));
        let others = req.wants_peer_state.then(|| service::PeerState {
            usage: spent,
            ..self.0.board.others(req.load.entry)
        });
        self.0.board.note(req.load);
        let last = self.0.trail.last_upstreams(&req.lineage);
        let chain = req.chain.map(|newest| self.0.read_chain(req.epoch, newest));
        let vote = match req.reserve {
            None => None,
            Some(reserve) => Some(self.0.vote(req.epoch, reserve).await),
        };
        service::BeginReply {
            vote,
            chain: chain.unwrap_or_default(),
            peer_state: others,
            last_upstreams: last,
        }
    }

    async fn finish(self, _: tarpc::context::Context, req: service::Finish) -> bool {
        if let Some(ran) = &req.location {
            self.0.trail.record(ran);
        }
        if self.0.is_retiring() {
            return false;
        }
        let turn = req.turn.map(record::Record::Turn);
        let charge = req.charge.map(record::Record::Charge);
        let records = turn.into_iter().chain(charge);
        let stored = join_all(records.map(|record| self.0.store(record))).await;
        stored.into_iter().all(|ok| ok)
    }

    async fn ledger(
        self,
        _: tarpc::context::Context,
        program: record::ProgramId,
    ) -> Vec<ledger::Line> {
        self.0.ledger(&program)
    }

    async fn chain(
        self,
        _: tarpc::context::Context,
        epoch: member::Epoch,
        newest: record::TurnId,
    ) -> service::Chain {
        self.0.read_chain(epoch, newest)
    }

    async fn list(
        self,
        _: tarpc::context::Context,
        reader: record::ReplicaId,
        after: service::Position,
    ) -> service::Page {
        let state = self.0.state.lock();
        let (next, records, more) = state.list(after);
        let synced = state.is_synced();
        drop(state);
        if after.run == next.run {
            self.0.readers.lock().insert(reader, after.read);
        }
        service::Page {
            next,
            records,
            more,
            synced,
            retiring: self.0.is_retiring(),
        }
    }

    async fn announce_members(
        self,
        _: tarpc::context::Context,
        view: member::View,
        retire: Vec<record::ReplicaId>,
    ) -> bool {
        self.0.learn_retire(retire);
        self.0.learn(view).await
    }

    async fn publish(
        self,
        _: tarpc::context::Context,
        post: service::Publish,
    ) -> service::Published {
        self.0.post(post).await
    }

    async fn report_usage(
        self,
        _: tarpc::context::Context,
        entry: u32,
        spent: Vec<service::TeamUsage>,
    ) -> Vec<quota::Summary> {
        let spent = spent.iter();
        let told = spent.map(|spent| self.0.spending.exchange(entry, spent));
        told.collect()
    }

    async fn poll_update(
        self,
        _: tarpc::context::Context,
        known: service::KnownVersion,
        wait: Duration,
    ) -> service::Update {
        self.0.news(known, wait).await
    }

    async fn read_clock(self, _: tarpc::context::Context) -> service::ClockReading {
        self.0.moment()
    }

    async fn ping(
        self,
        _: tarpc::context::Context,
        standby: Option<record::ReplicaId>,
    ) -> service::PingReply {
        service::PingReply {
            standbys_ahead: standby.map_or(0, |asker| self.0.note_standby(asker)),
            retiring: self.0.is_retiring(),
            view: self.0.view.borrow().clone(),
            retire: self.0.retire_told.borrow().clone(),
        }
    }

    async fn fetch(
        self,
        _: tarpc::context::Context,
        ids: Vec<record::TurnId>,
    ) -> Vec<record::Turn> {
        ids.iter().filter_map(|id| self.0.read(id)).collect()
    }
}
