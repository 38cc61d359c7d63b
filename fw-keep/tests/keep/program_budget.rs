//! Budgets are enforced, also when several turns spend concurrently.

use std::time::Duration;

use fw_base::error;
use fw_base::error::Kind;
use fw_keep::ledger::Amount;
use fw_keep::ledger::Ledger;
use fw_keep::ledger::Limits;
use fw_keep::ledger::Request;
use fw_keep::program::Begin;
use fw_keep::program::Outcome;
use fw_keep::program::Program;
use googletest::prelude::*;

use crate::fleet;

const NOW: Duration = Duration::from_secs(1);

fn limits(turns: u32, tokens: u64) -> Limits {
    Limits {
        turns: Some(turns),
        tokens: Some(tokens),
        time: None,
    }
}

fn request(prompt: u64, completion: u64) -> Request {
    Request {
        prompt,
        completion: Some(completion),
    }
}

/// A program starts five sub-agents at once, and each checks the budget before any of them has
/// spent. Without reservations all five would be admitted, and the budget spent five times.
#[gtest]
fn concurrent_sub_agents_share_one_budget() {
    let mut ledger = Ledger::default();
    let limits = limits(100, 1_000);
    let grants = (1..=5).map(|attempt| ledger.reserve(attempt, request(100, 300), &limits));
    let granted: Vec<u64> = grants
        .flatten()
        .filter_map(|grant| grant.completion)
        .collect();
    expect_that!(granted, elements_are![eq(&300), eq(&300), eq(&100)]);
    let total: u64 = granted.iter().map(|completion| completion + 100).sum();
    expect_that!(total, le(1_000));
}

#[gtest]
fn an_unused_reservation_is_returned() {
    let mut ledger = Ledger::default();
    let limits = limits(10, 1_000);
    ledger.reserve(1, request(100, 900), &limits).unwrap();
    expect_that!(ledger.tokens_left(&limits), some(eq(0)));
    let used = Amount {
        turns: 1,
        tokens: 150,
        time: Duration::ZERO,
    };
    ledger.settle(1, used);
    expect_that!(ledger.tokens_left(&limits), some(eq(850)));
    expect_that!(ledger.spent(), eq(used));
}

#[gtest]
fn turns_and_time_are_bounded() {
    let mut ledger = Ledger::default();
    let limits = Limits {
        turns: Some(1),
        tokens: None,
        time: Some(Duration::from_secs(10)),
    };
    let grant = ledger.reserve(1, request(1, 1), &limits).unwrap();
    expect_that!(grant.time, some(eq(Duration::from_secs(10))));
    let second = ledger.reserve(2, request(1, 1), &limits);
    expect_that!(
        second.map_err(|err| err.kind),
        err(eq(Kind::BudgetExhausted))
    );
    ledger.settle(1, Amount::default());
    ledger.charge(Amount {
        time: Duration::from_secs(10),
        ..Amount::default()
    });
    let late = ledger.reserve(3, request(1, 1), &limits);
    expect_that!(late.map_err(|err| err.kind), err(eq(Kind::BudgetExhausted)));
}

/// A program's turns fail repeatedly after they ran. Without a charge it could use engine time
/// without limit, so a turn that may have run is charged its reservation.
#[gtest]
fn a_turn_that_may_have_run_is_charged_and_one_that_did_not_is_not() {
    let mut program = Program::new("team".into(), None, NOW);
    let begin = |attempt| Begin {
        max_tokens: Some(100),
        limits: limits(10, 1_000),
        ..fleet::delta(1, "ask", attempt)
    };
    program.begin(begin(1), NOW);
    program.fail(1, error::Ran::No, NOW);
    expect_that!(program.tokens_left(), some(eq(1_000)));
    let mut failures = 0;
    for attempt in 2..100 {
        match program.begin(begin(attempt), NOW) {
            Outcome::Run(_) => program.fail(attempt, error::Ran::Maybe, NOW),
            _ => break,
        };
        failures += 1;
    }
    expect_that!(failures, all!(gt(5), lt(12)));
    expect_that!(program.ledger().spent().tokens, le(1_000));
}
