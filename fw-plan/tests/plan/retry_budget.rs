//! Retries, and which calls may be retried at all.

use std::time::Duration;

use fw_base::error;
use fw_plan::admit;
use fw_plan::hedge;
use fw_plan::retry;
use googletest::prelude::*;
use proptest::prelude::*;
use rand_pcg::Pcg64;

fn failure(kind: error::Kind, repeatable: bool) -> retry::Failure {
    retry::Failure {
        kind,
        attempt: 1,
        repeatable,
        time_left: Duration::from_secs(10),
        retry_after: None,
    }
}

// A publish call loses its connection half-way. Sending it again may publish the page twice; the
// error table says that it may have run, so only a call that may be repeated is sent again.
#[gtest]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut budget = retry::Budget::new(retry::Options::default());
    let mut rng = Pcg64::new(1, 1);
    for kind in error::Kind::ALL {
        let row = kind.row();
        let outcome = budget.decide(Duration::ZERO, &failure(*kind, false), &mut rng);
        if row.ran != error::Ran::No || !row.retry {
            let given_up = matches!(outcome, retry::Outcome::GiveUp { .. });
            expect_that!(given_up, is_true(), "{kind:?}");
        }
    }
}

#[gtest]
fn no_retry_comes_after_the_deadline() {
    let mut budget = retry::Budget::new(retry::Options::default());
    let mut rng = Pcg64::new(1, 1);
    let late = retry::Failure {
        time_left: Duration::from_millis(50),
        retry_after: Some(Duration::from_millis(50)),
        ..failure(error::Kind::QueueFull, true)
    };
    let outcome = budget.decide(Duration::ZERO, &late, &mut rng);
    let reason = retry::Reason::Deadline;
    expect_that!(outcome, eq(retry::Outcome::GiveUp { reason }));
}

#[gtest]
fn only_repeatable_plain_reads_are_hedged() {
    let mut hedge = hedge::Hedge::new(hedge::Options::default());
    for millis in 1..=200 {
        hedge.observe(Duration::from_millis(millis));
    }
    let after = hedge.decide(admit::Lane::Plain, true).unwrap();
    expect_that!(after, ge(Duration::from_millis(150)));
    expect_that!(hedge.decide(admit::Lane::Plain, false), none());
    expect_that!(hedge.decide(admit::Lane::Turn, true), none());
}

proptest! {
    #![proptest_config(crate::workload::fixed())]

    // Every call to a service fails at once. Whatever the order of calls, what is sent again
    // stays within a tenth of the first attempts, what was saved up, and one a second.
    #[test]
    fn retries_stay_within_the_budget(steps in prop::collection::vec((0_u64..200, 0_u8..4), 1..500)) {
        let options = retry::Options::default();
        let mut budget = retry::Budget::new(options.clone());
        let mut rng = Pcg64::new(1, 1);
        let mut now = Duration::ZERO;
        let (mut first, mut retries) = (0.0, 0.0);
        for (millis, tries) in steps {
            now += Duration::from_millis(millis);
            budget.deposit();
            first += 1.0;
            for _ in 0..tries {
                let failed = failure(error::Kind::QueueFull, true);
                if matches!(budget.decide(now, &failed, &mut rng), retry::Outcome::Retry { .. }) {
                    retries += 1.0;
                }
            }
            let most = options.burst + first * options.ratio + now.as_secs_f64() * options.refill_per_second;
            prop_assert!(retries <= most + 1e-6);
        }
    }
}
