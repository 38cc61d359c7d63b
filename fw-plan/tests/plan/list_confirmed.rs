//! Calls that are sent by the list of upstreams.

use std::time::Duration;

use fw_plan::confirm::{ListFreshness, Options, Outcome};
use googletest::prelude::*;

const FRESH: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn knowledge() -> ListFreshness {
    ListFreshness::new(Options::for_bound(ms(2_000)))
}

fn is_sent(known: &ListFreshness, now: u64) -> bool {
    known.decide(ms(now)) == Outcome::Send
}

// Guards against calls that are sent by a list of any age.
#[gtest]
fn waits_where_the_list_is_old() {
    let mut known = knowledge();
    expect_false!(is_sent(&known, 0));
    known.confirm(ms(1_000), ms(1_000));
    expect_true!(is_sent(&known, 2_500));
    // A newer proof is wanted before.
    expect_that!(known.refresh_due_in(ms(1_500)), some(eq(ms(400))));
    expect_false!(known.needs_refresh(ms(1_900)));
    expect_true!(known.needs_refresh(ms(1_901)));
    expect_false!(is_sent(&known, 2_501));
    // A proof that was held up does not make it newer.
    known.confirm(ms(900), ms(2_501));
    expect_false!(is_sent(&known, 2_501));
    known.confirm(ms(2_400), ms(2_501));
    expect_true!(is_sent(&known, 2_501));
}

// Guards against callers of an entry that is cut off, who would wait with each call.
#[gtest]
fn waits_once_where_no_proof_is_to_be_had() {
    let mut known = knowledge();
    known.confirm(ms(1_000), ms(1_000));
    known.wait_expired(ms(900), ms(9_000));
    expect_false!(is_sent(&known, 9_000));
    known.wait_expired(ms(605), ms(9_000));
    expect_true!(is_sent(&known, 9_000));
    known.confirm(ms(9_000), ms(9_000));
    expect_false!(is_sent(&known, 11_000));
    known.read_failed(ms(10_900), ms(10_910));
    expect_true!(is_sent(&known, 11_000));
}

// Guards against calls that wait again and again in an outage, for a proof that is newer and too old.
#[gtest]
fn does_not_wait_again_for_a_proof_that_is_too_old() {
    let mut known = knowledge();
    known.confirm(ms(1_000), ms(1_000));
    known.confirm(ms(1_001), ms(8_900));
    known.wait_expired(ms(605), ms(9_000));
    expect_false!(known.confirm(ms(1_002), ms(9_000)));
    expect_true!(is_sent(&known, 9_000));
    expect_true!(known.confirm(ms(9_000), ms(9_001)));
}

// Guards against calls that wait through each outage, though it is known before the list is old.
#[gtest]
fn does_not_wait_where_reads_go_unanswered() {
    let mut known = knowledge();
    known.confirm(ms(1_000), ms(1_000));
    known.read_unanswered(ms(1_800), ms(2_050));
    known.read_unanswered(ms(2_050), ms(2_300));
    expect_true!(known.needs_refresh(ms(2_301)));
    known.read_unanswered(ms(2_300), ms(2_550));
    expect_true!(is_sent(&known, 2_551));
}

// Guards against calls sent by an old list after an entry stood still, as its open call has failed.
#[gtest]
fn waits_after_a_failure_of_a_read_asked_before() {
    let mut known = knowledge();
    known.confirm(ms(1_000), ms(1_000));
    known.read_failed(ms(1_400), ms(1_500));
    known.read_failed(ms(1_000) + FRESH, ms(9_000));
    known.read_unanswered(ms(6_000), ms(9_000));
    known.read_unanswered(ms(6_000), ms(9_000));
    expect_false!(is_sent(&known, 9_000));
    known.read_failed(ms(9_000), ms(9_005));
    expect_true!(is_sent(&known, 9_010));
}
