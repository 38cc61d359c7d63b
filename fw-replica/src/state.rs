//! In-memory state of a replica: an index of the journal, and the ledgers of programs.

use std::collections::{HashMap, VecDeque};

use crate::{journal, ledger, member, record, service};

/// Number of records in a page of the list.
const PAGE_SIZE: usize = 512;

#[derive(Clone, Debug)]
struct IndexEntry {
    place: journal::Place,
    /// End of its retention: the latest of its own and those of the turns that continue it.
    until: record::UnixMs,
    /// The turn that it continues.
    parent: Option<record::TurnId>,
    /// Whether it is stored on a write quorum only.
    is_quorum: bool,
}

/// A reservation within the budget, by the charges on this replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Charges that must be on disk before the replica may accept.
    pub charges: Vec<record::Charge>,
    /// Digest of the charges at the time of the vote, without the new one.
    pub digest: u64,
}

/// The in-memory state.
#[derive(Debug)]
pub struct State {
    run: u64,
    turns: HashMap<record::TurnId, IndexEntry>,
    /// Turns that are continued here and not stored yet, and the end of the retention that they will have.
    awaited: HashMap<record::TurnId, record::UnixMs>,
    ledgers: HashMap<record::ProgramId, ledger::Ledger>,
    /// Listed records in the order in which they were stored, starting at number `dropped`, and the
    /// time until which each is listed.
    order: VecDeque<(record::UnixMs, service::ListedRecord)>,
    dropped: u64,
    synced: bool,
    view: member::View,
    snapshot: service::Snapshot,
    /// Digests of the snapshot's parts.
    digests: service::PartDigests,
    /// Charges that are in the ledger but not on disk, as the disk refused them, and their programs.
    unstored: HashMap<record::ChargeId, record::ProgramId>,
    /// Number of turns in the index that are stored on a write quorum only.
    quorum_turns: usize,
}

