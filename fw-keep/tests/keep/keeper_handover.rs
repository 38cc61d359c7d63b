//! A graceful stop hands shards over without waiting for a lease to lapse.

use std::time::Duration;
use std::time::Instant;

use fw_keep::keeper::Owner;
use fw_keep::program;
use googletest::prelude::*;

use crate::fleet;
use crate::fleet::Fleet;

/// An entry is replaced. Its programs are to go on at once, with all their turns, though the last
/// of them was still waiting for its group commit when the stop began.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_stop_loses_nothing_and_waits_for_no_lease() {
    let fleet = Fleet::start(2).await;
    let mut opts = Fleet::options("a");
    opts.ttl = Duration::from_secs(3_600);
    let a = fw_keep::keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, 16).await;
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 8).await;
    let mine = (0..).map(|n| format!("p{n}"));
    let program = mine
        .into_iter()
        .find(|p| a.owner(a.shard_of(p)) == Owner::Local)
        .unwrap();
    fleet::turn(&a, &program, 1);
    let begun = Instant::now();
    let closed = a.close().await;
    expect_that!(closed.unflushed, eq(0));
    fleet::until_mine(&b, &program).await;
    expect_that!(begun.elapsed(), lt(Duration::from_secs(1_000)));
    expect_that!(fleet::standing(&b, &program), some((eq(1), anything())));
    expect_that!(a.shards(), is_empty());
}

/// A second entry joins while a turn is under way. The turn's shard stays where it is until the
/// turn has ended: handed over, its answer would find no program.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_with_a_turn_under_way_is_not_handed_over() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let programs: Vec<String> = (0..64).map(|n| format!("p{n}")).collect();
    for program in &programs {
        let begun = fleet::begin(&a, program, fleet::delta(1, "ask 1", 5));
        expect_that!(begun, pat!(program::Outcome::Run(anything())));
    }
    let b = fleet.keeper("b", 1);
    fleet::until("b is known", || {
        !a.entries().is_empty() && a.entries().len() == 2
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for program in &programs {
        a.wait_durable(fleet::finish(&a, program, 1, 5))
            .await
            .unwrap();
    }
    fleet::until_kept(&b, 8).await;
    for program in &programs {
        let keeper = if a.owner(a.shard_of(program)) == Owner::Local {
            &a
        } else {
            &b
        };
        expect_that!(fleet::standing(keeper, program), some((eq(1), anything())));
    }
}
