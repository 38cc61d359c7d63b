//! Server side of the replica service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::join_all;
use fw_plan::{lapse, quota};
use parking_lot::Mutex;
use tokio::sync::watch;

mod quarantine;
mod snapshot;

use crate::{
    affinity, beginnings, entry_load, journal, ledger, member, prefix, record, service, state,
    streams, team_usage, writer,
};

/// Most turns of a chain in one reply. Longer chains take several requests.
const MAX_CHAIN: usize = 256;
/// Bytes of turns in one reply, unless one turn has more: a link of 100 Mbit/s takes 170 ms for them. A
/// longer message than [`MAX_FRAME`](crate::codec::MAX_FRAME) cannot be sent at all.
const REPLY_BYTES: usize = 2 << 20;

/// Charges rewritten to the newest segment at a time. They take a few syncs, so that other records
/// find room in the writer's queue.
const CARRY_BATCH: usize = 512;
/// Turns rewritten to the newest segment at a time, which are in memory meanwhile.
const CARRY_TURNS: usize = 16;

/// How long a replica counts as a standby after its last ping. Standbys ping once a second.
const STANDBY_TTL: Duration = Duration::from_secs(3);

/// Current wall-clock time.
pub fn unix_ms() -> record::UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 yields 0, at which no record expires.
    since.unwrap_or(Duration::ZERO).as_millis() as record::UnixMs
}

/// Options of a replica's storage and its server.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Options of the journal.
    pub journal: journal::Options,
    /// How outages of the platform's store are detected.
    pub lapse: lapse::Options,
    /// Differs for each start of the process.
    pub run: u64,
}

/// Records of a segment that have to be kept when the segment is removed.
#[derive(Debug, Default)]
struct LiveRecords {
    charges: Vec<record::Charge>,
    turns: Vec<(record::TurnId, journal::Place)>,
}

/// The kind of record of a turn; `quorum` is set if it is stored on `f + 1` members only.
fn record_kind(quorum: Option<member::Epoch>) -> fn(record::Turn) -> record::Record {
    match quorum {
        Some(_) => record::Record::QuorumTurn,
        None => record::Record::Turn,
    }
}

/// Turns for one reply.
#[derive(Debug, Default)]
struct Reply {
    turns: Vec<record::Turn>,
    bytes: usize,
}

impl Reply {
    /// Adds `turn`; `false` if there is no room for it.
    fn add(&mut self, turn: record::Turn) -> bool {
        self.bytes += turn.input.len() + turn.output.len();
        let fits = self.turns.is_empty() || self.bytes <= REPLY_BYTES;
        if fits {
            self.turns.push(turn);
        }
        fits
    }
}

/// State of a replica, shared by its connections, and its access to the disk.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<state::State>,
    writer: writer::Writer,
    files: journal::Files,
    view: watch::Sender<member::View>,
    retiring: AtomicBool,
    votes: AtomicBool,
    retire_requests: watch::Sender<Vec<record::ReplicaId>>,
    entry_loads: entry_load::Table,
    affinity: affinity::Table,
    prefixes: prefix::Table,
    /// Origins of streams.
    streams: streams::Table,
    /// Events of streams under way.
    beginnings: beginnings::Table,
    team_usage: team_usage::Counters,
    /// Reads of the platform's store published by entries.
    store_reads: snapshot::StoreReads,
    /// Requests that have crashed upstreams, as reported by entries.
    quarantine: quarantine::Quarantine,
    /// Standby replicas, and the time of their last pings.
    standbys: Mutex<BTreeMap<record::ReplicaId, Instant>>,
    /// Number of records that each other replica has copied from this one.
    readers: Mutex<HashMap<record::ReplicaId, u64>>,
}

