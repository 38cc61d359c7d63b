//! Entries that take shards beside entries that do not.

use fw_keep::keeper;
use googletest::prelude::*;

use super::fleet;
use super::fleet::Fleet;

// In a large fleet only some entries keep shards, so that their commits fit the store's rate. One
// that does not must still be known to the others, and know who keeps what.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_keeps_nothing_knows_the_keepers() {
    let fleet = Fleet::start(2).await;
    let opts = keeper::Options {
        keeps: false,
        ..Fleet::options("b")
    };
    let b = keeper::Keeper::open(fleet.client(1), opts);
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    fleet::until(
        "b knows the keeper",
        || matches!(b.owner(0), keeper::Owner::Remote { entry, .. } if entry == "a"),
    )
    .await;
    let knows_b = || a.entries().iter().any(|(entry, _)| entry == "b");
    fleet::until("a knows b", knows_b).await;
    expect_that!(b.shards(), is_empty());
}