impl State {
    /// An empty state; `run` differs for each start of the process.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            turns: HashMap::new(),
            awaited: HashMap::new(),
            ledgers: HashMap::new(),
            order: VecDeque::new(),
            dropped: 0,
            synced: false,
            view: member::View::default(),
            snapshot: service::Snapshot::default(),
            digests: service::PartDigests::default(),
            unstored: HashMap::new(),
            quorum_turns: 0,
        }
    }

    /// Applies a record that is on disk.
    pub fn apply(&mut self, record: &record::Record, place: journal::Place) {
        match record {
            record::Record::Turn(turn) => self.apply_turn(turn, place, false),
            record::Record::QuorumTurn(turn) => self.apply_turn(turn, place, true),
            record::Record::Charge(charge) => {
                self.charge(charge);
                self.unstored.remove(&charge.id);
                let listed = service::ListedRecord::Charge(charge.clone());
                self.order.push_back((charge.retain_until(), listed));
            }
            record::Record::Synced(synced) => self.synced = *synced,
            record::Record::Members(view) => self.update_view(view),
            record::Record::Config(config) => {
                self.digests.config = config.digest();
                self.snapshot.config = Some(config.clone());
            }
            record::Record::Upstreams(list) => {
                self.digests.upstreams = list.digest();
                self.snapshot.upstreams = Some(list.clone());
            }
            // Kept by `server::quarantine`.
            record::Record::Quarantine(_) => {}
        }
    }

    fn apply_turn(&mut self, turn: &record::Turn, place: journal::Place, is_quorum: bool) {
        let awaited = self.awaited.remove(&turn.id);
        let known = self.turns.get(&turn.id).map(|entry| entry.until);
        let until = turn.retain_until().max(awaited.max(known).unwrap_or(0));
        let entry = IndexEntry {
            place,
            until,
            parent: turn.parent.clone(),
            is_quorum,
        };
        let old = self.turns.insert(turn.id.clone(), entry);
        let replaced = old.as_ref().is_some_and(|old| old.is_quorum);
        self.quorum_turns = self.quorum_turns + usize::from(is_quorum) - usize::from(replaced);
        if old.is_none() {
            let listed = service::ListedRecord::Turn(turn.id.clone());
            self.order.push_back((until, listed));
        }
        self.retain_chain(turn.parent.as_ref(), until);
    }

    /// Retains `turn` until `until` at least, also if it is not stored yet.
    pub fn retain(&mut self, turn: &record::TurnId, until: record::UnixMs) {
        self.retain_chain(Some(turn), until);
    }

    /// The newest turn of the chain that ends with `newest` which is not stored here; `None` if all are.
    pub fn missing(&self, newest: Option<&record::TurnId>) -> Option<record::TurnId> {
        let mut next = newest;
        // More steps than turns would mean that the chain leads back to itself.
        for _ in 0..=self.turns.len() {
            let id = next?;
            match self.turns.get(id) {
                Some(entry) => next = entry.parent.as_ref(),
                None => return Some(id.clone()),
            }
        }
        None
    }

    /// Retains the chain that ends with `newest` until `until` at least: a turn can be continued only with
    /// its whole chain.
    fn retain_chain(&mut self, newest: Option<&record::TurnId>, until: record::UnixMs) {
        let mut next = newest.cloned();
        while let Some(id) = next.take() {
            let Some(entry) = self.turns.get_mut(&id) else {
                let awaited = self.awaited.entry(id).or_default();
                *awaited = until.max(*awaited);
                return;
            };
            // The rest of its chain is retained as long as it is.
            if entry.until < until {
                entry.until = until;
                next.clone_from(&entry.parent);
            }
        }
    }

    /// Adds a charge to its ledger, before it is on disk, so that concurrent reservations see it.
    pub fn charge(&mut self, charge: &record::Charge) -> bool {
        let ledger = self.ledgers.entry(charge.program.clone()).or_default();
        ledger.merge(&ledger::Line::from(charge), charge.made)
    }

    /// Charges `reserve` if it stays within the budget, and returns the charges to store; all
    /// charges of the program if it does not.
    ///
    /// *Failure:* a refusal kept the charges sent with the request in memory only. They counted as
    /// stored, so that they were never copied to this disk from others. Once members had been
    /// replaced and all power was lost, a program that had spent its budget was granted it again.
    /// So a refusal leaves the ledger unchanged.
    pub fn reserve(
        &mut self,
        reserve: &service::Reserve,
        now: record::UnixMs,
    ) -> Result<Vec<record::Charge>, Vec<ledger::Line>> {
        let known = self.ledgers.get(&reserve.program);
        let mut ledger = known.cloned().unwrap_or_default();
        let charge = |line: &ledger::Line| record::Charge {
            program: reserve.program.clone(),
            id: line.charge.clone(),
            tokens: line.tokens,
            settled: line.settled,
            made: now,
        };
        let added = reserve.known.iter().filter(|line| ledger.merge(line, now));
        let mut charges: Vec<_> = added.map(charge).collect();
        if !ledger.allows(&reserve.charge, reserve.tokens, reserve.budget) {
            return Err(ledger.lines());
        }
        let line = ledger::Line {
            charge: reserve.charge.clone(),
            tokens: reserve.tokens,
            settled: false,
        };
        ledger.merge(&line, now);
        self.ledgers.insert(reserve.program.clone(), ledger);
        charges.push(charge(&line));
        Ok(charges)
    }

    /// Votes on `reserve`, and charges it if it stays within the budget.
    ///
    /// *Failure:* the digest was taken once the charges were on disk. Replicas that had accepted a
    /// turn with different charges could by then have copied the missing ones from each other;
    /// their digests agreed, though their union exceeded the budget. So the digest covers the
    /// charges at the time of the vote.
    pub fn vote(
        &mut self,
        reserve: &service::Reserve,
        now: record::UnixMs,
    ) -> Result<Granted, Vec<ledger::Line>> {
        let charges = self.reserve(reserve, now)?;
        Ok(Granted {
            charges,
            digest: self.digest(reserve),
        })
    }

    /// Marks `charge`, which is in the ledger, as refused by the disk, so that it still has to be
    /// stored.
    pub fn mark_unstored(&mut self, charge: record::Charge) {
        self.unstored.insert(charge.id, charge.program);
    }

    /// Digest of the program's charges, without that of `reserve`.
    fn digest(&self, reserve: &service::Reserve) -> u64 {
        let ledger = self.ledgers.get(&reserve.program);
        ledger.map_or(0, |ledger| ledger.digest(&reserve.charge))
    }

    /// All charges of `program`.
    pub fn ledger(&self, program: &record::ProgramId) -> Vec<ledger::Line> {
        let ledger = self.ledgers.get(program);
        ledger.map_or_else(Vec::new, ledger::Ledger::lines)
    }

    /// Location of a turn in the journal.
    pub fn place(&self, turn: &record::TurnId) -> Option<journal::Place> {
        self.turns.get(turn).map(|entry| entry.place)
    }

    /// Records that a turn was written again at `place`.
    pub fn relocate(&mut self, turn: &record::TurnId, place: journal::Place) {
        if let Some(entry) = self.turns.get_mut(turn) {
            entry.place = place;
        }
    }

    /// End of the retention of the turn, if its newest copy is at `place`.
    pub fn retained_until(
        &self,
        turn: &record::TurnId,
        place: journal::Place,
    ) -> Option<record::UnixMs> {
        let entry = self.turns.get(turn)?;
        (entry.place == place).then_some(entry.until)
    }

    /// Whether `charge` changes its program's ledger or still has to be stored.
    pub fn is_new(&self, charge: &record::Charge) -> bool {
        if self.unstored.contains_key(&charge.id) {
            return true;
        }
        let ledger = self.ledgers.get(&charge.program);
        ledger.is_none_or(|ledger| ledger.is_new(&ledger::Line::from(charge)))
    }

    fn update_view(&mut self, view: &member::View) {
        if view.epoch > self.view.epoch {
            self.view = view.clone();
        }
    }

    /// Contents of the platform's store, as published by entries.
    pub fn snapshot(&self) -> &service::Snapshot {
        &self.snapshot
    }

    /// Digests of the snapshot's parts.
    pub fn digests(&self) -> service::PartDigests {
        self.digests
    }

    /// The parts of the snapshot that differ from those with these `digests`.
    pub fn parts_missing_from(&self, digests: service::PartDigests) -> service::Snapshot {
        let lacks = self.digests.differing_from(digests);
        let service::Snapshot { config, upstreams } = &self.snapshot;
        service::Snapshot {
            config: config.clone().filter(|_| lacks.config != 0),
            upstreams: upstreams.clone().filter(|_| lacks.upstreams != 0),
        }
    }

    /// The newest member list.
    pub fn view(&self) -> &member::View {
        &self.view
    }

    /// Whether the replica has all records that a member must have.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// A page of the list of records from `after` on, with the next position and whether there are
    /// more.
    pub fn list(
        &self,
        after: service::Position,
    ) -> (service::Position, Vec<service::ListedRecord>, bool) {
        let read = if after.run == self.run { after.read } else { 0 };
        let skip = read.saturating_sub(self.dropped) as usize;
        let page = self.order.iter().skip(skip).take(PAGE_SIZE);
        let records: Vec<_> = page.map(|(_, listed)| listed.clone()).collect();
        let read = read.max(self.dropped) + records.len() as u64;
        let more = read < self.list_end();
        let next = service::Position {
            run: self.run,
            read,
        };
        (next, records, more)
    }

    /// The page of [`Self::list`] without the turns that are stored on a write quorum only, and without
    /// reservations that are settled: a reader needs no copies of these, as each charge is on `f + 1`
    /// disks, and whoever replaces a lost disk reads all.
    pub fn list_for_all(
        &self,
        after: service::Position,
    ) -> (service::Position, Vec<service::ListedRecord>, bool) {
        let (next, mut records, more) = self.list(after);
        records.retain(|listed| match listed {
            service::ListedRecord::Turn(id) => !self.is_quorum_turn(id),
            service::ListedRecord::Charge(charge) => self.is_live(charge),
        });
        (next, records, more)
    }

    /// Indexes of the turns in `listed` that are stored on a write quorum only.
    pub fn quorum_turns(&self, listed: &[service::ListedRecord]) -> Vec<u32> {
        if self.quorum_turns == 0 {
            return Vec::new();
        }
        let is_quorum = |listed: &service::ListedRecord| match listed {
            service::ListedRecord::Turn(id) => self.is_quorum_turn(id),
            service::ListedRecord::Charge(_) => false,
        };
        let indexes = (0..).zip(listed);
        indexes
            .filter(|(_, listed)| is_quorum(listed))
            .map(|(index, _)| index)
            .collect()
    }

    fn is_quorum_turn(&self, id: &record::TurnId) -> bool {
        self.turns.get(id).is_some_and(|entry| entry.is_quorum)
    }

    /// Number of records listed so far, including dropped ones.
    pub fn list_end(&self) -> u64 {
        self.dropped + self.order.len() as u64
    }

    /// Whether `charge` is the current state of the charge with its id.
    pub fn is_live(&self, charge: &record::Charge) -> bool {
        let ledger = self.ledgers.get(&charge.program);
        ledger.is_some_and(|ledger| ledger.holds(&ledger::Line::from(charge)))
    }

    /// Drops records whose retention is over.
    ///
    /// A ledger is retained as a whole while its program is charged: a replica that copied only the
    /// newer charges would see more budget left than there is. A chain is retained as a whole for its
    /// newest turn. A record that is retained for others is listed again, at the end, when its own
    /// retention is over.
    pub fn expire(&mut self, now: record::UnixMs) {
        let mut expired_quorum_turns = 0;
        self.turns.retain(|_, entry| {
            let keep = entry.until > now;
            expired_quorum_turns += usize::from(!keep && entry.is_quorum);
            keep
        });
        self.quorum_turns -= expired_quorum_turns;
        self.awaited.retain(|_, until| *until > now);
        let keep = record::CHARGE_RETENTION;
        self.ledgers
            .retain(|_, ledger| record::add(ledger.last_charged(), keep) > now);
        self.unstored
            .retain(|_, program| self.ledgers.contains_key(program));
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, listed)) = self.order.pop_front() else {
                break;
            };
            self.dropped += 1;
            let until = match &listed {
                service::ListedRecord::Charge(charge) => {
                    self.is_live(charge).then(|| record::add(now, keep))
                }
                service::ListedRecord::Turn(id) => self.turns.get(id).map(|entry| entry.until),
            };
            if let Some(until) = until {
                self.order.push_back((until, listed));
            }
        }
    }

    /// Number of turns in the index.
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// Number of ledgers.
    pub fn programs(&self) -> usize {
        self.ledgers.len()
    }
}