impl Shared {
    /// Opens the journal in `dir`.
    ///
    /// # Errors
    ///
    /// When the disk fails, or a stored record cannot be decoded.
    pub fn open(dir: &std::path::Path, opts: Options) -> Result<Arc<Self>, journal::Error> {
        let begun = Instant::now();
        let mut records = 0_u64;
        let mut state = state::State::new(opts.run);
        let mut stored_quarantine = None;
        let apply = |record: record::Record, place| {
            records += 1;
            if let record::Record::Quarantine(stored) = &record {
                // Only the newest counts: a request that it lacks has been cleared.
                stored_quarantine = Some(stored.clone());
            }
            state.apply(&record, place);
        };
        let journal = journal::Journal::open(dir, opts.journal, apply)?;
        state.expire(unix_ms());
        let quarantine = quarantine::Quarantine::new(opts.run);
        if let Some(stored) = &stored_quarantine {
            quarantine.restore(stored, unix_ms());
        }
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
            retire_requests: watch::Sender::default(),
            entry_loads: entry_load::Table::default(),
            affinity: affinity::Table::default(),
            prefixes: prefix::Table::default(),
            streams: streams::Table::default(),
            beginnings: beginnings::Table::default(),
            team_usage: team_usage::Counters::default(),
            store_reads: snapshot::StoreReads::new(opts.run, opts.lapse),
            quarantine,
            standbys: Mutex::default(),
            readers: Mutex::default(),
        }))
    }

    /// The replica's current member list.
    pub fn view(&self) -> &watch::Sender<member::View> {
        &self.view
    }

    /// Replaces the member list if `view` is newer. Returns whether the replica refuses older lists
    /// from now on, also after a restart.
    pub async fn update_view(&self, view: member::View) -> bool {
        if view.epoch <= self.view.borrow().epoch {
            return true;
        }
        // Takes effect before it is on disk: refusing older lists too early does no harm.
        self.view.send_if_modified(|current| {
            let newer = view.epoch > current.epoch;
            if newer {
                tracing::info!(epoch = view.epoch, members = ?view.list.members, "member list");
                *current = view.clone();
            }
            newer
        });
        self.write(record::Record::Members(view)).await
    }

    /// Whether the replica has all records that a member must have.
    pub fn is_synced(&self) -> bool {
        self.state.lock().is_synced()
    }

    /// Records durably whether the replica has all records that a member must have.
    pub async fn mark_synced(&self, synced: bool) -> bool {
        self.write(record::Record::Synced(synced)).await
    }

    /// Sets whether the replica votes on reservations.
    pub fn set_voting(&self, votes: bool) {
        self.votes.store(votes, Ordering::Relaxed);
    }

    /// Whether the replica votes.
    pub fn is_voting(&self) -> bool {
        self.votes.load(Ordering::Relaxed)
    }

    /// Adds to the replicas that the operator wants retired.
    pub fn add_retire_requests(&self, retire: Vec<record::ReplicaId>) {
        self.retire_requests.send_if_modified(|requests| {
            let added = retire.into_iter().filter(|name| !requests.contains(name));
            let added: Vec<_> = added.collect();
            requests.extend(added.iter().cloned());
            !added.is_empty()
        });
    }

    /// Replicas that the operator wants retired, as announced by entries.
    pub fn retire_requests(&self) -> watch::Receiver<Vec<record::ReplicaId>> {
        self.retire_requests.subscribe()
    }

    /// Accepts no new records from now on, or accepts them again.
    pub fn set_retiring(&self, retiring: bool) {
        self.retiring.store(retiring, Ordering::Relaxed);
    }

    /// Whether the replica accepts no new records.
    pub fn is_retiring(&self) -> bool {
        self.retiring.load(Ordering::Relaxed)
    }

    /// Number of replicas in `members` that have copied all records of this one.
    pub fn copied_by(&self, members: &member::List) -> usize {
        let end = self.state.lock().list_end();
        let readers = self.readers.lock();
        let has_all = |name: &&record::ReplicaId| readers.get(*name).is_some_and(|at| *at >= end);
        members.members.keys().filter(has_all).count()
    }

    /// Stores `record` unless it is stored already. Returns whether it is on disk.
    pub async fn store(&self, record: record::Record) -> bool {
        let is_stored = match &record {
            record::Record::Turn(turn) | record::Record::QuorumTurn(turn) => self.has(&turn.id),
            record::Record::Charge(charge) => !self.is_new(charge),
            record::Record::Synced(_)
            | record::Record::Members(_)
            | record::Record::Config(_)
            | record::Record::Upstreams(_)
            | record::Record::Quarantine(_) => false,
        };
        if is_stored {
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

    /// Records a ping of the standby replica `asker`. Returns the number of current standbys whose
    /// names sort before its own.
    fn record_standby(&self, asker: record::ReplicaId) -> usize {
        let now = Instant::now();
        let mut standbys = self.standbys.lock();
        standbys.insert(asker.clone(), now);
        standbys.retain(|_, at| now.duration_since(*at) < STANDBY_TTL);
        standbys.range(..asker).count()
    }

    /// Whether the turn is stored here.
    pub fn has(&self, turn: &record::TurnId) -> bool {
        self.state.lock().place(turn).is_some()
    }

    /// Whether `charge` changes its program's ledger or is not on disk yet.
    pub fn is_new(&self, charge: &record::Charge) -> bool {
        self.state.lock().is_new(charge)
    }

    /// All charges of `program` stored here.
    pub fn ledger(&self, program: &record::ProgramId) -> Vec<ledger::Line> {
        self.state.lock().ledger(program)
    }

    /// Contents of the platform's store, as published by entries.
    pub fn snapshot(&self) -> service::Snapshot {
        self.state.lock().snapshot().clone()
    }

    /// Drops records whose retention is over at `now`, and beginnings of streams that have ended. Removes
    /// the oldest segment of the journal if all its records have expired.
    pub async fn expire(&self, now: record::UnixMs) {
        {
            let mut state = self.state.lock();
            state.expire(now);
            metrics::gauge!("fw_replica_turns").set(state.turns() as f64);
            metrics::gauge!("fw_replica_programs").set(state.programs() as f64);
        }
        self.beginnings.expire(Instant::now());
        metrics::gauge!("fw_replica_beginnings_bytes").set(self.beginnings.bytes() as f64);
        metrics::gauge!("fw_replica_segments").set(self.files.count() as f64);
        if let Some(segment) = self.files.oldest_expired(now) {
            self.remove(segment).await;
        }
    }

    /// Removes a segment after rewriting its live records to the newest one.
    async fn remove(&self, segment: journal::SegmentId) {
        let live = match self.live_records(segment) {
            Ok(live) => live,
            Err(err) => {
                metrics::counter!("fw_replica_disk_errors_total").increment(1);
                tracing::error!(%err, segment, "a journal segment cannot be read");
                return;
            }
        };
        let (carried, turns) = (live.charges.len(), live.turns.len());
        if self.carry(live.charges).await
            && self.carry_turns(&live.turns).await
            && self.writer.remove(segment).await
        {
            metrics::counter!("fw_replica_carried_turns_total").increment(turns as u64);
            tracing::info!(
                segment,
                carried,
                turns,
                "an expired journal segment was removed"
            );
        }
    }

    /// Writes charges again; returns whether all are on disk. They are not applied, as the state
    /// already has them.
    async fn carry(&self, charges: Vec<record::Charge>) -> bool {
        for charges in charges.chunks(CARRY_BATCH) {
            let records = charges.iter().cloned().map(record::Record::Charge);
            let stored = join_all(records.map(|record| self.writer.store(record))).await;
            if stored.iter().any(Option::is_none) {
                return false;
            }
        }
        true
    }

    /// Writes turns again that are retained beyond their own retention; returns whether all are on disk.
    async fn carry_turns(&self, turns: &[(record::TurnId, journal::Place)]) -> bool {
        for turns in turns.chunks(CARRY_TURNS) {
            let stored =
                join_all(turns.iter().map(|(id, place)| self.carry_turn(id, *place))).await;
            if !stored.into_iter().all(|ok| ok) {
                return false;
            }
        }
        true
    }

    async fn carry_turn(&self, id: &record::TurnId, place: journal::Place) -> bool {
        let record = match self.files.read(place) {
            Ok(record) => record,
            Err(err) => {
                metrics::counter!("fw_replica_disk_errors_total").increment(1);
                tracing::error!(turn = %id, %err, "a turn cannot be read");
                return false;
            }
        };
        let Some(new) = self.writer.store(record).await else {
            return false;
        };
        let mut state = self.state.lock();
        if let Some(until) = state.retained_until(id, place) {
            // The record itself states a retention that is over, and would be written again at once.
            self.files.extend_retention(new.segment, until);
            state.relocate(id, new);
        }
        true
    }

    fn live_records(&self, segment: journal::SegmentId) -> Result<LiveRecords, journal::Error> {
        let mut live = LiveRecords::default();
        self.files.scan(segment, |record, place| match record {
            record::Record::Charge(charge) => live.charges.push(charge),
            record::Record::Turn(turn) | record::Record::QuorumTurn(turn) => {
                live.turns.push((turn.id, place));
            }
            record::Record::Synced(_)
            | record::Record::Members(_)
            | record::Record::Config(_)
            | record::Record::Upstreams(_)
            | record::Record::Quarantine(_) => {}
        })?;
        let state = self.state.lock();
        live.charges.retain(|charge| state.is_live(charge));
        live.turns
            .retain(|(id, place)| state.retained_until(id, *place).is_some());
        Ok(live)
    }

    fn read(&self, turn: &record::TurnId) -> Option<record::Turn> {
        let mut place = self.state.lock().place(turn)?;
        let mut record = self.files.read(place);
        if let Err(journal::Error::Removed { .. }) = record {
            // It has just been written again, before its segment was removed.
            place = self.state.lock().place(turn)?;
            record = self.files.read(place);
        }
        match record {
            Ok(record::Record::Turn(turn) | record::Record::QuorumTurn(turn)) => Some(turn),
            Ok(_) => {
                tracing::error!(%turn, "the index refers to a record that is not a turn");
                None
            }
            Err(err) => {
                metrics::counter!("fw_replica_disk_errors_total").increment(1);
                tracing::error!(%turn, %err, "a turn cannot be read");
                None
            }
        }
    }

    /// The chain from `newest` on, for a sender that uses the list of `epoch`.
    ///
    /// *Failure:* an entry with an outdated member list queried the members of that list: one that
    /// had been replaced while it was suspended, and one that had not stored the turn, which lay on
    /// the new member and a third. Both reported certain absence, and the entry took a stored turn
    /// for unknown. So absence is never certain for a sender whose list is older than this
    /// replica's.
    fn read_chain(&self, epoch: member::Epoch, newest: record::TurnId) -> service::Chain {
        let mut reply = Reply::default();
        let mut wanted = Some(newest);
        while let Some(id) = wanted.take() {
            let Some(turn) = self.read(&id) else {
                // A turn that is in the index but cannot be read is not certainly absent.
                let certain = !self.has(&id) && self.is_voting() && !self.has_newer_view(epoch);
                let (newest, found) = (reply.turns.first(), reply.turns.len());
                let newest = newest.map_or(&id, |turn| &turn.id);
                tracing::info!(%newest, found, missing = %id, certain, "a chain is incomplete here");
                return service::Chain {
                    turns: reply.turns,
                    missing: Some(id),
                    certain,
                };
            };
            let parent = turn.parent.clone();
            if reply.turns.len() == MAX_CHAIN || !reply.add(turn) {
                return service::Chain {
                    turns: reply.turns,
                    missing: Some(id),
                    certain: false,
                };
            }
            wanted = parent;
        }
        service::Chain {
            turns: reply.turns,
            ..service::Chain::default()
        }
    }

    /// The first of these turns, as many as one reply has room for, without those that are not stored here.
    fn read_all(&self, ids: &[record::TurnId]) -> Vec<record::Turn> {
        let mut reply = Reply::default();
        for id in ids {
            if let Some(turn) = self.read(id)
                && !reply.add(turn)
            {
                break;
            }
        }
        reply.turns
    }

    /// Whether this replica has a newer member list than that of `epoch`.
    fn has_newer_view(&self, epoch: member::Epoch) -> bool {
        epoch < self.view.borrow().epoch
    }

    fn unsure_reason(&self, epoch: member::Epoch) -> Option<service::Unsure> {
        if self.is_retiring() {
            return Some(service::Unsure::Retiring);
        }
        if !self.is_voting() {
            return Some(service::Unsure::Unsynced);
        }
        self.has_newer_view(epoch)
            .then(|| service::Unsure::OldList(self.view.borrow().clone()))
    }

    async fn vote(&self, epoch: member::Epoch, reserve: service::Reserve) -> service::Vote {
        if let Some(why) = self.unsure_reason(epoch) {
            return service::Vote::Unsure { why };
        }
        let result = self.state.lock().vote(&reserve, unix_ms());
        let granted = match result {
            Ok(granted) => granted,
            Err(ledger) => {
                metrics::counter!("fw_replica_refused_total", "reason" => "budget").increment(1);
                return service::Vote::Refused { ledger };
            }
        };
        // The ledger has them already, so that concurrent reservations see them.
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

    /// Records which upstream ran a turn, and what it then has in its cache.
    fn record_location(&self, location: Option<&affinity::Location>) {
        let Some(location) = location else { return };
        self.affinity.record(location);
        if let Some(report) = &location.prefix {
            let broke = location.upstream == affinity::NO_UPSTREAM;
            self.prefixes.record(report, broke);
        }
    }

    /// Stores the outcome of a turn; on `f + 1` members only if `quorum` is the epoch of the sender's member
    /// list. Returns whether all of it is on disk.
    async fn store_outcome(&self, quorum: Option<member::Epoch>, req: service::Finish) -> bool {
        if self.refuses(quorum) {
            return false;
        }
        let stored_as = record_kind(quorum);
        let turn = req.turn.map(stored_as);
        let records = turn
            .into_iter()
            .chain(req.charge.map(record::Record::Charge));
        let stored = join_all(records.map(|record| self.store(record))).await;
        stored.into_iter().all(|ok| ok)
    }

    /// Whether no turns are stored; on `f + 1` members only if `quorum` is the epoch of the sender's list.
    fn refuses(&self, quorum: Option<member::Epoch>) -> bool {
        match quorum {
            Some(epoch) => self.unsure_reason(epoch).is_some(),
            None => self.is_retiring(),
        }
    }

    /// Stores the outcome of a turn, unless a part of the chain that it continues is not stored here.
    async fn finish_with_chain(
        &self,
        quorum: Option<member::Epoch>,
        req: service::Finish,
    ) -> service::Finished {
        let parent = req.turn.as_ref().and_then(|turn| turn.parent.as_ref());
        let missing = self.state.lock().missing(parent);
        if let Some(missing) = missing {
            return service::Finished::LacksChain { missing };
        }
        match self.store_outcome(quorum, req).await {
            true => service::Finished::Stored,
            false => service::Finished::Refused,
        }
    }

    /// Stores turns that are continued by one that is about to be stored. Returns whether all are on disk.
    async fn store_chain(&self, req: service::StoreChain) -> bool {
        if self.refuses(req.quorum) {
            return false;
        }
        {
            let mut state = self.state.lock();
            for turn in &req.turns {
                state.retain(&turn.id, req.until);
            }
        }
        let stored_as = record_kind(req.quorum);
        let stores = req
            .turns
            .into_iter()
            .map(|turn| self.store(stored_as(turn)));
        join_all(stores).await.into_iter().all(|ok| ok)
    }

    /// Writes a charge that is already in the ledger. Returns whether it is on disk.
    async fn store_charge(&self, charge: record::Charge) -> bool {
        let stored = self.write(record::Record::Charge(charge.clone())).await;
        if !stored {
            self.state.lock().mark_unstored(charge);
        }
        stored
    }
}

/// Handler of one connection's requests.
#[derive(Clone, Debug)]
pub struct Server(pub Arc<Shared>);

impl service::Replica for Server {
    async fn begin(self, _: tarpc::context::Context, req: service::Begin) -> service::BeginReply {
        let entry = req.load.entry;
        let usage = req
            .usage
            .map(|usage| self.0.team_usage.exchange(entry, &usage));
        let peer_state = req.wants_peer_state.then(|| service::PeerState {
            usage,
            ..self.0.entry_loads.peer_state(req.load.entry)
        });
        if !req.omits_load {
            self.0.entry_loads.record(req.load);
        }
        let last_upstreams = self.0.affinity.last_upstreams(&req.lineage);
        let holders = self.0.prefixes.holders(&req.parts);
        let chain = req.chain.map(|newest| self.0.read_chain(req.epoch, newest));
        let vote = match req.reserve {
            None => None,
            Some(reserve) => Some(self.0.vote(req.epoch, reserve).await),
        };
        service::BeginReply {
            vote,
            chain: chain.unwrap_or_default(),
            peer_state,
            last_upstreams,
            holders,
        }
    }

    async fn finish(self, _: tarpc::context::Context, req: service::Finish) -> bool {
        self.0.record_location(req.location.as_ref());
        self.0.store_outcome(None, req).await
    }

    async fn finish_quorum(
        self,
        _: tarpc::context::Context,
        epoch: member::Epoch,
        req: service::Finish,
    ) -> bool {
        if self.0.refuses(Some(epoch)) {
            return false;
        }
        self.0.record_location(req.location.as_ref());
        self.0.store_outcome(Some(epoch), req).await
    }

    async fn finish_with_chain(
        self,
        _: tarpc::context::Context,
        quorum: Option<member::Epoch>,
        req: service::Finish,
    ) -> service::Finished {
        self.0.record_location(req.location.as_ref());
        self.0.finish_with_chain(quorum, req).await
    }

    async fn store_chain(self, _: tarpc::context::Context, req: service::StoreChain) -> bool {
        self.0.store_chain(req).await
    }

    async fn browse(
        self,
        _: tarpc::context::Context,
        after: service::Position,
        scope: service::Scope,
    ) -> service::Page {
        let state = self.0.state.lock();
        let (next, records, more) = match scope {
            service::Scope::All => state.list(after),
            service::Scope::ForAllMembers => state.list_for_all(after),
        };
        service::Page {
            next,
            more,
            synced: state.is_synced(),
            retiring: self.0.is_retiring(),
            quorum_turns: state.quorum_turns(&records),
            records,
        }
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
        let quorum_turns = state.quorum_turns(&records);
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
            quorum_turns,
        }
    }

    async fn announce_members(
        self,
        _: tarpc::context::Context,
        view: member::View,
        retire: Vec<record::ReplicaId>,
    ) -> bool {
        self.0.add_retire_requests(retire);
        self.0.update_view(view).await
    }

    async fn publish(
        self,
        _: tarpc::context::Context,
        req: service::Publish,
    ) -> service::Published {
        self.0.publish(req).await
    }

    async fn report_usage(
        self,
        _: tarpc::context::Context,
        entry: u32,
        usage: Vec<service::TeamUsage>,
    ) -> Vec<quota::Summary> {
        let usage = usage.iter();
        let summaries = usage.map(|usage| self.0.team_usage.exchange(entry, usage));
        summaries.collect()
    }

    async fn poll_update(
        self,
        _: tarpc::context::Context,
        known: service::KnownVersion,
        wait: Duration,
    ) -> service::Update {
        self.0.poll_update(known, wait).await
    }

    async fn read_clock(self, _: tarpc::context::Context) -> service::ClockReading {
        self.0.read_clock()
    }

    async fn ping(
        self,
        _: tarpc::context::Context,
        standby: Option<record::ReplicaId>,
    ) -> service::PingReply {
        service::PingReply {
            standbys_ahead: standby.map_or(0, |asker| self.0.record_standby(asker)),
            retiring: self.0.is_retiring(),
            view: self.0.view.borrow().clone(),
            retire: self.0.retire_requests.borrow().clone(),
        }
    }

    async fn fetch(
        self,
        _: tarpc::context::Context,
        ids: Vec<record::TurnId>,
    ) -> Vec<record::Turn> {
        self.0.read_all(&ids)
    }

    async fn claim_attempt(
        self,
        _: tarpc::context::Context,
        req: service::ClaimAttempt,
    ) -> service::ClaimReply {
        self.0.quarantine.claim(&req)
    }

    async fn report_attempt(self, _: tarpc::context::Context, req: service::ReportAttempt) {
        self.0.report_attempt(&req).await;
    }

    async fn poll_suspects(
        self,
        _: tarpc::context::Context,
        after: service::Position,
        wait: Duration,
    ) -> service::SuspectPage {
        self.0.quarantine.poll(after, wait).await
    }

    async fn record_stream(self, _: tarpc::context::Context, req: service::StreamBegun) {
        self.0.streams.record(req.stream, req.origin);
    }

    async fn extend_stream(
        self,
        _: tarpc::context::Context,
        req: beginnings::Extend,
    ) -> beginnings::Extended {
        self.0.beginnings.extend(req, Instant::now())
    }

    async fn find_beginning(
        self,
        _: tarpc::context::Context,
        stream: streams::StreamId,
    ) -> Option<beginnings::Beginning> {
        self.0.beginnings.find(&stream)
    }

    async fn find_stream(
        self,
        _: tarpc::context::Context,
        stream: streams::StreamId,
    ) -> Option<streams::Origin> {
        self.0.streams.find(&stream)
    }
}
