//! How old the knowledge may be by which keys are accepted.

use std::time::Duration;

use fw_plan::staleness::{KeyFreshness, Outcome};
use googletest::prelude::*;

const S: Duration = Duration::from_secs(1);

#[gtest]
fn accepts_none_before_anything_is_known() {
    let knowledge = KeyFreshness::new(Some(4 * S));
    expect_that!(knowledge.decide(S), eq(Outcome::Stale { age: None }));
}

#[gtest]
fn accepts_until_the_bound() {
    let mut knowledge = KeyFreshness::new(Some(4 * S));
    knowledge.confirm(10 * S);
    expect_that!(knowledge.decide(14 * S), eq(Outcome::Fresh));
    let late = knowledge.decide(15 * S);
    expect_that!(late, eq(Outcome::Stale { age: Some(5 * S) }));
}

// What an entry hears late from a member that is behind must not make its knowledge older.
#[gtest]
fn keeps_the_newest_proof() {
    let mut knowledge = KeyFreshness::new(Some(4 * S));
    knowledge.confirm(10 * S);
    knowledge.confirm(2 * S);
    expect_that!(knowledge.age(11 * S), some(eq(S)));
}

#[gtest]
fn has_no_bound_unless_told() {
    expect_that!(KeyFreshness::new(None).decide(99 * S), eq(Outcome::Fresh));
}
