//! Charges of one program.

use fw_replica::ledger::{Ledger, Line};
use googletest::prelude::*;

fn line(turn: &str, tokens: u64, settled: bool) -> Line {
    Line {
        turn: turn.into(),
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
    // A settlement overtakes its reservation on another connection. Were the reservation taken
    // for a new one, the program would be charged for ever for a turn that is over.
    let mut ledger = Ledger::default();
    expect_true!(ledger.merge(&line("a", 10, true), 1));
    expect_false!(ledger.merge(&line("a", 30, false), 2));
    expect_false!(ledger.merge(&line("a", 20, true), 2));
    expect_that!(ledger.total(), eq(10));
    expect_true!(ledger.allows(&"a".into(), 30, 10));
}
