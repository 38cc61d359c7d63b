//! Model of a program's concurrent turns while requests are retried, replicas copy from each other,
//! members are replaced, and power and disks are lost. Every message is an event of its own.

use std::collections::BTreeMap;

use fw_replica::{journal, ledger, member, record, service, state, tally};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const FAULTS: usize = 2;
/// Five of them are members at first; the others are standbys.
const MACHINES: usize = 7;
const BUDGET: u64 = 100;
const MOST: u64 = 30;
const STEPS: usize = 800;
/// Most turns in flight at once.
const MAX_CONCURRENT: usize = 4;
/// Number of later messages that may overtake a message.
const MAX_OVERTAKES: usize = 12;
/// Most rounds that an entry tries for one turn while too few replicas answer.
const MAX_ROUNDS: u32 = 4;

type ReplicaIndex = usize;
type TurnIndex = usize;

/// A replica: its state in memory, and the charges on its disk.
struct Replica {
    state: state::State,
    disk: Vec<record::Charge>,
    /// Differs after each start; writes of an earlier start never complete.
    run: u64,
    epoch: member::Epoch,
    votes: bool,
    alive: bool,
    /// Progress of joining, for a replica that does not vote yet.
    joins: Option<Joining>,
}

/// Members read by a joining replica.
#[derive(Clone)]
struct Joining {
    announced: bool,
    lost_disk: bool,
    read: Vec<ReplicaIndex>,
}

/// A message, write or timer that is pending.
enum Event {
    /// An entry's request reaches a replica.
    Request {
        turn: TurnIndex,
        round: u32,
        at: ReplicaIndex,
        epoch: member::Epoch,
        known: Vec<ledger::Line>,
    },
    /// An accepted reservation is on a replica's disk.
    Stored {
        turn: TurnIndex,
        round: u32,
        at: ReplicaIndex,
        run: u64,
        granted: state::Granted,
    },
    /// A replica's reply reaches the entry.
    Accepted {
        turn: TurnIndex,
        round: u32,
        from: ReplicaIndex,
        digest: u64,
    },
    Refused {
        turn: TurnIndex,
        round: u32,
        known: Vec<ledger::Line>,
    },
    /// The entry's wait times out.
    Late { turn: TurnIndex, round: u32 },
    /// An entry's request for a ledger reaches a replica.
    Read {
        turn: TurnIndex,
        round: u32,
        at: ReplicaIndex,
    },
    /// The turn ends.
    End { turn: TurnIndex, used: u64 },
    /// A settlement reaches a replica.
    Settle {
        at: ReplicaIndex,
        charge: record::Charge,
    },
}

/// A turn, as seen by its entry.
struct Turn {
    round: u32,
    epoch: member::Epoch,
    members: Vec<ReplicaIndex>,
    known: Vec<ledger::Line>,
    tally: tally::Tally<ReplicaIndex>,
    left: usize,
    /// Number of ledgers still to read, and the lines read so far.
    reads: Option<(usize, Vec<ledger::Line>)>,
    over: bool,
}

struct Model {
    rng: Pcg64,
    replicas: Vec<Replica>,
    /// The lists of all epochs, as in the platform's store.
    lists: BTreeMap<member::Epoch, Vec<ReplicaIndex>>,
    events: Vec<Event>,
    turns: Vec<Turn>,
    runs: u64,
    /// Tokens handed out, and those that turns in flight may still hand out.
    owed: u64,
    /// Maximum of `owed` so far.
    peak: u64,
}

fn place() -> journal::Place {
    journal::Place {
        segment: 1,
        at: 0,
        len: 1,
    }
}

impl Replica {
    fn start(run: u64, disk: Vec<record::Charge>) -> Self {
        let mut state = state::State::new(run);
        for charge in &disk {
            state.apply(&record::Record::Charge(charge.clone()), place());
        }
        Self {
            state,
            disk,
            run,
            epoch: 1,
            votes: false,
            alive: true,
            joins: None,
        }
    }

    fn store(&mut self, charge: record::Charge) {
        self.disk.push(charge.clone());
        self.state.apply(&record::Record::Charge(charge), place());
    }

    fn offer(&mut self, charge: record::Charge) {
        if self.state.is_new(&charge) {
            self.store(charge);
        }
    }

    fn listed(&self) -> Vec<record::Charge> {
        let mut at = service::Position::default();
        let mut charges = Vec::new();
        loop {
            let (next, listed, more) = self.state.list(at);
            charges.extend(listed.into_iter().filter_map(|listed| match listed {
                service::ListedRecord::Charge(charge) => Some(charge),
                service::ListedRecord::Turn(_) => None,
            }));
            if !more {
                return charges;
            }
            at = next;
        }
    }
}

