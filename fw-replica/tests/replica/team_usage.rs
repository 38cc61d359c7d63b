//! Requests admitted by entries, as counted by replicas.

use std::time::Duration;

use fw_plan::quota::{Counts, Report};
use fw_replica::service::TeamUsage;
use fw_replica::team_usage::Counters;
use googletest::prelude::*;

fn counts(requests: i64) -> Counts {
    Counts {
        requests,
        begins: 0,
    }
}

fn usage(total: i64, recent: i64) -> TeamUsage {
    TeamUsage {
        team: "t".into(),
        report: Report {
            total: counts(total),
            recent: counts(recent),
            window: Duration::from_secs(60),
        },
    }
}

#[gtest]
fn sums_all_entries() {
    let counters = Counters::default();
    counters.exchange(1, &usage(1, 1));
    expect_that!(counters.exchange(2, &usage(1, 1)).recent, eq(counts(2)));
    counters.exchange(1, &usage(5, 5));
    expect_that!(counters.exchange(2, &usage(3, 3)).recent, eq(counts(8)));
    expect_that!(counters.exchange(1, &usage(5, 5)).recent, eq(counts(8)));
}

// A replica restarts, and entries continue with counts of hours. Requests of the last window still
// count, and no others.
#[gtest]
fn continues_after_a_restart() {
    let counters = Counters::default();
    counters.exchange(1, &usage(9_000, 7));
    expect_that!(counters.exchange(2, &usage(70, 2)).recent, eq(counts(9)));
    counters.exchange(1, &usage(9_004, 11));
    expect_that!(counters.exchange(2, &usage(70, 2)).recent, eq(counts(13)));
}

#[gtest]
fn does_not_fall_with_a_late_message() {
    let counters = Counters::default();
    counters.exchange(1, &usage(0, 0));
    counters.exchange(1, &usage(8, 8));
    counters.exchange(1, &usage(6, 6));
    expect_that!(counters.exchange(2, &usage(0, 0)).recent, eq(counts(8)));
}
