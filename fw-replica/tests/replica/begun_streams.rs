//! Records of the origins of streams.

use fw_replica::streams;
use googletest::prelude::*;

/// More streams than a table holds.
const MANY: usize = 140_000;

fn origin() -> streams::Origin {
    streams::Origin {
        service: "s".into(),
        version: "v1".into(),
    }
}

// Guards against memory that grows with each stream, and against the loss of those that have just begun.
#[gtest]
fn the_oldest_are_dropped_first() {
    let table = streams::Table::default();
    for stream in 0..MANY {
        table.record(format!("s{stream}").into(), origin());
    }
    expect_that!(table.find(&"s0".into()), none());
    let newest = format!("s{}", MANY - 1);
    expect_that!(table.find(&newest.into()), some(eq(&origin())));
}

// Guards against an origin that is taken for that of a stream of which none is on record.
#[gtest]
fn an_unknown_stream_has_no_origin() {
    let table = streams::Table::default();
    table.record("a".into(), origin());
    expect_that!(table.find(&"b".into()), none());
}
