//! Propagation of changes to the operators' records.

use std::time::Duration;

use fw_base::error;
use fw_local::caller;
use fw_local::system;
use googletest::prelude::*;
use serde_json::json;

use super::rig;

/// Most polls, 20 ms apart, until a change must be in force: the promise is three seconds.
const MAX_POLLS: u32 = 150;

async fn in_force(system: &system::System, revision: i64) -> bool {
    for _ in 0..MAX_POLLS {
        if system.revision_in_force() >= revision {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere() {
    let system = rig::system().await;
    let record = json!({ "schema": 2, "kind": "llm", "models": ["extra"], "pool": system::AGENTS });
    let put = system.put_record("service", "second", 0, &record).await;
    expect_that!(put.status, eq(200));
    let revision = put.body["revision"].as_i64().unwrap();
    expect_true!(in_force(&system, revision).await);
    for entry in 0..2 {
        let chat = caller::Chat {
            model: "extra".to_owned(),
            ..rig::request("hello")
        };
        expect_true!(rig::chat(system.callers(entry), &chat).await.is_ok());
    }
}

// Two operators read the same version of a record and both change it. The second must get a
// conflict that shows both versions, and the first change must stay.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_a_conflict() {
    let system = rig::system().await;
    let first = json!({ "schema": 2, "share": 2.0 });
    let second = json!({ "schema": 2, "share": 3.0 });
    expect_that!(
        system
            .put_record("team", "officers", 0, &first)
            .await
            .status,
        eq(200)
    );
    let lost = system.put_record("team", "officers", 0, &second).await;
    expect_that!(lost.kind, some(eq(error::Kind::RecordConflict)));
    expect_that!(lost.body.to_string(), contains_substring("3.0"));
    expect_that!(lost.body.to_string(), contains_substring("2.0"));
}

// A record is accepted before a store outage. The running entries must keep it in force throughout,
// and an entry that is started afterwards must load it: no entry may revert to an older revision.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_reverts_no_record() {
    let mut system = rig::system().await;
    let put = system
        .put_record("team", "officers", 0, &json!({ "schema": 2, "share": 2.0 }))
        .await;
    let revision = put.body["revision"].as_i64().unwrap();
    expect_true!(in_force(&system, revision).await);
    system.store.set_outage(Some(fw_fake::store::Outage::Hang));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    expect_that!(system.revision_in_force(), ge(revision));
    system.store.set_outage(None);
    let entry = system.add_entry("hall-a").await.unwrap();
    expect_that!(entry, eq(2));
    expect_true!(in_force(&system, revision).await);
}
