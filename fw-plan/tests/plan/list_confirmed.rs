//! Freshness of the list of upstreams by which calls are sent.

use std::time::Duration;

use fw_plan::confirm::{ListFreshness, Options, Outcome};
use googletest::prelude::*;

const MAX_AGE: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn freshness() -> ListFreshness {
    ListFreshness::new(Options::for_bound(ms(2_000)))
}

fn is_sent(list: &ListFreshness, now: u64) -> bool {
    list.decide(ms(now)) == Outcome::Send
}

// Guards against calls that are sent by a list of any age.
#[gtest]
fn waits_when_the_list_is_old() {
    let mut list = freshness();
    expect_false!(is_sent(&list, 0));
    list.confirm(ms(1_000), ms(1_000));
    expect_true!(is_sent(&list, 2_500));
    // A newer confirmation is requested before that.
    expect_that!(list.refresh_due_in(ms(1_500)), some(eq(ms(400))));
    expect_false!(list.needs_refresh(ms(1_900)));
    expect_true!(list.needs_refresh(ms(1_901)));
    expect_false!(is_sent(&list, 2_501));
    // A confirmation that was delayed does not make the list newer.
    list.confirm(ms(900), ms(2_501));
    expect_false!(is_sent(&list, 2_501));
    list.confirm(ms(2_400), ms(2_501));
    expect_true!(is_sent(&list, 2_501));
}

// Guards against a wait of every call at an entry that is cut off.
#[gtest]
fn waits_once_when_no_confirmation_is_available() {
    let mut list = freshness();
    list.confirm(ms(1_000), ms(1_000));
    list.wait_expired(ms(900), ms(9_000));
    expect_false!(is_sent(&list, 9_000));
    list.wait_expired(ms(605), ms(9_000));
    expect_true!(is_sent(&list, 9_000));
    list.confirm(ms(9_000), ms(9_000));
    expect_false!(is_sent(&list, 11_000));
    list.read_failed(ms(10_900), ms(10_910));
    expect_true!(is_sent(&list, 11_000));
}

// Guards against repeated waits in an outage for a confirmation that is newer but still too old.
#[gtest]
fn does_not_wait_again_after_a_stale_confirmation() {
    let mut list = freshness();
    list.confirm(ms(1_000), ms(1_000));
    list.confirm(ms(1_001), ms(8_900));
    list.wait_expired(ms(605), ms(9_000));
    expect_false!(list.confirm(ms(1_002), ms(9_000)));
    expect_true!(is_sent(&list, 9_000));
    expect_true!(list.confirm(ms(9_000), ms(9_001)));
}

// Guards against a wait of calls in each outage, although it is detected before the list is too
// old.
#[gtest]
fn does_not_wait_when_reads_go_unanswered() {
    let mut list = freshness();
    list.confirm(ms(1_000), ms(1_000));
    list.read_unanswered(ms(1_800), ms(2_050));
    list.read_unanswered(ms(2_050), ms(2_300));
    expect_true!(list.needs_refresh(ms(2_301)));
    list.read_unanswered(ms(2_300), ms(2_550));
    expect_true!(is_sent(&list, 2_551));
}

// Guards against calls sent by an old list after a suspension of the entry, because its open read
// has failed.
#[gtest]
fn waits_after_failure_of_a_read_requested_earlier() {
    let mut list = freshness();
    list.confirm(ms(1_000), ms(1_000));
    list.read_failed(ms(1_400), ms(1_500));
    list.read_failed(ms(1_000) + MAX_AGE, ms(9_000));
    list.read_unanswered(ms(6_000), ms(9_000));
    list.read_unanswered(ms(6_000), ms(9_000));
    expect_false!(is_sent(&list, 9_000));
    list.read_failed(ms(9_000), ms(9_005));
    expect_true!(is_sent(&list, 9_010));
}
