//! Requests that entries let through, as replicas count them.

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

fn spent(total: i64, recent: i64) -> TeamUsage {
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
fn is_told_of_all_entries() {
    let spending = Counters::default();
    spending.exchange(1, &spent(1, 1));
    expect_that!(spending.exchange(2, &spent(1, 1)).recent, eq(counts(2)));
    spending.exchange(1, &spent(5, 5));
    expect_that!(spending.exchange(2, &spent(3, 3)).recent, eq(counts(8)));
    expect_that!(spending.exchange(1, &spent(5, 5)).recent, eq(counts(8)));
}

// A replica starts anew, and entries go on with counts of hours. What ran in the last window still
// counts, and no more.
#[gtest]
fn goes_on_after_a_start() {
    let spending = Counters::default();
    spending.exchange(1, &spent(9_000, 7));
    expect_that!(spending.exchange(2, &spent(70, 2)).recent, eq(counts(9)));
    spending.exchange(1, &spent(9_004, 11));
    expect_that!(spending.exchange(2, &spent(70, 2)).recent, eq(counts(13)));
}

#[gtest]
fn does_not_fall_with_a_late_message() {
    let spending = Counters::default();
    spending.exchange(1, &spent(0, 0));
    spending.exchange(1, &spent(8, 8));
    spending.exchange(1, &spent(6, 6));
    expect_that!(spending.exchange(2, &spent(0, 0)).recent, eq(counts(8)));
}
