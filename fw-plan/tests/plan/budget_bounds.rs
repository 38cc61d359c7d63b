//! Budgets of programs and their sub-agents.

use std::time::Duration;

use fw_plan::budget;
use googletest::prelude::*;
use proptest::prelude::*;

fn limits(turns: u32, tokens: u64) -> budget::Limits {
    budget::Limits {
        turns: Some(turns),
        tokens: Some(tokens),
        time: Some(Duration::from_secs(60)),
    }
}

fn ledger(turns: u32, tokens: u64) -> budget::Ledger {
    budget::Ledger::new(
        limits(turns, tokens),
        Duration::ZERO,
        budget::Amount::default(),
    )
}

// A program calls its tool and itself forever. It must end with an answer that names the limit.
#[gtest]
fn a_looping_program_ends_with_the_bound() {
    let mut ledger = ledger(100, 1_000_000);
    let mut turns = 0;
    let exhausted = loop {
        match ledger.reserve(Duration::ZERO, 10) {
            Ok(held) => {
                let used = held.amount();
                ledger.settle(held, used);
                turns += 1;
            }
            Err(exhausted) => break exhausted,
        }
    };
    expect_that!(turns, eq(100));
    let error = exhausted.to_error();
    expect_that!(error.kind, eq(budget::Exhausted::KIND));
    expect_that!(error.message, contains_substring("100 turns"));
}

#[gtest]
fn time_ends_a_program_and_its_sub_agents() {
    let mut parent = ledger(10, 1_000);
    let now = Duration::from_secs(45);
    let loan = parent
        .lend(
            now,
            budget::Amount {
                turns: 2,
                tokens: 100,
            },
        )
        .unwrap();
    let lent = parent.loan_limits(now, &loan);
    expect_that!(lent.time, some(eq(Duration::from_secs(15))));
    let late = parent.reserve(Duration::from_secs(60), 1);
    let limit = Duration::from_secs(60);
    expect_that!(late, err(eq(&budget::Exhausted::Time { limit })));
}

proptest! {
    #![proptest_config(crate::workload::fixed())]

    // A program and its sub-agents run turns concurrently. If the budget were checked only at the
    // end of each turn, all of them would see the same remaining budget and overdraw it together.
    #[test]
    fn is_never_exceeded_by_a_program_and_its_sub_agents(
        steps in prop::collection::vec((0_usize..4, 1_u64..200, 0_u64..=100), 1..200)
    ) {
        let (turns, tokens) = (40, 2_000);
        let mut parent = ledger(turns, tokens);
        let mut children = Vec::new();
        for _ in 0..3 {
            let amount = budget::Amount { turns: 8, tokens: 500 };
            let loan = parent.lend(Duration::ZERO, amount).unwrap();
            let limits = parent.loan_limits(Duration::ZERO, &loan);
            let child = budget::Ledger::new(limits, Duration::ZERO, budget::Amount::default());
            children.push((child, loan));
        }
        let mut held = Vec::new();
        for (who, wanted, used_part) in steps {
            let ledger = match who {
                0 => &mut parent,
                child => &mut children[child - 1].0,
            };
            if let Ok(reservation) = ledger.reserve(Duration::ZERO, wanted) {
                held.push((who, reservation, wanted * used_part / 100));
            }
            if held.len() > 5 {
                let (who, reservation, tokens) = held.remove(0);
                let used = budget::Amount { turns: 1, tokens };
                match who {
                    0 => parent.settle(reservation, used),
                    child => children[child - 1].0.settle(reservation, used),
                }
            }
        }
        for (who, reservation, tokens) in held {
            let used = budget::Amount { turns: 1, tokens };
            match who {
                0 => parent.settle(reservation, used),
                child => children[child - 1].0.settle(reservation, used),
            }
        }
        for (child, loan) in children {
            parent.settle(loan, child.spent());
        }
        prop_assert!(parent.spent().tokens <= tokens);
        prop_assert!(parent.spent().turns <= turns);
    }
}
