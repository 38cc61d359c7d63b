//! What a keeper holds to be its own while it cannot be sure.

use std::time::Duration;

use fw_fake::store::Outage;
use fw_keep::journal::keys;
use fw_keep::keeper;
use googletest::prelude::*;

use crate::fleet;
use crate::fleet::Fleet;

// A keeper's shard lapses while it has a change that the store lacks: a caller holds the answer. The
// store takes the keeper's acquisition, and loses the answer to it four times in a row. The change was
// written on under the old fencing number and met the keeper's own new key, which was taken for
// another's: `shard lost` with reason `stale_fence`, nobody else holding it, and the change dropped.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn its_own_acquisition_does_not_fence_it_off() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let lose = |chance| fleet.store.faults(0, |f| f.lose_probability = chance);
    lose(1.0);
    fleet
        .store
        .delete(&keys::owner(fleet::ROOT, a.shard_of("p")));
    let ticket = fleet::turn(&a, "p", 1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    lose(0.0);
    let mut done = a.wait_durable(ticket).await;
    for _ in 0..40 {
        if done != Err(keeper::Error::StoreUnavailable) {
            break;
        }
        done = a.wait_durable(ticket).await;
    }
    expect_that!(done, ok(anything()));
    expect_that!(fleet::standing(&a, "p"), some((eq(1), anything())));
}

// A keeper's lease lapses, the answers to its renewals are lost, and another entry takes its shards
// and goes on with their programs. The watch shows the first who has them now. It went on to serve
// what was in its memory, and told callers of the newer turns, for good, that they were out of order.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_serves_nothing_that_the_table_shows_elsewhere() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    fleet.store.faults(0, |faults| {
        faults.lose_lease_probability = 1.0;
        faults.lose_probability = 1.0;
    });
    fleet.lapse("a");
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    fleet::until("a serves nothing", || a.shards().is_empty()).await;
}

// A keeper hears nothing of the store for longer than its lease, as it is cut off or was paused.
// Another entry may have its shards by now and their programs may have gone on: what it knows is the
// past. It may run turns, which are fenced when they commit, but it is not sure of anything.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_is_sure_for_no_longer_than_its_lease() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    expect_true!(a.is_sole_keeper());
    fleet
        .store
        .faults(0, |faults| faults.outage = Some(Outage::Hang));
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    expect_false!(a.is_sole_keeper());
    fleet.store.faults(0, |faults| faults.outage = None);
    fleet::until("a is sure again", || a.is_sole_keeper()).await;
}

/// Opens a keeper and takes the store away for `outage` as soon as its shards are taken.
async fn interrupted(outage: Duration) -> (Fleet, keeper::Keeper) {
    let fleet = Fleet::start(1).await;
    fleet
        .store
        .faults(0, |faults| faults.delay = Duration::from_millis(20));
    let opts = keeper::Options {
        ttl: Duration::from_millis(1_100),
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    let owner = keys::owner(fleet::ROOT, 0);
    fleet::until("the shards are taken", || fleet.store.get(&owner).is_some()).await;
    fleet.store.set_outage(Some(Outage::Hang));
    tokio::time::sleep(outage).await;
    fleet.store.set_outage(None);
    (fleet, a)
}

// Guards against shards that stay in doubt for good when the first answer after a silence of the store is
// that to the reading of their journals.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_loaded_after_a_silence_are_asked_for() {
    // Longer than the silence after which shards are doubted, shorter than the lease.
    let outages = (0..20).map(|n| Duration::from_millis(1_200 + 30 * n));
    for opened in futures_util::future::join_all(outages.map(interrupted)).await {
        let (_fleet, a) = opened;
        fleet::until_kept(&a, 16).await;
        fleet::until("a is sure", || a.is_sole_keeper()).await;
    }
}

/// Shards that take many calls to ask the store for.
const MANY: u16 = 1_200;

// Guards against programs that wait for the last of thousands of shards after a lapsed lease.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_that_calls_wait_for_is_out_of_doubt_first() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        shards: MANY,
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, usize::from(MANY)).await;
    let last = a.shards().last().unwrap().shard;
    let others_in_doubt = || {
        let kept = a.shards();
        kept.iter().filter(|kept| a.is_in_doubt(kept.shard)).count()
    };
    fleet
        .store
        .faults(0, |faults| faults.delay = Duration::from_millis(100));
    fleet.lapse("a");
    fleet::until("all is in doubt", || others_in_doubt() == usize::from(MANY)).await;
    expect_false!(a.is_sole_keeper_of(last));
    fleet::until("the shard is out of doubt", || {
        a.prioritize(last);
        !a.is_in_doubt(last)
    })
    .await;
    expect_that!(others_in_doubt(), gt(0));
    expect_false!(a.is_sole_keeper());
    fleet::until("a is sure again", || a.is_sole_keeper()).await;
}
