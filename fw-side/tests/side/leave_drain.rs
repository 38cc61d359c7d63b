//! Leaving upstreams and graceful shutdown of sides.

use std::time::Duration;

use fw_base::error;
use fw_wire::attempt;
use fw_wire::side;
use googletest::prelude::*;

use crate::rig;

// An instance is about to be replaced, and its side receives a `/leave` request. New turns must be
// refused immediately as not run, entries must be notified, and the turn in progress must complete.
#[gtest]
#[tokio::test]
async fn a_leaving_side_takes_no_new_work() {
    let rig = rig::Rig::new(rig::slow_engine()).await;
    rig.start_streaming(&rig::first_turn("p", 1, "hello")).await;
    let uri = format!("http://{}/leave", rig.side.http());
    let client = fw_http::Client::default();
    client.post_json(&uri, &()).await.unwrap();
    let refused = rig.start(&rig::first_turn("q", 2, "late")).await;
    expect_that!(
        rig::refusal_kind(&refused),
        some(eq(error::Kind::UpstreamLeaving))
    );
    expect_true!(rig.heartbeat(side::Heartbeat::default()).await.leaving);
    let ready = format!("http://{}/readyz", rig.side.http());
    expect_that!(client.get(&ready).await.unwrap().status.as_u16(), eq(503));
    let whole = rig.read_all(1).await.state;
    expect_true!(matches!(whole, attempt::State::Done(_)));
}

// The engine itself reports that it is leaving, before any list of upstreams does.
#[gtest]
#[tokio::test]
async fn an_engine_that_reports_leaving_gets_no_new_work() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    rig.engine.leave(true);
    let core = rig.side.core().clone();
    rig::wait_until("the side detects it", || core.is_leaving()).await;
    let refused = rig.start(&rig::first_turn("p", 1, "late")).await;
    expect_that!(
        rig::refusal_kind(&refused),
        some(eq(error::Kind::UpstreamLeaving))
    );
}

// The side's process is asked to stop during an answer. It must not exit before the answer is
// complete and its keeper has read it.
#[gtest]
#[tokio::test]
async fn a_stopped_side_finishes_the_turn_under_way() {
    let rig = rig::Rig::new(rig::slow_engine()).await;
    let start = rig::first_turn("p", 1, "hello");
    rig.start_streaming(&start).await;
    let rig::Rig {
        engine,
        side,
        client,
    } = rig;
    let stopped = tokio::spawn(side.stop());
    let mut offset = 0;
    let state = loop {
        let cx = fw_wire::transport::context(rig::TIMEOUT);
        let wait = rig::TIMEOUT;
        let req = attempt::Read {
            attempt: 1,
            offset,
            wait,
            gather: Duration::ZERO,
        };
        let reply = client.read(cx, req).await.unwrap();
        offset += reply.events.len() as u32;
        if reply.state.is_final() {
            break reply.state;
        }
    };
    expect_true!(matches!(state, attempt::State::Done(_)));
    expect_that!(offset, eq(402));
    expect_true!(stopped.await.unwrap());
    expect_that!(engine.counts().finished, eq(1));
}
