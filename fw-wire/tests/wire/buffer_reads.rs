//! Readers of an attempt's buffer.

use std::sync::Arc;
use std::time::Duration;

use fw_base::error;
use fw_wire::attempt;
use fw_wire::buffer;
use googletest::prelude::*;

const NO_WAIT: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(20);

fn event(text: &str) -> attempt::Event {
    text.into()
}

#[gtest]
#[tokio::test]
async fn two_readers_see_every_event() {
    let buf = buffer::Buffer::new();
    buf.push([event("a"), event("b")]);
    for _ in 0..2 {
        let reply = buf.read(0, NO_WAIT).await;
        expect_that!(reply.events.len(), eq(2));
    }
    expect_that!(buf.delivered(), eq(2));
}

// A caller's connection is dead after the first event, and it resumes over a new one. It must receive
// all events added in the meantime once and in order.
#[gtest]
#[tokio::test]
async fn resuming_from_an_offset_loses_nothing() {
    let buf = buffer::Buffer::new();
    buf.push([event("a")]);
    let first = buf.read(0, NO_WAIT).await;
    buf.push([event("b"), event("c")]);
    let rest = buf.read(1, NO_WAIT).await;
    let all: Vec<_> = first.events.iter().chain(&rest.events).collect();
    expect_that!(
        all,
        elements_are![eq(&&event("a")), eq(&&event("b")), eq(&&event("c"))]
    );
}

#[gtest]
#[tokio::test]
async fn a_waiting_reader_wakes_at_the_end() {
    let buf = Arc::new(buffer::Buffer::new());
    let reader = tokio::spawn({
        let buf = Arc::clone(&buf);
        async move { buf.read(u32::MAX, LONG).await }
    });
    tokio::task::yield_now().await;
    buf.push([event("a")]);
    buf.fail(error::Error::new(error::Kind::Cancelled, "gone"));
    let reply = reader.await.unwrap();
    expect_true!(reply.state.is_final());
    expect_that!(reply.events, is_empty());
}

// The engine's answer arrives after the attempt has failed and the failure was reported to its caller.
// A late event or end must not change the reported outcome.
#[gtest]
#[tokio::test]
async fn the_first_end_stands() {
    let buf = buffer::Buffer::new();
    buf.fail(error::Error::new(error::Kind::UpstreamCrashed, "crashed"));
    buf.push([event("late")]);
    buf.end(attempt::State::Moved(7));
    let reply = buf.read(0, NO_WAIT).await;
    expect_that!(reply.events, is_empty());
    expect_true!(matches!(reply.state, attempt::State::Failed(_)));
}

// A stream has a token every few milliseconds. A reader that gathers must receive the events added
// in the meantime in one reply and once each, and the end of the attempt without delay.
#[gtest]
#[tokio::test]
async fn gathered_events_share_a_reply() {
    let buf = Arc::new(buffer::Buffer::new());
    buf.push([event("a")]);
    let reader = tokio::spawn({
        let buf = Arc::clone(&buf);
        let req = attempt::Read {
            attempt: 1,
            offset: 0,
            wait: LONG,
            gather: LONG,
        };
        async move { buf.gather(&req).await }
    });
    tokio::task::yield_now().await;
    buf.push([event("b")]);
    buf.fail(error::Error::new(error::Kind::Cancelled, "gone"));
    let reply = reader.await.unwrap();
    expect_that!(reply.events.len(), eq(2));
    expect_true!(reply.state.is_final());
}
