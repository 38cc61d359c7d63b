//! Sets read from the store and kept up to date by a watch.

use std::time::Duration;

use fw_fake::store;
use fw_record::holder;
use fw_record::key;
use fw_record::load;
use fw_record::set;
use fw_record::write;
use googletest::prelude::*;

use crate::connect;
use crate::start;

/// Longest wait for a change to come into force; a bound for the test, not a performance target.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

fn name() -> key::Name {
    key::Name::new(key::Kind::Team, "t")
}

fn share(share: u32) -> Vec<u8> {
    format!(r#"{{"schema": 2, "share": {share}}}"#).into_bytes()
}

async fn reach(holder: &holder::Holder, revision: i64) -> set::Set {
    let mut rx = holder.subscribe();
    let reached = rx.wait_for(|set| set.revision() >= revision);
    let reached = tokio::time::timeout(CHANGE_TIMEOUT, reached).await;
    reached
        .expect("the change comes into force")
        .unwrap()
        .clone()
}

#[gtest]
#[tokio::test]
async fn changes_come_into_force_through_an_outage() {
    // A record is changed while the store does not answer this process. The process must keep the
    // records that it has, and apply the change once the store answers again.
    let store = start().await;
    let client = connect(&store);
    let holder = holder::Holder::default();
    let follower = tokio::spawn({
        let (client, holder) = (client.clone(), holder.clone());
        async move { load::follow(&client, &holder).await }
    });
    let opts = write::Options::default();
    let first = write::put(&client, &name(), &share(1), 0, &opts)
        .await
        .unwrap();
    let set = reach(&holder, first.revision).await;
    expect_eq!(set.revision(), first.revision);
    store.set_outage(Some(store::Outage::Hang));
    let second = store.put(&name().key(), share(2));
    expect_eq!(holder.current().team("t").unwrap().share, 1.0);
    store.set_outage(None);
    expect_eq!(reach(&holder, second).await.team("t").unwrap().share, 2.0);
    let gone = write::delete(&client, &name(), second, &opts)
        .await
        .unwrap();
    expect_true!(reach(&holder, gone.revision).await.team("t").is_none());
    follower.abort();
}

// Guards against outdated records staying in force for as long as their watch cannot be opened.
#[gtest]
#[tokio::test]
async fn changes_come_into_force_without_a_watch() {
    let store = start().await;
    let client = connect(&store);
    let holder = holder::Holder::default();
    let follower = tokio::spawn({
        let (client, holder) = (client.clone(), holder.clone());
        async move { load::follow(&client, &holder).await }
    });
    let first = store.put(&name().key(), share(1));
    reach(&holder, first).await;
    store.faults(0, |faults| faults.hang_watches = true);
    store.stall_watches(0);
    let second = store.put(&name().key(), share(2));
    expect_eq!(reach(&holder, second).await.team("t").unwrap().share, 2.0);
    follower.abort();
}

#[gtest]
#[tokio::test]
async fn set_has_the_same_revision_whenever_it_is_read() {
    // The store's global revision grows with every write of journals and leases. If a set used it,
    // processes that read the same records at different times would each take the other's set for
    // newer, and fetch it repeatedly.
    let store = start().await;
    let client = connect(&store);
    let opts = write::Options::default();
    let made = write::put(&client, &name(), &share(1), 0, &opts)
        .await
        .unwrap();
    let gone = write::delete(&client, &name(), made.revision, &opts)
        .await
        .unwrap();
    let before = load::read_all(&client, &set::Set::default()).await.unwrap();
    store.put("/fw/other", "x");
    let after = load::read_all(&client, &set::Set::default()).await.unwrap();
    expect_eq!(before.revision(), gone.revision);
    expect_eq!(after.revision(), gone.revision);
}

#[gtest]
#[tokio::test]
async fn fresh_process_takes_the_last_good_version_from_history() {
    // A record is overwritten by an invalid version, and a process starts afterwards. It has no
    // valid version of its own, yet its callers need the service.
    let store = start().await;
    let client = connect(&store);
    let opts = write::Options::default();
    let made = write::put(&client, &name(), &share(2), 0, &opts)
        .await
        .unwrap();
    write::put(&client, &name(), &share(3), made.revision, &opts)
        .await
        .unwrap();
    store.put(&name().key(), "{}");
    let set = load::read_all(&client, &set::Set::default()).await.unwrap();
    expect_eq!(set.problems()[0].name, name());
    expect_eq!(set.team("t").unwrap().share, 2.0);
}
