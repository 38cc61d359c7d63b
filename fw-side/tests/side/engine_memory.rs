//! Release of the engine's cache for ended programs, and the view of the cache.

use std::time::Duration;

use fw_fake::engine;
use fw_side::Options;
use fw_wire::side;
use googletest::prelude::*;

use crate::rig;

/// Options with a short session TTL.
fn short_sessions() -> Options {
    let mut opts = rig::options();
    opts.settings.sessions.ttl = Duration::from_millis(500);
    opts
}

// An entry dies and no other entry takes over its programs. Their cache must be released without a
// request from a keeper, even though the first releases sent to the engine are lost.
#[gtest]
#[tokio::test]
async fn memory_of_a_dead_keepers_program_is_freed() {
    let rig = rig::Rig::with(rig::fast_engine(), short_sessions()).await;
    rig.engine.lose_releases(true);
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    expect_that!(rig.engine.cached().len(), eq(1));
    let core = rig.side.core().clone();
    rig::wait_until("a release is lost", || {
        core.sessions.unconfirmed_releases() == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(rig.engine.cached().len(), eq(1));
    rig.engine.lose_releases(false);
    rig::wait_until("the cache is released", || rig.engine.cached().is_empty()).await;
    rig::wait_until("the release is confirmed", || {
        core.sessions.unconfirmed_releases() == 0
    })
    .await;
}

// A program pauses for a tool while its keeper is alive. Its cache must be retained; otherwise its
// next turn would wait for a full prefill.
#[gtest]
#[tokio::test]
async fn memory_of_a_renewed_program_stays() {
    let rig = rig::Rig::with(rig::fast_engine(), short_sessions()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    for _ in 0..20 {
        rig.heartbeat(rig::renewal("p", rig::FENCE)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(rig.engine.cached().len(), eq(1));
}

// The keeper's release of a program was lost. Once the program is idle, the side asks its keeper
// whether it exists, and releases its cache when the keeper reports it as gone.
#[gtest]
#[tokio::test]
async fn a_program_that_its_keeper_forgot_is_freed() {
    let mut opts = rig::options();
    opts.verify_idle_after = Duration::from_millis(50);
    let rig = rig::Rig::with(rig::fast_engine(), opts).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let foreign = rig.heartbeat(rig::renewal("other", rig::FENCE)).await;
    expect_that!(foreign.asked, is_empty());
    let reply = rig.heartbeat(rig::renewal("p", rig::FENCE)).await;
    expect_that!(reply.asked, elements_are![eq("p")]);
    let gone = side::Heartbeat {
        gone: reply.asked,
        ..rig::renewal("p", rig::FENCE)
    };
    rig.heartbeat(gone).await;
    rig::wait_until("the cache is released", || rig.engine.cached().is_empty()).await;
}

// The side restarts without sessions, while the engine still caches a program that has ended. The
// new side must detect and release it.
#[gtest]
#[tokio::test]
async fn a_restarted_side_releases_the_cache_of_its_predecessor() {
    let rig = rig::Rig::with(rig::fast_engine(), short_sessions()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    drop(rig.client);
    drop(rig.side);
    let mut opts = short_sessions();
    opts.settings.engine.address = rig.engine.addr();
    let _side = fw_side::Side::spawn(opts).await.unwrap();
    expect_that!(rig.engine.cached().len(), eq(1));
    rig::wait_until("the cache is released", || rig.engine.cached().is_empty()).await;
}

// The engine's cache events arrive late and with gaps. An entry must not keep relying on cache
// whose loss it missed: after a gap its view must be reset.
#[gtest]
#[tokio::test]
async fn a_gap_in_cache_events_resets_the_view() {
    let rig = rig::Rig::new(engine::Options {
        cache_gap: 3,
        ..rig::fast_engine()
    })
    .await;
    rig.run_turn(&rig::first_turn("a", 1, "hello")).await;
    let before = rig.heartbeat(side::Heartbeat::default()).await;
    expect_that!(before.cache.len(), eq(1));
    for (attempt, program) in (2..).zip(["b", "c", "d"]) {
        rig.run_turn(&rig::first_turn(program, attempt, "hello"))
            .await;
    }
    let seen = |cache_seen| side::Heartbeat {
        cache_seen,
        ..side::Heartbeat::default()
    };
    let within = tokio::time::Instant::now() + rig::TIMEOUT;
    let after = loop {
        let reply = rig.heartbeat(seen(before.cache_seq)).await;
        if reply.cache_reset {
            break reply;
        }
        assert!(tokio::time::Instant::now() < within, "no reset received");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let next = rig.heartbeat(seen(after.cache_seq)).await;
    expect_false!(next.cache_reset);
}

// The engine crashes and loses its cache. Entries must be notified, or they would send programs
// here for a cache that no longer exists.
#[gtest]
#[tokio::test]
async fn a_crash_resets_the_view() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    let before = rig.heartbeat(side::Heartbeat::default()).await;
    expect_that!(before.cache.len(), eq(1));
    rig.engine.crash();
    let core = rig.side.core().clone();
    rig::wait_until("the crash is detected", || core.is_down()).await;
    let after = rig
        .heartbeat(side::Heartbeat {
            cache_seen: before.cache_seq,
            ..side::Heartbeat::default()
        })
        .await;
    expect_true!(after.cache_reset);
    expect_that!(after.cache, is_empty());
}
