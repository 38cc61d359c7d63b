//! Model of concurrent reservations at several replicas, with lost messages and lost disks.

use fw_replica::{ledger, member, record, service, state};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const REPLICAS: usize = 3;
const FAULTS: usize = 1;
const BUDGET: u64 = 100;
const MOST: u64 = 30;

fn reserve(turn: u64) -> service::Reserve {
    service::Reserve {
        program: "p".into(),
        charge: turn.to_string().into(),
        tokens: MOST,
        budget: BUDGET,
        known: Vec::new(),
    }
}

fn copy(from: &state::State, to: &mut state::State) {
    let (_, listed, more) = from.list(service::Position::default());
    assert!(!more, "the model reads one page only");
    for listed in listed {
        match listed {
            service::ListedRecord::Charge(charge) if to.is_new(&charge) => store(to, charge),
            _ => {}
        }
    }
}

fn store(state: &mut state::State, charge: record::Charge) {
    let place = fw_replica::journal::Place {
        segment: 1,
        at: 0,
        len: 1,
    };
    state.apply(&record::Record::Charge(charge), place);
}

/// Tokens handed out in the order of events drawn from `seed`.
fn handed_out(seed: u64) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut replicas: Vec<_> = (0..REPLICAS)
        .map(|at| state::State::new(at as u64))
        .collect();
    let quorum = member::Quorum::of(REPLICAS, FAULTS);
    let mut handed = 0;
    for turn in 0..40 {
        // Occasionally one disk is lost, and its replica copies from the others before it votes.
        if rng.random_bool(0.1) {
            let lost = rng.random_range(0..REPLICAS);
            let mut fresh = state::State::new(100 + turn);
            for at in (0..REPLICAS).filter(|at| *at != lost) {
                copy(&replicas[at], &mut fresh);
            }
            replicas[lost] = fresh;
        }
        let mut accepted = 0;
        let mut known = Vec::new();
        for replica in &mut replicas {
            // A lost message.
            if rng.random_bool(0.2) {
                continue;
            }
            if let Ok(charges) = replica.reserve(&reserve(turn), turn) {
                accepted += 1;
                // The charges it has when it accepts, which its reply states.
                known.extend(replica.ledger(&"p".into()));
                charges
                    .into_iter()
                    .for_each(|charge| store(replica, charge));
            }
        }
        // Three turns, each on two of three replicas, would pass at two replicas that have two
        // each.
        let together = ledger::Ledger::union(&known).total() <= BUDGET;
        let ran = accepted >= quorum.vote && together;
        let used = if ran { rng.random_range(0..=MOST) } else { 0 };
        handed += used;
        let charge = record::Charge {
            program: "p".into(),
            id: turn.to_string().into(),
            tokens: used,
            settled: true,
            made: turn,
        };
        for replica in &mut replicas {
            if rng.random_bool(0.7) {
                replica.charge(&charge);
                store(replica, charge.clone());
            }
        }
    }
    handed
}

#[gtest]
fn never_exceed_the_budget() {
    for seed in 0..500 {
        expect_that!(handed_out(seed), le(BUDGET), "seed {seed}");
    }
}

#[gtest]
fn a_majority_of_each_list_meets_one_of_the_next() {
    for members in 1..20 {
        for next in [members - 1, members + 1] {
            let old = member::Quorum::of(members, 0).vote;
            let new = member::Quorum::of(next, 0).vote;
            let all = members.max(next);
            expect_that!(old + new, gt(all), "{members} to {next}");
        }
    }
}
