//! Cancellation of turns.

use std::time::Duration;

use fw_base::error;
use fw_wire::transport;
use googletest::prelude::*;

use crate::rig;

// A caller cancels a turn while its answer is generated. The engine must stop, and the slot of the
// turn must become available to the next one.
#[gtest]
#[tokio::test]
async fn a_cancelled_turn_frees_its_slot() {
    let mut opts = rig::options();
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    rig.start_streaming(&rig::first_turn("p", 1, "first")).await;
    let next = rig::first_turn("q", 2, "next");
    rig.start(&next).await;
    expect_that!(rig.engine.runs(next.digest), eq(0));
    let cx = transport::context(rig::TIMEOUT);
    expect_true!(rig.client.cancel(cx, 1).await.unwrap());
    let state = rig.read_all(1).await.state;
    expect_that!(rig::error_kind(&state), some(eq(error::Kind::Cancelled)));
    rig.wait_streaming(2).await;
    expect_that!(rig.engine.counts().cancelled, eq(1));
}

// A turn is cancelled while it is queued. It must leave the queue and never reach the engine.
#[gtest]
#[tokio::test]
async fn a_turn_cancelled_in_the_queue_never_runs() {
    let mut opts = rig::options();
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    rig.start_streaming(&rig::first_turn("p", 1, "first")).await;
    let waiting = rig::first_turn("q", 2, "waiting");
    rig.start(&waiting).await;
    let cx = transport::context(rig::TIMEOUT);
    rig.client.cancel(cx, 2).await.unwrap();
    expect_that!(rig.side.core().queue.occupancy().queued, eq(0));
    rig.read_all(1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(rig.engine.runs(waiting.digest), eq(0));
}

// A keeper abandons an attempt and starts another one of the same turn. Only one run of the program
// may be in progress; otherwise the engine works twice and two answers may be mixed up.
#[gtest]
#[tokio::test]
async fn a_new_attempt_ends_the_one_before() {
    let rig = rig::Rig::new(rig::slow_engine()).await;
    rig.start_streaming(&rig::first_turn("p", 1, "hello")).await;
    rig.start_streaming(&rig::first_turn("p", 2, "hello")).await;
    let state = rig.read_all(1).await.state;
    expect_that!(rig::error_kind(&state), some(eq(error::Kind::Cancelled)));
    rig::wait_until("one run is left", || rig.engine.in_flight() == 1).await;
}
