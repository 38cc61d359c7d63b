//! Ledger of one program's charges.

use fw_replica::ledger::{Ledger, Line};
use fw_replica::state::State;
use fw_replica::{journal, record, service};
use googletest::prelude::*;

fn line(turn: &str, tokens: u64, settled: bool) -> Line {
    Line {
        charge: turn.into(),
        tokens,
        settled,
    }
}

#[gtest]
fn counts_a_turn_at_its_most_until_it_is_settled() {
    let mut ledger = Ledger::default();
    expect_true!(ledger.merge(&line("a", 30, false), 1));
    expect_false!(ledger.allows(&"b".into(), 30, 50));
    expect_true!(ledger.merge(&line("a", 10, true), 2));
    expect_true!(ledger.allows(&"b".into(), 30, 50));
    expect_that!(ledger.total(), eq(10));
}

#[gtest]
fn merges_in_any_order() {
    // A settlement overtakes its reservation on another connection. If the reservation counted as a
    // new one, the program would be charged for ever for a turn that is over.
    let mut ledger = Ledger::default();
    expect_true!(ledger.merge(&line("a", 10, true), 1));
    expect_false!(ledger.merge(&line("a", 30, false), 2));
    expect_false!(ledger.merge(&line("a", 20, true), 2));
    expect_that!(ledger.total(), eq(10));
    expect_true!(ledger.allows(&"a".into(), 30, 10));
}

/// Place of a record; nothing is read back here.
const PLACE: journal::Place = journal::Place {
    segment: 1,
    at: 0,
    len: 1,
};

fn reserve(turn: &str, known: Vec<Line>) -> service::Reserve {
    service::Reserve {
        program: "p".into(),
        charge: turn.into(),
        tokens: 50,
        budget: 100,
        known,
    }
}

// Guards against charges that are known in memory but never copied to disk. A program that has
// spent its budget requests tokens again. A replica that lacked its charges receives them with the
// request, refuses, and then counted them as stored: it never copied them from the others' lists.
// After the others had been replaced one by one and all power was lost, the program was granted its
// whole budget again.
#[gtest]
fn a_refusal_leaves_charges_to_be_copied() {
    let mut state = State::new(1);
    let known = vec![line("t1", 50, true), line("t2", 50, true)];
    expect_that!(state.reserve(&reserve("t3", known), 1), err(len(eq(2))));
    for turn in ["t1", "t2"] {
        let charge = record::Charge {
            program: "p".into(),
            id: turn.into(),
            tokens: 50,
            settled: true,
            made: 1,
        };
        expect_true!(state.is_new(&charge));
    }
}

// The disk refuses a charge temporarily. The replica does not grant the reservation but counts the
// charge in memory, and must still copy it from replicas that have it on disk.
#[gtest]
fn a_charge_that_the_disk_refused_is_still_new() {
    let mut state = State::new(1);
    let charges = state.reserve(&reserve("t", Vec::new()), 1).unwrap();
    let charge = charges[0].clone();
    expect_false!(state.is_new(&charge));
    state.mark_unstored(charge.clone());
    expect_true!(state.is_new(&charge));
    state.apply(&record::Record::Charge(charge.clone()), PLACE);
    expect_false!(state.is_new(&charge));
}

// Guards against a retried turn that is accepted unchecked. Too few replicas answer an entry, which
// retries its turn. Meanwhile the replicas have copied its reservation from each other, and that of
// a turn that was granted. Together they exceed the budget, yet the retried turn was accepted
// everywhere as known, and both ran.
#[gtest]
fn a_turn_that_is_asked_for_again_is_judged_again() {
    let mut state = State::new(1);
    let small = service::Reserve {
        budget: 80,
        ..reserve("again", Vec::new())
    };
    expect_that!(state.vote(&small, 1), ok(anything()));
    let granted = record::Charge {
        program: "p".into(),
        id: "granted".into(),
        tokens: 50,
        settled: false,
        made: 1,
    };
    state.apply(&record::Record::Charge(granted), PLACE);
    expect_that!(state.vote(&small, 1), err(len(eq(2))));
}

// Guards against digests taken too late. Two replicas have one turn, a third has another, and all
// accept a third turn where the budget holds two. Before it is on their disks they copy from each
// other. With digests taken then, all agreed, and the union of the ledgers was never checked.
#[gtest]
fn a_vote_tells_what_was_known_when_it_was_judged() {
    let charge = |turn: &str| record::Charge {
        program: "p".into(),
        id: turn.into(),
        tokens: 50,
        settled: false,
        made: 1,
    };
    let mut digests = Vec::new();
    for (first, copied) in [("t1", "t2"), ("t2", "t1")] {
        let mut state = State::new(1);
        state.apply(&record::Record::Charge(charge(first)), PLACE);
        let granted = state.vote(&reserve("t3", Vec::new()), 1).unwrap();
        state.apply(&record::Record::Charge(charge(copied)), PLACE);
        digests.push(granted.digest);
    }
    expect_that!(digests[0], not(eq(digests[1])));
}
