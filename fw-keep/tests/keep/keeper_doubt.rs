//! Shard ownership while a keeper cannot be sure of it.

use std::time::Duration;

use fw_fake::store::Outage;
use fw_keep::journal::keys;
use fw_keep::keeper;
use googletest::prelude::*;

use crate::fleet;
use crate::fleet::Fleet;

// Guards against a keeper fenced by its own acquisition. A shard's key lapses while a change whose answer
// the caller has is not yet in the store. The reacquisition takes effect, but its answer is lost four times
// in a row. The change was then written under the old fencing number and failed on the keeper's own new
// key: `shard lost` with reason `stale_fence`, no other holder, and the change dropped.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unanswered_acquisition_does_not_fence_its_own_keeper() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let lose_answers = |chance| fleet.store.faults(0, |f| f.lose_probability = chance);
    lose_answers(1.0);
    fleet
        .store
        .delete(&keys::owner(fleet::ROOT, a.shard_of("p")));
    let ticket = fleet::turn(&a, "p", 1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    lose_answers(0.0);
    let mut done = a.wait_durable(ticket).await;
    for _ in 0..40 {
        if done != Err(keeper::Error::StoreUnavailable) {
            break;
        }
        done = a.wait_durable(ticket).await;
    }
    expect_that!(done, ok(anything()));
    expect_that!(fleet::committed(&a, "p"), some((eq(1), anything())));
}

// Guards against a keeper that serves outdated state. Its lease lapses, the answers to its renewals are
// lost, and another entry takes its shards and continues their programs, which the watch shows. The first
// keeper continued to serve from memory and refused callers of newer turns permanently as out of order.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_that_the_table_shows_elsewhere_are_not_served() {
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

// Guards against a keeper that trusts its state after its lease. It receives nothing from the store for
// longer than the lease, because it is cut off or paused, so another entry may have its shards and have
// continued their programs. It may run turns, which are fenced at commit, but is not the sole keeper.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sole_ownership_ends_with_the_lease() {
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
    fleet::until("a is the sole keeper again", || a.is_sole_keeper()).await;
}

/// Opens a keeper and starts a store outage of length `outage` as soon as its shards are acquired.
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

// Guards against shards that stay in doubt permanently when the first answer after a store outage is that
// to the read of their journals.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_loaded_after_a_store_outage_are_verified() {
    // Longer than the time without contact after which shards are in doubt, shorter than the lease.
    let outages = (0..20).map(|n| Duration::from_millis(1_200 + 30 * n));
    for opened in futures_util::future::join_all(outages.map(interrupted)).await {
        let (_fleet, a) = opened;
        fleet::until_kept(&a, 16).await;
        fleet::until("a is the sole keeper", || a.is_sole_keeper()).await;
    }
}

/// Number of shards whose verification takes many calls.
const SHARD_COUNT: u16 = 1_200;

// Guards against programs that wait until the last of thousands of shards is verified after a lapsed
// lease.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prioritized_shards_are_verified_first() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        shards: SHARD_COUNT,
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, usize::from(SHARD_COUNT)).await;
    let last = a.shards().last().unwrap().shard;
    let in_doubt = || {
        let kept = a.shards();
        kept.iter().filter(|kept| a.is_in_doubt(kept.shard)).count()
    };
    fleet
        .store
        .faults(0, |faults| faults.delay = Duration::from_millis(100));
    fleet.lapse("a");
    fleet::until("all in doubt", || in_doubt() == usize::from(SHARD_COUNT)).await;
    expect_false!(a.is_sole_keeper_of(last));
    fleet::until("the shard is out of doubt", || {
        a.prioritize(last);
        !a.is_in_doubt(last)
    })
    .await;
    expect_that!(in_doubt(), gt(0));
    expect_false!(a.is_sole_keeper());
    fleet::until("a is the sole keeper again", || a.is_sole_keeper()).await;
}
