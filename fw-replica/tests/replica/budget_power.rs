//! Model of a program's budget when all power is lost, and with it as many disks as may be lost
//! together.

use fw_replica::{journal, ledger, member, record, service, state};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const REPLICAS: usize = 5;
const FAULTS: usize = 2;
const BUDGET: u64 = 100;
const MOST: u64 = 30;
const TURNS: u64 = 60;

/// A replica: its state in memory, and the charges on its disk.
struct Replica {
    state: state::State,
    disk: Vec<record::Charge>,
    votes: bool,
}

impl Replica {
    fn new(run: u64, disk: Vec<record::Charge>, votes: bool) -> Self {
        let mut state = state::State::new(run);
        for charge in &disk {
            apply(&mut state, charge.clone());
        }
        Self { state, disk, votes }
    }

    fn store(&mut self, charge: record::Charge) {
        self.disk.push(charge.clone());
        apply(&mut self.state, charge);
    }

    /// Stores a charge unless it is stored, like a settlement or a copy.
    fn offer(&mut self, charge: record::Charge) {
        if self.state.is_new(&charge) {
            self.store(charge);
        }
    }

    fn listed(&self) -> Vec<record::Charge> {
        let (_, listed, more) = self.state.list(service::Position::default());
        assert!(!more, "the model reads one page only");
        let charge = |listed| match listed {
            service::ListedRecord::Charge(charge) => Some(charge),
            service::ListedRecord::Turn(_) => None,
        };
        listed.into_iter().filter_map(charge).collect()
    }
}

fn apply(state: &mut state::State, charge: record::Charge) {
    let place = journal::Place {
        segment: 1,
        at: 0,
        len: 1,
    };
    state.apply(&record::Record::Charge(charge), place);
}

struct Model {
    rng: Pcg64,
    replicas: Vec<Replica>,
    runs: u64,
}

/// Replies of the replicas that were reached.
#[derive(Default)]
struct Round {
    accepted: Vec<usize>,
    refused: Vec<ledger::Line>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let replicas = (0..REPLICAS as u64).map(|run| Replica::new(run, Vec::new(), true));
        Self {
            rng: Pcg64::seed_from_u64(seed),
            replicas: replicas.collect(),
            runs: REPLICAS as u64,
        }
    }

    fn some(&mut self, chance: f64) -> Vec<usize> {
        let all = 0..REPLICAS;
        all.filter(|_| self.rng.random_bool(chance)).collect()
    }

    /// All power is lost, and with it up to `FAULTS` disks. Replicas without a disk vote once they
    /// have copied from enough others that each reservation is on one of them.
    fn lose_power(&mut self) {
        let wiped = self.some(FAULTS as f64 / REPLICAS as f64);
        let wiped: Vec<_> = wiped.into_iter().take(FAULTS).collect();
        for at in 0..REPLICAS {
            self.runs += 1;
            let is_wiped = wiped.contains(&at);
            let disk = std::mem::take(&mut self.replicas[at].disk);
            let disk = if is_wiped { Vec::new() } else { disk };
            self.replicas[at] = Replica::new(self.runs, disk, !is_wiped);
        }
        let needed = member::needed_sources(REPLICAS - 1, true, FAULTS);
        for at in wiped {
            let mut whole: Vec<_> = (0..REPLICAS).filter(|o| self.replicas[*o].votes).collect();
            while whole.len() > needed {
                let left_out = self.rng.random_range(0..whole.len());
                whole.remove(left_out);
            }
            if whole.len() == needed {
                self.copy(at, &whole);
                self.replicas[at].votes = true;
            }
        }
    }

    fn copy(&mut self, to: usize, from: &[usize]) {
        for from in from {
            for charge in self.replicas[*from].listed() {
                self.replicas[to].offer(charge);
            }
        }
    }

    fn request(&mut self, turn: u64, known: &[ledger::Line]) -> Round {
        let reserve = service::Reserve {
            program: "p".into(),
            charge: turn.to_string().into(),
            tokens: MOST,
            budget: BUDGET,
            known: known.to_vec(),
        };
        let mut round = Round::default();
        for at in self.some(0.8) {
            let replica = &mut self.replicas[at];
            if !replica.votes {
                continue;
            }
            match replica.state.reserve(&reserve, turn) {
                Ok(charges) => {
                    charges.into_iter().for_each(|charge| replica.store(charge));
                    round.accepted.push(at);
                }
                Err(lines) => round.refused.extend(lines),
            }
        }
        round
    }

    /// Runs one turn; returns the tokens handed out.
    fn turn(&mut self, turn: u64) -> u64 {
        let mut round = self.request(turn, &[]);
        if !round.refused.is_empty() {
            // The entry retries with the union of the charges of those that refused.
            let mut known = ledger::Ledger::union(&round.refused).lines();
            known.retain(|line| line.charge.as_str() != turn.to_string());
            round = self.request(turn, &known);
        }
        let accepted = round.accepted.iter();
        let known = accepted.flat_map(|at| self.replicas[*at].state.ledger(&"p".into()));
        let known: Vec<_> = known.collect();
        let together = ledger::Ledger::union(&known).total() <= BUDGET;
        let quorum = member::Quorum::of(REPLICAS, FAULTS);
        let runs = round.accepted.len() >= quorum.vote && together;
        let used = if runs {
            self.rng.random_range(0..=MOST)
        } else {
            0
        };
        let charge = record::Charge {
            program: "p".into(),
            id: turn.to_string().into(),
            tokens: used,
            settled: true,
            made: turn,
        };
        for at in self.some(0.7) {
            self.replicas[at].offer(charge.clone());
        }
        used
    }

    /// One replica copies the list of another.
    fn sync(&mut self) {
        let (one, other) = (
            self.rng.random_range(0..REPLICAS),
            self.rng.random_range(0..REPLICAS),
        );
        self.copy(one, &[other]);
    }
}

/// Tokens handed out over turns, copies and losses in the order drawn from `seed`.
fn handed_out(seed: u64) -> u64 {
    let mut model = Model::new(seed);
    let mut handed = 0;
    for turn in 0..TURNS {
        if model.rng.random_bool(0.1) {
            model.lose_power();
        }
        if model.rng.random_bool(0.5) {
            model.sync();
        }
        handed += model.turn(turn);
    }
    handed
}

// A program that loops endlessly spends its budget, is refused and retries. Then two of five
// replicas lose their disks as all lose power, and the program continues. The charges reported as
// stored must survive on one of any three replicas that vote.
#[gtest]
fn holds_when_power_and_disks_are_lost_together() {
    for seed in 0..200 {
        expect_that!(handed_out(seed), le(BUDGET), "seed {seed}");
    }
}