impl Model {
    fn new(seed: u64) -> Self {
        let members = member::target_members(FAULTS);
        let replicas = (0..MACHINES).map(|at| Replica {
            votes: at < members,
            ..Replica::start(at as u64, Vec::new())
        });
        Self {
            rng: Pcg64::seed_from_u64(seed),
            replicas: replicas.collect(),
            lists: BTreeMap::from([(1, (0..members).collect())]),
            events: Vec::new(),
            turns: Vec::new(),
            runs: MACHINES as u64,
            owed: 0,
            peak: 0,
        }
    }

    fn newest(&self) -> (member::Epoch, Vec<ReplicaIndex>) {
        let (epoch, list) = self.lists.last_key_value().unwrap();
        (*epoch, list.clone())
    }

    fn any(&mut self, of: &[ReplicaIndex]) -> Option<ReplicaIndex> {
        if of.is_empty() {
            return None;
        }
        Some(of[self.rng.random_range(0..of.len())])
    }

    // Turns.

    fn begin(&mut self) {
        // The entry's list may be outdated.
        let (newest, _) = self.newest();
        let epoch = newest
            .saturating_sub(u64::from(self.rng.random_bool(0.2)))
            .max(1);
        self.turns.push(Turn {
            round: 0,
            epoch,
            members: Vec::new(),
            known: Vec::new(),
            tally: tally::Tally::default(),
            left: 0,
            reads: None,
            over: false,
        });
        self.request(self.turns.len() - 1);
    }

    fn request(&mut self, turn: TurnIndex) {
        let current = &mut self.turns[turn];
        current.round += 1;
        current.members = self.lists[&current.epoch].clone();
        current.tally = tally::Tally::default();
        current.left = current.members.len();
        current.reads = None;
        let (round, epoch) = (current.round, current.epoch);
        for at in current.members.clone() {
            let known = current.known.clone();
            self.events.push(Event::Request {
                turn,
                round,
                at,
                epoch,
                known,
            });
        }
        self.events.push(Event::Late { turn, round });
    }

    fn reserve(&self, turn: TurnIndex, known: Vec<ledger::Line>) -> service::Reserve {
        service::Reserve {
            program: "p".into(),
            charge: turn.to_string().into(),
            tokens: MOST,
            budget: BUDGET,
            known,
        }
    }

    fn handle_request(
        &mut self,
        turn: TurnIndex,
        round: u32,
        at: ReplicaIndex,
        epoch: member::Epoch,
        known: Vec<ledger::Line>,
    ) {
        let reserve = self.reserve(turn, known);
        let replica = &mut self.replicas[at];
        if !replica.alive {
            return;
        }
        if epoch < replica.epoch {
            let newer = replica.epoch;
            self.turns[turn].epoch = newer.max(self.turns[turn].epoch);
            return;
        }
        if !replica.votes {
            return;
        }
        let run = replica.run;
        let event = match replica.state.vote(&reserve, 1) {
            Ok(granted) => Event::Stored {
                turn,
                round,
                at,
                run,
                granted,
            },
            Err(known) => Event::Refused { turn, round, known },
        };
        self.events.push(event);
    }

    /// A reply reaches the entry.
    fn count_reply(
        &mut self,
        turn: TurnIndex,
        round: u32,
        note: impl FnOnce(&mut tally::Tally<ReplicaIndex>),
    ) {
        let current = &mut self.turns[turn];
        if current.over || current.round != round || current.reads.is_some() {
            return;
        }
        note(&mut current.tally);
        current.left -= 1;
        let quorum = member::Quorum::of(current.members.len(), FAULTS);
        let accepted = current.tally.accepted().count();
        if accepted >= quorum.vote || accepted + current.left < quorum.vote {
            self.judge(turn);
        }
    }

    fn judge(&mut self, turn: TurnIndex) {
        let reserve = self.reserve(turn, Vec::new());
        let current = &mut self.turns[turn];
        // Like the client: a second round at once if that can change the outcome.
        if current.known.is_empty()
            && let Some(known) = current.tally.retry_charges(&reserve)
        {
            current.known = known;
            return self.request(turn);
        }
        let members = current.members.len();
        let quorum = member::Quorum::of(members, FAULTS);
        match current.tally.verdict(members, quorum) {
            tally::Verdict::Run => self.run(turn),
            tally::Verdict::Spent { .. } => self.settle(turn, 0),
            tally::Verdict::Unsure { .. } => self.unsure(turn),
            tally::Verdict::Compare => {
                let round = current.round;
                let accepted: Vec<_> = current.tally.accepted().collect();
                current.reads = Some((accepted.len(), Vec::new()));
                let reads = accepted
                    .into_iter()
                    .map(|at| Event::Read { turn, round, at });
                self.events.extend(reads);
            }
        }
    }

