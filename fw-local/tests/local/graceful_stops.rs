//! Graceful shutdown of entries and upstreams.

use std::time::Duration;

use fw_fake::engine;
use fw_local::caller;
use fw_local::system;
use googletest::prelude::*;

use super::rig;

// An entry is stopped while it streams answers. Every stream must be completed, and the programs
// that it kept must continue at the other entry at once, without waiting for a lease to lapse.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_entry_interrupts_no_stream() {
    let opts = system::Options {
        engine: engine::Options {
            step: Duration::from_millis(20),
            ..engine::Options::default()
        },
        ..system::Options::default()
    };
    let mut system = rig::start(opts).await;
    let addr = system.callers(0);
    let chat = |n: usize| caller::Chat {
        headers: vec![("x-program", format!("stop-{n}"))],
        max_tokens: Some(50),
        ..rig::request("draft")
    };
    let tasks: Vec<_> = (0..12)
        .map(|n| {
            let chat = chat(n);
            tokio::spawn(async move { rig::chat(addr, &chat).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let drained = system.stop_entry(0).await;
    expect_true!(drained);
    for task in tasks {
        let answer = task.await.unwrap();
        expect_that!(answer.kind, none());
        expect_true!(answer.is_ok());
    }
    for n in 0..12 {
        let next = caller::Chat {
            headers: vec![
                ("x-program", format!("stop-{n}")),
                ("x-turn", "2".to_owned()),
                ("x-history", "delta".to_owned()),
            ],
            ..rig::request("more")
        };
        let answer = rig::chat(system.callers(1), &next).await;
        expect_that!(answer.kind, none());
        expect_that!(answer.turn, some(eq(2)));
    }
}

// An engine is asked to leave. Its running calls may complete; later calls must be placed on other
// engines.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work() {
    let system = rig::system().await;
    let leaving = &system.engines[0].upstream;
    leaving.leave(true);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = leaving.counts().finished;
    for n in 0..12 {
        let answer = rig::chat(system.callers(n % 2), &rig::request(&format!("call {n}"))).await;
        expect_that!(answer.kind, none());
    }
    expect_that!(leaving.counts().finished, eq(before));
}
