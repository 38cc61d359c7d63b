//! Cancelled turns.

use std::time::Duration;

use fw_base::error;
use fw_wire::transport;
use googletest::prelude::*;

use crate::rig;

// A shopkeeper closes the page while its draft is written. The engine must stop, and the place of
// the turn in the engine must serve the next one.
#[gtest]
#[tokio::test]
async fn a_cancelled_turn_gives_its_place_to_the_next() {
    let mut opts = rig::options();
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow(), opts).await;
    rig.start_streaming(&rig::first_turn("p", 1, "first")).await;
    let next = rig::first_turn("q", 2, "next");
    rig.start(&next).await;
    expect_that!(rig.engine.runs(next.digest), eq(0));
    let cx = transport::context(rig::LONG);
    expect_true!(rig.client.cancel(cx, 1).await.unwrap());
    let state = rig.read_all(1).await.state;
    expect_that!(rig::failure(&state), some(eq(error::Kind::Cancelled)));
    rig.turn_streams(2).await;
    expect_that!(rig.engine.counts().cancelled, eq(1));
}

// A turn is cancelled while it waits. It must leave the queue and never reach the engine.
#[gtest]
#[tokio::test]
async fn a_turn_cancelled_in_the_queue_never_runs() {
    let mut opts = rig::options();
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow(), opts).await;
    rig.start_streaming(&rig::first_turn("p", 1, "first")).await;
    let waiting = rig::first_turn("q", 2, "waiting");
    rig.start(&waiting).await;
    let cx = transport::context(rig::LONG);
    rig.client.cancel(cx, 2).await.unwrap();
    expect_that!(rig.side.core().line.fill().queued, eq(0));
    rig.read_all(1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(rig.engine.runs(waiting.digest), eq(0));
}

// A keeper gives a turn up and starts another attempt of it here. The program must have one run
// under way, or the engine works twice and two answers cross.
#[gtest]
#[tokio::test]
async fn a_new_attempt_ends_the_one_before() {
    let rig = rig::Rig::new(rig::slow()).await;
    rig.start_streaming(&rig::first_turn("p", 1, "hello")).await;
    rig.start_streaming(&rig::first_turn("p", 2, "hello")).await;
    let state = rig.read_all(1).await.state;
    expect_that!(rig::failure(&state), some(eq(error::Kind::Cancelled)));
    rig::until("one run is left", || rig.engine.in_flight() == 1).await;
}
