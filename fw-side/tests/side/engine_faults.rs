//! Crashes, stalls and errors of the engine during a turn.

use std::time::Duration;

use fw_base::error;
use fw_fake::engine;
use fw_wire::attempt;
use fw_wire::side;
use googletest::prelude::*;

use crate::rig;

// The connection between side and engine stops delivering data during an answer, while the engine
// continues and new connections work. The side must resume over a new connection; sending the
// request again would run the turn twice.
#[gtest]
#[tokio::test]
async fn a_stalled_engine_stream_is_resumed() {
    let mut opts = rig::options();
    opts.settings.engine.between_tokens_timeout = Duration::from_millis(200);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    let start = rig::first_turn("p", 1, "hello");
    rig.start_streaming(&start).await;
    rig.engine.stall_streams();
    let reply = rig.read_all(1).await;
    let attempt::State::Done(finish) = reply.state else {
        panic!("incomplete answer: {:?}", reply.state);
    };
    expect_that!(
        finish.message.content(),
        eq(engine::answer_to(start.digest, 400).as_str())
    );
    expect_that!(reply.events.len(), eq(402));
    expect_that!(rig.engine.runs(start.digest), eq(1));
    expect_that!(rig.engine.counts().resumed, gt(0));
}

// The engine's process dies during several turns. Their keepers must be notified immediately, with
// an error stating that the turns may have run. Heartbeats report that the upstream is down, and
// new turns are refused as not run until it is back.
#[gtest]
#[tokio::test]
async fn a_crash_fails_every_turn_under_way() {
    let rig = rig::Rig::new(rig::slow_engine()).await;
    for attempt in 1..4 {
        let program = format!("p{attempt}");
        let start = rig::first_turn(&program, attempt, &program);
        rig.start_streaming(&start).await;
    }
    rig.engine.crash();
    for attempt in 1..4 {
        let state = rig.read_all(attempt).await.state;
        expect_that!(
            rig::error_kind(&state),
            some(eq(error::Kind::UpstreamCrashed))
        );
    }
    let beat = rig.heartbeat(side::Heartbeat::default()).await;
    expect_true!(beat.down);
    let refused = rig.start(&rig::first_turn("late", 9, "late")).await;
    expect_that!(
        rig::refusal_kind(&refused),
        some(eq(error::Kind::NoUpstream))
    );

    rig.engine.restart().unwrap();
    let core = rig.side.core().clone();
    rig::wait_until("the side detects the engine", || !core.is_down()).await;
    rig.run_turn(&rig::first_turn("late", 10, "late")).await;
}

// A single request crashes each engine that runs it. The side must not send it again when the
// engine is back, and must report that it may have run, so that its keeper can suspect it.
#[gtest]
#[tokio::test]
async fn a_poison_request_is_not_run_again() {
    let rig = rig::Rig::new(engine::Options {
        restart_after: Some(Duration::from_millis(50)),
        ..rig::fast_engine()
    })
    .await;
    rig.engine.poison(Some("venom"));
    let start = rig::first_turn("p", 1, "venom");
    rig.start(&start).await;
    let state = rig.read_all(1).await.state;
    expect_that!(
        rig::error_kind(&state),
        some(eq(error::Kind::UpstreamCrashed))
    );
    let core = rig.side.core().clone();
    rig::wait_until("the engine is back", || !core.is_down()).await;
    rig.start(&start).await;
    expect_that!(rig.engine.runs(start.digest), eq(1));
    expect_that!(
        rig.run_turn(&rig::first_turn("q", 2, "healthy"))
            .await
            .usage
            .completion,
        eq(24)
    );
}

// The engine accepts connections and does not respond. A caller must not wait forever, and
// heartbeats must report that the engine is down.
#[gtest]
#[tokio::test]
async fn a_frozen_engine_counts_as_down() {
    let mut opts = rig::options();
    opts.settings.engine.between_tokens_timeout = Duration::from_millis(200);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    let start = rig::first_turn("p", 1, "hello");
    rig.start_streaming(&start).await;
    rig.engine.freeze(true);
    let state = rig.read_all(1).await.state;
    expect_that!(
        rig::error_kind(&state),
        some(eq(error::Kind::UpstreamTimeout))
    );
    let core = rig.side.core().clone();
    rig::wait_until("the side detects it", || core.is_down()).await;
    expect_true!(rig.heartbeat(side::Heartbeat::default()).await.down);
}

// The engine's load report is delayed for a long time while its streams continue: it is busy, not
// down. Its turns must not fail.
#[gtest]
#[tokio::test]
async fn a_streaming_engine_without_reports_is_not_down() {
    let meter = fw_side::process::meter::Meter::default();
    let now = std::time::Instant::now();
    let idle_timeout = Duration::from_secs(10);
    expect_false!(meter.is_streaming(now, idle_timeout));
    meter.record_token(now);
    expect_true!(meter.is_streaming(now + idle_timeout / 2, idle_timeout));
    expect_false!(meter.is_streaming(now + idle_timeout, idle_timeout));
}

// The engine responds to a request with an error. Only that turn fails.
#[gtest]
#[tokio::test]
async fn an_error_status_fails_one_turn() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    rig.engine.fail_with(Some(500));
    rig.start(&rig::first_turn("p", 1, "hello")).await;
    let state = rig.read_all(1).await.state;
    expect_that!(
        rig::error_kind(&state),
        some(eq(error::Kind::UpstreamError))
    );
    rig.engine.fail_with(None);
    rig.run_turn(&rig::first_turn("p", 2, "hello")).await;
}

// A turn runs past its caller's deadline. It must end, and the engine must stop working on it.
#[gtest]
#[tokio::test]
async fn a_turn_past_its_deadline_is_stopped() {
    let rig = rig::Rig::new(rig::slow_engine()).await;
    let start = side::Start {
        deadline: Duration::from_millis(500),
        ..rig::first_turn("p", 1, "hello")
    };
    rig.start(&start).await;
    let state = rig.read_all(1).await.state;
    expect_that!(
        rig::error_kind(&state),
        some(eq(error::Kind::DeadlineExceeded))
    );
    rig::wait_until("the engine is idle", || rig.engine.in_flight() == 0).await;
}
