//! Records of the software versions at which streams began.

use fw_replica::streams;
use googletest::prelude::*;

/// More streams than a table holds.
const MANY: usize = 140_000;

// Guards against memory that grows with each stream, and against the loss of those that have just begun.
#[gtest]
fn the_oldest_are_dropped_first() {
    let table = streams::Table::default();
    for stream in 0..MANY {
        table.record(format!("s{stream}").into(), "v1".into());
    }
    expect_that!(table.find(&"s0".into()), none());
    let newest = format!("s{}", MANY - 1);
    expect_that!(table.find(&newest.into()), some(eq("v1")));
}

// Guards against a version that is taken for that of a stream of which none is on record.
#[gtest]
fn an_unknown_stream_has_no_version() {
    let table = streams::Table::default();
    table.record("a".into(), "v1".into());
    expect_that!(table.find(&"b".into()), none());
}
