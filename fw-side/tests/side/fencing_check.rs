//! Rejection of keepers that act on a shard they have lost.

use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_fake::engine;
use fw_wire::attempt;
use fw_wire::side;
use fw_wire::transport;
use googletest::prelude::*;

use crate::rig;

/// An engine that ignores fencing numbers.
fn without_fence_check() -> engine::Options {
    engine::Options {
        checks_fence: false,
        ..rig::fast_engine()
    }
}

// A keeper is suspended, loses its shard to another entry, resumes and starts a turn without
// noticing the loss. The engine would run it, so the side must refuse it as not run.
#[gtest]
#[tokio::test]
async fn a_stale_keeper_is_refused() {
    let rig = rig::Rig::new(without_fence_check()).await;
    let newer = rig::FENCE + 1;
    rig.heartbeat(rig::renewal("p", newer)).await;
    let stale = rig::first_turn("p", 1, "hello");
    let reply = rig.start(&stale).await;
    expect_that!(rig::refusal_kind(&reply), some(eq(error::Kind::StaleFence)));
    expect_that!(rig.engine.runs(stale.digest), eq(0));
    let current = side::Start {
        fence: newer,
        ..stale
    };
    rig.run_turn(&current).await;
}

// The same keeper resumes and requests the release of the program's cache, which its successor
// uses.
#[gtest]
#[tokio::test]
async fn a_stale_keeper_frees_no_memory() {
    let rig = rig::Rig::new(without_fence_check()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    rig.heartbeat(rig::renewal("p", rig::FENCE + 1)).await;
    for (fence, left) in [(rig::FENCE, 1), (rig::FENCE + 1, 0)] {
        let req = side::Release {
            programs: vec![("p".into(), fence)],
        };
        let cx = transport::context(rig::TIMEOUT);
        rig.client.release(cx, req).await.unwrap();
        expect_that!(rig.side.core().sessions.len(), eq(left));
    }
    rig::wait_until("the cache is released", || rig.engine.cached().is_empty()).await;
}

// A request contains a shard that its program does not hash to. Checking the fencing number of that
// other shard would accept it.
#[gtest]
#[tokio::test]
async fn a_wrong_shard_is_refused() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let start = side::Start {
        shard: (id::shard_of("p") + 1) % id::SHARDS,
        ..rig::first_turn("p", 1, "hello")
    };
    let reply = rig.start(&start).await;
    expect_that!(rig::refusal_kind(&reply), some(eq(error::Kind::BadRequest)));
}

// A keeper is partitioned while its turn runs, and another entry takes over the program's shard. If
// the turn were allowed to end, the answer would reach the caller through the old keeper while the
// new one's history lacked it. The new keeper's first heartbeat must end the turn.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_keeper_ends_the_turns_of_the_old_one() {
    let rig = rig::Rig::new(engine::Options {
        step: Duration::from_millis(20),
        ..engine::Options::default()
    })
    .await;
    let start = rig::first_turn("p", 1, "ask");
    rig.start_streaming(&start).await;
    rig.heartbeat(rig::renewal("p", start.fence + 1)).await;
    let ended = rig.read_all(1).await;
    let kind = match ended.state {
        attempt::State::Failed(err) => Some(err.kind),
        _ => None,
    };
    expect_that!(kind, some(eq(error::Kind::KeeperLost)));
}
