//! Engine memory of programs that are gone, and the view of the cache.

use std::time::Duration;

use fw_fake::engine;
use fw_side::Options;
use fw_wire::side;
use googletest::prelude::*;

use crate::rig;

/// Options with a short session time.
fn short_sessions() -> Options {
    let mut opts = rig::options();
    opts.settings.sessions.ttl = Duration::from_millis(500);
    opts
}

// An entry dies and nobody takes an interest in its programs. Their memory must be freed, though
// nobody orders it, and though the first orders to the engine are lost.
#[gtest]
#[tokio::test]
async fn memory_of_a_dead_keepers_program_is_freed() {
    let rig = rig::Rig::with(rig::quick(), short_sessions()).await;
    rig.engine.lose_releases(true);
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    expect_that!(rig.engine.cached().len(), eq(1));
    let core = rig.side.core().clone();
    rig::until("a release is lost", || core.sessions.unconfirmed() == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(rig.engine.cached().len(), eq(1));
    rig.engine.lose_releases(false);
    rig::until("the memory is free", || rig.engine.cached().is_empty()).await;
    rig::until("the order is confirmed", || {
        core.sessions.unconfirmed() == 0
    })
    .await;
}

// A program pauses for a tool while its keeper lives. Its memory must stay, or its next turn
// would wait for the whole prefill.
#[gtest]
#[tokio::test]
async fn memory_of_a_renewed_program_stays() {
    let rig = rig::Rig::with(rig::quick(), short_sessions()).await;
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    for _ in 0..20 {
        rig.heartbeat(rig::renewing("p", rig::FENCE)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(rig.engine.cached().len(), eq(1));
}

// The keeper's order to free a program was lost. The side asks after it when it is idle, and
// frees it when the keeper does not know it any more.
#[gtest]
#[tokio::test]
async fn a_program_that_its_keeper_forgot_is_freed() {
    let mut opts = rig::options();
    opts.ask_after = Duration::from_millis(50);
    let rig = rig::Rig::with(rig::quick(), opts).await;
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let foreign = rig.heartbeat(rig::renewing("other", rig::FENCE)).await;
    expect_that!(foreign.asked, is_empty());
    let reply = rig.heartbeat(rig::renewing("p", rig::FENCE)).await;
    expect_that!(reply.asked, elements_are![eq("p")]);
    let gone = side::Heartbeat {
        gone: reply.asked,
        ..rig::renewing("p", rig::FENCE)
    };
    rig.heartbeat(gone).await;
    rig::until("the memory is free", || rig.engine.cached().is_empty()).await;
}

// The side is restarted and knows no session, while the engine beside it holds the memory of a
// program that is gone. The new side must find and free it.
#[gtest]
#[tokio::test]
async fn a_restarted_side_frees_what_its_predecessor_left() {
    let rig = rig::Rig::with(rig::quick(), short_sessions()).await;
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    drop(rig.client);
    drop(rig.side);
    let mut opts = short_sessions();
    opts.settings.engine.address = rig.engine.addr();
    let _side = fw_side::Side::spawn(opts).await.unwrap();
    expect_that!(rig.engine.cached().len(), eq(1));
    rig::until("the memory is free", || rig.engine.cached().is_empty()).await;
}

// The engine's cache events come late and with gaps. An entry must not go on believing in a cache
// whose loss it missed: after a gap its view starts anew.
#[gtest]
#[tokio::test]
async fn a_gap_in_cache_events_resets_the_view() {
    let rig = rig::Rig::new(engine::Options {
        cache_gap: 3,
        ..rig::quick()
    })
    .await;
    rig.turn(&rig::first_turn("a", 1, "hello")).await;
    let before = rig.heartbeat(side::Heartbeat::default()).await;
    expect_that!(before.cache.len(), eq(1));
    for (attempt, program) in (2..).zip(["b", "c", "d"]) {
        rig.turn(&rig::first_turn(program, attempt, "hello")).await;
    }
    let seen = |cache_seen| side::Heartbeat {
        cache_seen,
        ..side::Heartbeat::default()
    };
    let within = tokio::time::Instant::now() + rig::LONG;
    let after = loop {
        let reply = rig.heartbeat(seen(before.cache_seq)).await;
        if reply.cache_reset {
            break reply;
        }
        assert!(tokio::time::Instant::now() < within, "no reset came");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let next = rig.heartbeat(seen(after.cache_seq)).await;
    expect_false!(next.cache_reset);
}

// The engine crashes and loses its cache. Entries must hear so, or they would send programs here
// for a cache that is gone.
#[gtest]
#[tokio::test]
async fn a_crash_resets_the_view() {
    let rig = rig::Rig::new(rig::quick()).await;
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    let before = rig.heartbeat(side::Heartbeat::default()).await;
    expect_that!(before.cache.len(), eq(1));
    rig.engine.crash();
    let core = rig.side.core().clone();
    rig::until("the crash is seen", || core.is_down()).await;
    let after = rig
        .heartbeat(side::Heartbeat {
            cache_seen: before.cache_seq,
            ..side::Heartbeat::default()
        })
        .await;
    expect_true!(after.cache_reset);
    expect_that!(after.cache, is_empty());
}
