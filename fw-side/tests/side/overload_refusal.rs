//! Refusal of turns that exceed the queue's limits.

use std::time::Duration;

use fw_base::error;
use fw_wire::side;
use googletest::prelude::*;

use crate::rig;

// Callers send more turns than the engine can serve. The side must refuse those that it cannot
// queue, immediately, as not run and with a retry time, and run all that it accepted.
#[gtest]
#[tokio::test]
async fn a_full_queue_refuses_and_runs_accepted_turns() {
    let mut opts = rig::options();
    opts.settings.queue.max_length = 4;
    opts.settings.queue.window = Some(2);
    let engine = fw_fake::engine::Options {
        step: Duration::from_millis(5),
        ..rig::fast_engine()
    };
    let rig = rig::Rig::with(engine, opts).await;
    let mut accepted = Vec::new();
    let mut refused = 0;
    for attempt in 0..20 {
        let program = format!("p{attempt}");
        let start = rig::first_turn(&program, attempt, &program);
        match rig.start(&start).await {
            side::StartReply::Accepted => accepted.push(start),
            side::StartReply::Refused(err) => {
                let full = [error::Kind::QueueFull, error::Kind::ShareExceeded];
                expect_true!(full.contains(&err.kind));
                expect_true!(err.retry_after.is_some());
                expect_that!(rig.engine.runs(start.digest), eq(0));
                refused += 1;
            }
            side::StartReply::NeedHistory => panic!("a first turn needs no history"),
        }
    }
    expect_that!(refused, gt(0));
    expect_that!(accepted, not(is_empty()));
    for start in &accepted {
        let reply = rig.read_all(start.attempt).await;
        expect_that!(rig::error_kind(&reply.state), none());
        expect_that!(rig.engine.runs(start.digest), eq(1));
    }
}

// A turn is queued behind a long one until its own deadline. It must be refused as not run.
#[gtest]
#[tokio::test]
async fn a_turn_that_waits_too_long_did_not_run() {
    let mut opts = rig::options();
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    rig.start_streaming(&rig::first_turn("p", 1, "long")).await;
    let start = side::Start {
        deadline: Duration::from_millis(100),
        ..rig::first_turn("q", 2, "short")
    };
    rig.start(&start).await;
    let state = rig.read_all(2).await.state;
    expect_that!(
        rig::error_kind(&state),
        some(eq(error::Kind::DeadlineUnmeetable))
    );
    expect_that!(rig.engine.runs(start.digest), eq(0));
}