    fn read(&mut self, turn: TurnIndex, round: u32, at: ReplicaIndex) {
        let lines = self.replicas[at].state.ledger(&"p".into());
        let is_alive = self.replicas[at].alive;
        let current = &mut self.turns[turn];
        let is_current = !current.over && current.round == round;
        let Some((left, read)) = current.reads.as_mut().filter(|_| is_current && is_alive) else {
            return;
        };
        *left -= 1;
        read.extend(lines);
        if *left > 0 {
            return;
        }
        let lines = std::mem::take(read);
        let reserve = self.reserve(turn, Vec::new());
        match tally::compare(&reserve, &lines) {
            Ok(()) => self.run(turn),
            Err(_) => self.settle(turn, 0),
        }
    }

    fn unsure(&mut self, turn: TurnIndex) {
        self.turns[turn].known.clear();
        if self.turns[turn].round < MAX_ROUNDS {
            self.request(turn);
        } else {
            self.settle(turn, 0);
        }
    }

    fn run(&mut self, turn: TurnIndex) {
        self.turns[turn].over = true;
        self.owed += MOST;
        self.peak = self.peak.max(self.owed);
        let used = self.rng.random_range(0..=MOST);
        self.events.push(Event::End { turn, used });
    }

    fn settle(&mut self, turn: TurnIndex, used: u64) {
        self.turns[turn].over = true;
        let charge = record::Charge {
            program: "p".into(),
            id: turn.to_string().into(),
            tokens: used,
            settled: true,
            made: 1,
        };
        let (_, members) = self.newest();
        for at in members {
            let charge = charge.clone();
            self.events.push(Event::Settle { at, charge });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                turn,
                round,
                at,
                epoch,
                known,
            } => self.handle_request(turn, round, at, epoch, known),
            Event::Stored {
                turn,
                round,
                at,
                run,
                granted,
            } => {
                let replica = &mut self.replicas[at];
                if replica.run == run && replica.alive {
                    granted
                        .charges
                        .into_iter()
                        .for_each(|charge| replica.store(charge));
                    let digest = granted.digest;
                    self.events.push(Event::Accepted {
                        turn,
                        round,
                        from: at,
                        digest,
                    });
                }
            }
            Event::Accepted {
                turn,
                round,
                from,
                digest,
            } => {
                self.count_reply(turn, round, |tally| tally.accept(from, digest));
            }
            Event::Refused { turn, round, known } => {
                self.count_reply(turn, round, |tally| tally.refuse(known));
            }
            Event::Late { turn, round } => {
                if !self.turns[turn].over && self.turns[turn].round == round {
                    self.unsure(turn);
                }
            }
            Event::Read { turn, round, at } => self.read(turn, round, at),
            Event::End { turn, used } => {
                self.owed -= MOST - used;
                self.settle(turn, used);
            }
            Event::Settle { at, charge } => {
                if self.replicas[at].alive {
                    self.replicas[at].offer(charge);
                }
            }
        }
    }

    // Replicas.

    /// A member, possibly a joining one, copies the lists of most others.
    fn sync(&mut self) {
        let (_, list) = self.newest();
        let Some(to) = self.any(&list) else { return };
        for from in list {
            if from != to && self.rng.random_bool(0.8) {
                self.copy(to, from);
            }
        }
    }

    /// Copies the list of `from` to its end.
    fn copy(&mut self, to: ReplicaIndex, from: ReplicaIndex) {
        let (epoch, list) = self.newest();
        if !self.replicas[to].alive || !self.replicas[from].alive {
            return;
        }
        let is_whole = self.replicas[from].votes;
        for charge in self.replicas[from].listed() {
            self.replicas[to].offer(charge);
        }
        let replica = &mut self.replicas[to];
        let Some(joins) = replica.joins.as_mut().filter(|joins| joins.announced) else {
            return;
        };
        if is_whole && !joins.read.contains(&from) {
            joins.read.push(from);
        }
        let needed = member::needed_sources(list.len() - 1, joins.lost_disk, FAULTS);
        if replica.epoch == epoch && joins.read.len() >= needed {
            replica.votes = true;
            replica.joins = None;
        }
    }

    /// Announces the newest list to all live members; returns whether a majority of it then refuses
    /// older ones.
    fn announce(&mut self) -> bool {
        let (epoch, list) = self.newest();
        let mut informed = 0;
        for at in &list {
            if self.replicas[*at].alive && self.rng.random_bool(0.9) {
                self.update_epoch(*at, epoch);
                informed += 1;
            }
        }
        informed * 2 > list.len()
    }

    /// A replica that has not finished copying for the current list starts over.
    fn update_epoch(&mut self, at: ReplicaIndex, epoch: member::Epoch) {
        let replica = &mut self.replicas[at];
        if epoch > replica.epoch {
            replica.epoch = epoch;
            if let Some(joins) = &mut replica.joins {
                joins.announced = false;
                joins.read.clear();
            }
        }
    }

    fn announce_for_joining(&mut self) {
        let (epoch, list) = self.newest();
        let joining = list
            .into_iter()
            .filter(|at| self.replicas[*at].joins.is_some());
        let joining: Vec<_> = joining.collect();
        if let Some(at) = self.any(&joining)
            && self.announce()
        {
            self.update_epoch(at, epoch);
            if let Some(joins) = &mut self.replicas[at].joins {
                joins.announced = true;
            }
        }
    }

    /// Number of members that are lost or have not finished copying.
    fn missing(&self) -> usize {
        let (_, list) = self.newest();
        list.iter().filter(|at| !self.replicas[**at].votes).count()
    }

    /// Replaces a lost member: first a standby joins the list, then the lost member is removed.
    fn replace(&mut self) {
        let (epoch, list) = self.newest();
        let dead = list.iter().copied().find(|at| !self.replicas[*at].alive);
        let spare = (0..MACHINES).find(|at| !list.contains(at) && self.replicas[*at].alive);
        let wanted = member::target_members(FAULTS);
        let live = list.iter().filter(|at| self.replicas[**at].alive).count();
        let next = match (dead, spare) {
            (Some(dead), _) if list.len() > wanted => {
                list.iter().copied().filter(|at| *at != dead).collect()
            }
            (Some(_), Some(spare)) if live < wanted => {
                self.replicas[spare].joins = Some(Joining {
                    announced: false,
                    lost_disk: false,
                    read: Vec::new(),
                });
                list.iter().copied().chain([spare]).collect()
            }
            _ => return,
        };
        // A list is replaced only after a majority of its members were informed of it.
        if self.announce() {
            self.lists.insert(epoch + 1, next);
        } else if let Some(spare) = spare.filter(|spare| !list.contains(spare)) {
            self.replicas[spare].joins = None;
        }
    }

    fn lose_one(&mut self) {
        let (_, list) = self.newest();
        if self.missing() > 0 {
            return;
        }
        if let Some(at) = self.any(&list) {
            self.replicas[at].alive = false;
            self.replicas[at].votes = false;
        }
    }

    /// All power is lost, and with it up to as many disks as may be lost together.
    fn lose_power(&mut self) {
        let (_, list) = self.newest();
        let mut may_lose = FAULTS.saturating_sub(self.missing());
        for at in list {
            if !self.replicas[at].alive {
                continue;
            }
            self.runs += 1;
            let is_wiped = may_lose > 0 && self.rng.random_bool(0.4);
            may_lose -= usize::from(is_wiped);
            let old = &mut self.replicas[at];
            let disk = std::mem::take(&mut old.disk);
            let votes = old.votes && !is_wiped;
            let joins = (!votes).then_some(Joining {
                announced: false,
                lost_disk: true,
                read: Vec::new(),
            });
            let epoch = if is_wiped { 1 } else { old.epoch };
            let disk = if is_wiped { Vec::new() } else { disk };
            self.replicas[at] = Replica {
                votes,
                joins,
                epoch,
                ..Replica::start(self.runs, disk)
            };
        }
    }

    fn step(&mut self) {
        let racing = self.turns.iter().filter(|turn| !turn.over).count();
        match self.rng.random_range(0..1_000) {
            0..3 => self.lose_power(),
            3..5 => self.lose_one(),
            5..25 => self.replace(),
            25..60 => self.announce_for_joining(),
            60..200 => self.sync(),
            200..300 if racing < MAX_CONCURRENT => self.begin(),
            _ if !self.events.is_empty() => {
                let next = self
                    .rng
                    .random_range(0..self.events.len().min(MAX_OVERTAKES));
                let event = self.events.remove(next);
                // Timers run at the entry and fire later than most replies arrive; some messages
                // are lost.
                let timer = matches!(event, Event::Late { .. } | Event::End { .. });
                if timer && self.rng.random_bool(0.8) {
                    self.events.push(event);
                } else if timer || self.rng.random_bool(0.95) {
                    self.handle(event);
                }
            }
            _ => {}
        }
    }
}

/// The most that may be handed out in the order of events drawn from `seed`.
fn max_owed(seed: u64) -> u64 {
    let mut model = Model::new(seed);
    for _ in 0..STEPS {
        model.step();
    }
    model.peak
}

// Guards against a budget exceeded by concurrent turns. A program that loops endlessly starts
// sub-agents, whose turns request the last of its budget at once. A replica joins, or replies are
// late, so that entries retry; meanwhile replicas copy from each other. A turn that had not been
// granted was then accepted wherever its reservation had been copied to, beside the turns granted
// since, and the program got more than its budget.
#[gtest]
fn holds_while_turns_race() {
    for seed in 0..2_000 {
        expect_that!(max_owed(seed), le(BUDGET), "seed {seed}");
    }
}
