//! Paging of the list of records that other replicas read.

use std::time::Duration;

use fw_replica::{journal, record, service, state};
use googletest::prelude::*;

fn turn(id: usize, ended: u64) -> record::Record {
    record::Record::Turn(record::Turn {
        id: id.to_string().into(),
        parent: None,
        input: "i".into(),
        output: "o".into(),
        ended,
        retention: Duration::from_secs(60),
    })
}

const PLACE: journal::Place = journal::Place {
    segment: 1,
    at: 0,
    len: 1,
};

#[gtest]
fn is_read_whole_in_pages() {
    let mut state = state::State::new(1);
    (0..1_300).for_each(|id| state.apply(&turn(id, 0), PLACE));
    let mut at = service::Position::default();
    let mut read = 0;
    loop {
        let (next, records, more) = state.list(at);
        read += records.len();
        at = next;
        if !more {
            break;
        }
    }
    expect_that!(read, eq(1_300));
    // The list of a restarted replica is read from its beginning.
    let other = state::State::new(2);
    expect_that!(other.list(at).0.read, eq(0));
}

#[gtest]
fn shrinks_with_what_was_kept_long_enough() {
    let mut state = state::State::new(1);
    (0..10).for_each(|id| state.apply(&turn(id, 0), PLACE));
    (10..15).for_each(|id| state.apply(&turn(id, 1_000_000), PLACE));
    let (read, _, _) = state.list(service::Position::default());
    state.expire(500_000);
    expect_that!(state.turns(), eq(5));
    let (next, records, _) = state.list(service::Position::default());
    expect_that!(records.len(), eq(5));
    expect_that!(next, eq(read));
}

#[gtest]
fn lists_the_charges_of_a_long_program_again() {
    // A program runs for longer than the retention of a charge. A replica with an empty disk then
    // copies the list: without the program's first charges it would grant the budget a second time.
    let charge = |turn: &str, made| {
        record::Record::Charge(record::Charge {
            program: "p".into(),
            id: turn.into(),
            tokens: 10,
            settled: true,
            made,
        })
    };
    let mut state = state::State::new(1);
    state.apply(&charge("first", 0), PLACE);
    state.apply(&charge("later", 170_000), PLACE);
    state.expire(190_000);
    let mut copy = state::State::new(2);
    let (_, records, _) = state.list(service::Position::default());
    for listed in records {
        if let service::ListedRecord::Charge(charge) = listed {
            copy.charge(&charge);
        }
    }
    expect_that!(copy.ledger(&"p".into()).len(), eq(2));
    state.expire(400_000);
    expect_that!(state.programs(), eq(0));
    state.expire(600_000);
    let (_, records, _) = state.list(service::Position::default());
    expect_that!(records, is_empty());
}
