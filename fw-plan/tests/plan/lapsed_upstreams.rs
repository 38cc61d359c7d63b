//! Upstreams that are missing from the list.

use std::time::Duration;

use fw_plan::lapse::{self, Options, Outcome, Reads, Span};
use googletest::prelude::*;

const fn s(tenths: u64) -> Duration {
    Duration::from_millis(tenths * 100)
}

/// Reads every 0.5 s over each of `spans`, in tenths of a second.
fn reads(spans: &[std::ops::RangeInclusive<u64>]) -> Reads {
    let mut reads = Reads::new(Options::default());
    for span in spans {
        for at in span.clone().step_by(5) {
            reads.add_span(Span::single(s(at)));
        }
    }
    reads
}

#[gtest]
fn one_that_leaves_on_a_calm_day_is_gone_at_once() {
    let reads = reads(&[0..=100]);
    expect_that!(reads.decide(Some(s(95))), eq(Outcome::Gone));
}

// Guards against a service left empty by entries that lapsed while the store was away.
#[gtest]
fn one_that_lapsed_is_kept_until_it_has_had_time_to_come_back() {
    let listed = Some(s(100));
    expect_that!(
        reads(&[0..=100, 180..=180]).decide(listed),
        eq(Outcome::Kept)
    );
    expect_that!(
        reads(&[0..=100, 180..=200]).decide(listed),
        eq(Outcome::Kept)
    );
    expect_that!(
        reads(&[0..=100, 180..=205]).decide(listed),
        eq(Outcome::Gone)
    );
}

// Guards against calls to an upstream that leaves moments after an outage.
#[gtest]
fn one_that_leaves_after_an_outage_is_gone_at_once() {
    let reads = reads(&[0..=100, 180..=185]);
    expect_that!(reads.decide(Some(s(180))), eq(Outcome::Gone));
}

// Guards against an entry that was cut off alone and takes its own silence for an outage.
#[gtest]
fn one_that_left_while_only_this_entry_was_cut_off_is_gone_at_once() {
    let mut own = reads(&[0..=100, 180..=180]);
    expect_that!(own.decide(Some(s(100))), eq(Outcome::Kept));
    let others = Span {
        first: s(3),
        last: s(178),
    };
    own.add_span(others);
    expect_that!(own.decide(Some(s(100))), eq(Outcome::Gone));
}

// Guards against a reader that starts anew and counts a short while of its own as an outage of all.
#[gtest]
fn reads_known_before_count_when_a_short_span_is_told() {
    let mut reads = reads(&[0..=100]);
    reads.add_span(Span::single(s(101)));
    expect_that!(
        reads.span(),
        some(eq(Span {
            first: s(0),
            last: s(101)
        }))
    );
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Gone));
}

#[gtest]
fn a_span_before_the_gap_takes_nothing_back() {
    let mut reads = reads(&[0..=100, 180..=185]);
    reads.add_span(Span {
        first: s(0),
        last: s(99),
    });
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Kept));
}

#[gtest]
fn nothing_is_gone_before_the_first_read() {
    expect_that!(
        Reads::new(Options::default()).decide(None),
        eq(Outcome::Kept)
    );
}

// Guards against a gap too short for entries to lapse that delays the news of one that leaves.
#[gtest]
fn a_reader_that_is_replaced_leaves_no_gap() {
    let reads = reads(&[0..=100, 120..=120]);
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Gone));
}

// Guards against a call that hangs through the end of an outage and makes the return look earlier.
#[gtest]
fn the_store_is_back_when_it_answers() {
    let mut reads = reads(&[0..=100]);
    reads.add_read(s(168), s(180));
    reads.add_read(s(184), s(185));
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Kept));
    reads.add_read(s(198), s(199));
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Kept));
    reads.add_read(s(203), s(204));
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Gone));
}

// Guards against a post that was held up during an outage and hides the gap.
#[gtest]
fn a_read_counts_from_when_it_was_asked() {
    let mut reads = reads(&[0..=100]);
    reads.add_read(s(101), s(150));
    reads.add_read(s(170), s(171));
    expect_that!(reads.decide(Some(s(100))), eq(Outcome::Kept));
}

// Guards against upstreams that left while the readers were away, and are taken for lapsed ones.
#[gtest]
fn have_lapsed_only_where_most_are_missing() {
    expect_false!(lapse::has_lapsed(72, 1));
    expect_false!(lapse::has_lapsed(2, 1));
    expect_true!(lapse::has_lapsed(72, 37));
    expect_true!(lapse::has_lapsed(1, 1));
}
