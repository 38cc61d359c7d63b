//! Greatest age of the configuration by which API keys are accepted.

use std::time::Duration;

use fw_plan::staleness::{KeyFreshness, Outcome};
use googletest::prelude::*;

const S: Duration = Duration::from_secs(1);

#[gtest]
fn accepts_no_key_before_the_first_confirmation() {
    let freshness = KeyFreshness::new(Some(4 * S));
    expect_that!(freshness.decide(S), eq(Outcome::Stale { age: None }));
}

#[gtest]
fn accepts_keys_up_to_the_bound() {
    let mut freshness = KeyFreshness::new(Some(4 * S));
    freshness.confirm(10 * S);
    expect_that!(freshness.decide(14 * S), eq(Outcome::Fresh));
    let late = freshness.decide(15 * S);
    expect_that!(late, eq(Outcome::Stale { age: Some(5 * S) }));
}

// A late update from a member that is behind must not make the configuration count as older.
#[gtest]
fn keeps_the_newest_confirmation() {
    let mut freshness = KeyFreshness::new(Some(4 * S));
    freshness.confirm(10 * S);
    freshness.confirm(2 * S);
    expect_that!(freshness.age(11 * S), some(eq(S)));
}

#[gtest]
fn has_no_bound_unless_configured() {
    expect_that!(KeyFreshness::new(None).decide(99 * S), eq(Outcome::Fresh));
}
