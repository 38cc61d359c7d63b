//! The table of attempts: readers, retention, and turns that continue under another attempt.

use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_entry::process::attempts;
use fw_wire::attempt;
use googletest::prelude::*;

#[gtest]
fn the_last_reader_cancels() {
    let table = attempts::Table::new();
    table.open(1);
    let abandoned = table.abandoned_token(1);
    table.attach(1);
    table.attach(1);
    table.detach(1);
    expect_false!(abandoned.is_cancelled());
    table.detach(1);
    expect_true!(abandoned.is_cancelled());
}

// A turn continues under another attempt after a crash, and its caller, who attached to the first one,
// disconnects. The run must be cancelled although the caller attached to the old attempt.
#[gtest]
fn readers_go_along_with_the_turn() {
    let table = attempts::Table::new();
    table.open(1);
    let abandoned = table.abandoned_token(1);
    table.attach(1);
    table.continue_as(1, 2);
    table.detach(2);
    expect_true!(abandoned.is_cancelled());
}

#[gtest]
#[tokio::test]
async fn an_old_reader_is_sent_on() {
    let table = attempts::Table::new();
    table.open(1);
    table.continue_as(1, 2);
    let req = attempt::Read {
        attempt: 1,
        offset: 0,
        wait: Duration::ZERO,
        gather: Duration::ZERO,
    };
    let reply = table.read(req).await;
    expect_true!(matches!(reply.state, attempt::State::Moved(2)));
}

// A reader's connection stops responding just as the answer ends. The reader must still find the answer
// when it reconnects; after the retention the memory must be freed.
#[gtest]
fn ended_attempts_are_kept_for_a_while() {
    let table = attempts::Table::new();
    let buf = table.open(1);
    buf.fail(error::Error::new(error::Kind::Cancelled, "gone"));
    let now = Instant::now();
    table.sweep(now);
    expect_true!(table.get(1).is_some());
    table.sweep(now + Duration::from_secs(30));
    expect_true!(table.get(1).is_some());
    table.sweep(now + Duration::from_secs(90));
    expect_true!(table.get(1).is_none());
}
