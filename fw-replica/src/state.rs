//! What a replica knows: an index of the journal, and the ledgers of programs.

use std::collections::{HashMap, VecDeque};

use crate::{journal, ledger, member, record, service};

/// Records in a page of the list.
const PAGE: usize = 512;

#[derive(Clone, Debug)]
struct Known {
    place: journal::Place,
    until: record::UnixMs,
}

/// A reservation that is within the budget as far as is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// What has to be stored before the replica may say so.
    pub charges: Vec<record::Charge>,
    /// Digest of the charges known when it was judged, but for its own.
    pub digest: u64,
}

/// The index.
#[derive(Debug)]
pub struct State {
    run: u64,
    turns: HashMap<record::TurnId, Known>,
    ledgers: HashMap<record::ProgramId, ledger::Ledger>,
    /// Records in the order in which they were stored, from number `dropped` on, and until when
    /// each is listed.
    order: VecDeque<(record::UnixMs, service::ListedRecord)>,
    dropped: u64,
    synced: bool,
    view: member::View,
    bulletins: service::Snapshot,
    /// Digests of the bulletins.
    marks: service::PartDigests,
    /// Turns that were charged without the charge being on disk, as the disk refused it, and their
    /// programs.
    not_stored: HashMap<record::TurnId, record::ProgramId>,
}

impl State {
    /// An empty one; `run` differs for each start of the process.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            turns: HashMap::new(),
            ledgers: HashMap::new(),
            order: VecDeque::new(),
            dropped: 0,
            synced: false,
            view: member::View::default(),
            bulletins: service::Snapshot::default(),
            marks: service::PartDigests::default(),
            not_stored: HashMap::new(),
        }
    }

    /// Adds a record that is on disk.
    pub fn apply(&mut self, record: &record::Record, place: journal::Place) {
        match record {
            record::Record::Turn(turn) => self.apply_turn(turn, place),
            record::Record::Charge(charge) => {
                self.charge(charge);
                self.not_stored.remove(&charge.turn);
                let listed = service::ListedRecord::Charge(charge.clone());
                self.order.push_back((charge.until(), listed));
            }
            record::Record::Synced(synced) => self.synced = *synced,
            record::Record::Members(view) => self.learn(view),
            record::Record::Config(config) => {
                self.marks.config = config.digest();
                self.bulletins.config = Some(config.clone());
            }
            record::Record::Upstreams(list) => {
                self.marks.upstreams = list.digest();
                self.bulletins.upstreams = Some(list.clone());
            }
        }
    }

    fn apply_turn(&mut self, turn: &record::Turn, place: journal::Place) {
        let until = turn.until();
        let known = Known { place, until };
        if self.turns.insert(turn.id.clone(), known).is_none() {
            let listed = service::ListedRecord::Turn(turn.id.clone());
            self.order.push_back((until, listed));
        }
    }

    /// Charges a program, before the charge is on disk, so that one which races sees it.
    pub fn charge(&mut self, charge: &record::Charge) -> bool {
        let ledger = self.ledgers.entry(charge.program.clone()).or_default();
        ledger.merge(&ledger::Line::from(charge), charge.made)
    }

    /// Charges `reserve` if it stays within the budget, and returns what then has to be stored;
    /// all charges known if it does not.
    ///
    /// *Failure:* a refusal kept the charges that it was told of in memory only. They counted as
    /// known, so that they were never copied to this disk from others'. Once members had been
    /// replaced and all power was lost, a program that had spent its budget was granted it again.
    /// So a refusal leaves the ledger as it was.
    pub fn reserve(
        &mut self,
        reserve: &service::Reserve,
        now: record::UnixMs,
    ) -> Result<Vec<record::Charge>, Vec<ledger::Line>> {
        let known = self.ledgers.get(&reserve.program);
        let mut ledger = known.cloned().unwrap_or_default();
        let charge = |line: &ledger::Line| record::Charge {
            program: reserve.program.clone(),
            turn: line.turn.clone(),
            tokens: line.tokens,
            settled: line.settled,
            made: now,
        };
        let news = reserve.known.iter().filter(|line| ledger.merge(line, now));
        let mut charges: Vec<_> = news.map(charge).collect();
        if !ledger.allows(&reserve.turn, reserve.tokens, reserve.budget) {
            return Err(ledger.lines());
        }
        let line = ledger::Line {
            turn: reserve.turn.clone(),
            tokens: reserve.tokens,
            settled: false,
        };
        ledger.merge(&line, now);
        self.ledgers.insert(reserve.program.clone(), ledger);
        charges.push(charge(&line));
        Ok(charges)
    }

    /// Judges `reserve`, and charges it if it stays within the budget.
    ///
    /// *Failure:* the digest was taken after the disk had the charges. Replicas that had accepted a
    /// turn knowing different ones could by then have copied the missing ones from each other; their
    /// digests agreed, though all together went beyond the budget. So it tells what was known when
    /// the turn was judged.
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

    /// The disk refused `charge`, which is charged already: it has to be stored yet.
    pub fn not_stored(&mut self, charge: record::Charge) {
        self.not_stored.insert(charge.turn, charge.program);
    }

    /// Digest of what is known of the program, but for the turn of `reserve`.
    fn digest(&self, reserve: &service::Reserve) -> u64 {
        let ledger = self.ledgers.get(&reserve.program);
        ledger.map_or(0, |ledger| ledger.digest(&reserve.turn))
    }

    /// All charges of `program`.
    pub fn ledger(&self, program: &record::ProgramId) -> Vec<ledger::Line> {
        let ledger = self.ledgers.get(program);
        ledger.map_or_else(Vec::new, ledger::Ledger::lines)
    }

    /// Where a turn lies.
    pub fn place(&self, turn: &record::TurnId) -> Option<journal::Place> {
        self.turns.get(turn).map(|known| known.place)
    }

    /// Whether storing `charge` would say anything new.
    pub fn is_news(&self, charge: &record::Charge) -> bool {
        if self.not_stored.contains_key(&charge.turn) {
            return true;
        }
        let ledger = self.ledgers.get(&charge.program);
        ledger.is_none_or(|ledger| ledger.is_news(&ledger::Line::from(charge)))
    }

    fn learn(&mut self, view: &member::View) {
        if view.epoch > self.view.epoch {
            self.view = view.clone();
        }
    }

    /// What entries know from the platform's store.
    pub fn bulletins(&self) -> &service::Snapshot {
        &self.bulletins
    }

    /// Digests of the bulletins.
    pub fn marks(&self) -> service::PartDigests {
        self.marks
    }

    /// The bulletins that the owner of `marks` lacks.
    pub fn bulletins_unlike(&self, marks: service::PartDigests) -> service::Snapshot {
        let lacks = self.marks.differing_from(marks);
        let service::Snapshot { config, upstreams } = &self.bulletins;
        service::Snapshot {
            config: config.clone().filter(|_| lacks.config != 0),
            upstreams: upstreams.clone().filter(|_| lacks.upstreams != 0),
        }
    }

    /// The newest member list known.
    pub fn view(&self) -> &member::View {
        &self.view
    }

    /// Whether it has all that a member has to know.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// The list of records after `after`.
    pub fn list(
        &self,
        after: service::Position,
    ) -> (service::Position, Vec<service::ListedRecord>, bool) {
        let read = if after.run == self.run { after.read } else { 0 };
        let skip = read.saturating_sub(self.dropped) as usize;
        let page = self.order.iter().skip(skip).take(PAGE);
        let records: Vec<_> = page.map(|(_, listed)| listed.clone()).collect();
        let read = read.max(self.dropped) + records.len() as u64;
        let more = read < self.list_end();
        let next = service::Position {
            run: self.run,
            read,
        };
        (next, records, more)
    }

    /// Number of records ever listed.
    pub fn list_end(&self) -> u64 {
        self.dropped + self.order.len() as u64
    }

    /// Whether `charge` is still part of its program's ledger.
    pub fn is_live(&self, charge: &record::Charge) -> bool {
        let ledger = self.ledgers.get(&charge.program);
        ledger.is_some_and(|ledger| ledger.holds(&ledger::Line::from(charge)))
    }

    /// Forgets what has been kept long enough.
    ///
    /// A ledger is kept whole as long as its program is charged: a replica that copies only the
    /// newer charges would take the program for one with more budget left than it has. Charges of
    /// such a program are listed again, behind the others, when their own time is over.
    pub fn expire(&mut self, now: record::UnixMs) {
        self.turns.retain(|_, known| known.until > now);
        let keep = record::KEEP_CHARGE;
        self.ledgers
            .retain(|_, ledger| record::add(ledger.touched(), keep) > now);
        self.not_stored
            .retain(|_, program| self.ledgers.contains_key(program));
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, listed)) = self.order.pop_front() else {
                break;
            };
            self.dropped += 1;
            if let service::ListedRecord::Charge(charge) = &listed
                && self.is_live(charge)
            {
                self.order.push_back((record::add(now, keep), listed));
            }
        }
    }

    /// Turns known.
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// Ledgers known.
    pub fn programs(&self) -> usize {
        self.ledgers.len()
    }
}
