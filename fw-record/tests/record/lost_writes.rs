//! Changes of records under concurrent writers, lost responses and outages of the store.

use std::time::Duration;

use fw_fake::store;
use fw_record::admin;
use fw_record::key;
use fw_record::write;
use googletest::prelude::*;

use crate::connect;
use crate::start;

fn name() -> key::Name {
    key::Name::new(key::Kind::Team, "t")
}

fn share(share: u32) -> Vec<u8> {
    format!(r#"{{"schema": 2, "share": {share}}}"#).into_bytes()
}

fn opts() -> write::Options {
    write::Options {
        max_versions: 3,
        max_attempts: 5,
        retry_delay: Duration::from_millis(10),
    }
}

#[gtest]
#[tokio::test]
async fn racing_writers_get_a_conflict_that_shows_both() {
    let store = start().await;
    let client = connect(&store);
    let first = write::put(&client, &name(), &share(1), 0, &opts())
        .await
        .unwrap();
    let second = write::put(&client, &name(), &share(2), first.revision, &opts()).await;
    let third = write::put(&client, &name(), &share(3), first.revision, &opts()).await;
    let write::Error::Conflict { yours, theirs, .. } = third.unwrap_err() else {
        panic!("a conflict");
    };
    expect_eq!(yours.unwrap()["share"], 3);
    let theirs = theirs.unwrap();
    expect_eq!(theirs.record["share"], 2);
    expect_eq!(theirs.revision, second.unwrap().revision);
}

#[gtest]
#[tokio::test]
async fn lost_answer_is_accepted_once() {
    // A write takes effect but its response is lost. If it were simply repeated, its comparison
    // would fail against its own first commit, and the operator would get a conflict although
    // nobody else changed the record.
    let store = start().await;
    let client = connect(&store);
    store.faults(0, |faults| faults.lose_answers = 1);
    let made = write::put(&client, &name(), &share(1), 0, &opts())
        .await
        .unwrap();
    let kv = store.get(&name().key()).unwrap();
    expect_eq!(kv.mod_revision, made.revision);
    expect_eq!(kv.version, 1);
}

#[gtest]
#[tokio::test]
async fn failed_write_is_made_after_the_outage() {
    let store = start().await;
    let client = connect(&store);
    store.set_outage(Some(store::Outage::Refuse));
    let refused = write::put(&client, &name(), &share(1), 0, &opts()).await;
    expect_true!(matches!(refused, Err(write::Error::Store { .. })));
    store.set_outage(None);
    let made = write::put(&client, &name(), &share(1), 0, &opts()).await;
    expect_that!(made, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn random_losses_never_double_or_undo_a_write() {
    // About a third of the responses to writes are lost after the write took effect. Each change
    // must still be accepted and made exactly once, and the accepted revision must be that of the
    // stored version.
    let store = start().await;
    let client = connect(&store);
    store.faults(0, |faults| faults.lose_probability = 0.3);
    let mut expected = 0;
    for step in 1..=40 {
        let done = write::put(&client, &name(), &share(step), expected, &opts()).await;
        expected = done.unwrap().revision;
        let kv = store.get(&name().key()).unwrap();
        expect_eq!(kv.mod_revision, expected);
        expect_eq!(kv.version, i64::from(step));
    }
}

#[gtest]
#[tokio::test]
async fn outage_after_the_write_leaves_it_in_doubt() {
    // The write takes effect, its response is lost, and the store stops answering before the writer
    // can read back. The writer knows neither that it took effect nor that it did not, and must
    // report that it may have.
    let opts = write::Options {
        max_attempts: 2,
        ..opts()
    };
    let store = start().await;
    let client = connect(&store);
    store.faults(0, |faults| faults.lose_answers = 1);
    let name = name();
    let body = share(1);
    let outage = async {
        while store.get(&name.key()).is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        store.set_outage(Some(store::Outage::Refuse));
    };
    let change = write::put(&client, &name, &body, 0, &opts);
    let (done, ()) = tokio::join!(change, outage);
    let err = done.unwrap_err();
    expect_eq!(err.kind().row().ran, fw_base::error::Ran::Maybe);
}

#[gtest]
#[tokio::test]
async fn own_write_is_known_after_someone_replaced_it() {
    // A write takes effect, its response is lost, and another operator replaces the record before
    // the first one reads back. The record no longer carries the first write's nonce; without the
    // history a conflict would be reported, although the write was accepted.
    let opts = store::Options {
        ports: 2,
        ..store::Options::default()
    };
    let store = store::Store::start(opts).await.unwrap();
    let [first, second] = [0, 1].map(|port| {
        fw_store::client::Client::new(fw_store::client::Options {
            endpoints: vec![store.endpoint(port)],
            ..fw_store::client::Options::default()
        })
    });
    let base = write::put(&second, &name(), &share(1), 0, &self::opts())
        .await
        .unwrap();
    let slow = write::Options {
        retry_delay: Duration::from_millis(300),
        ..self::opts()
    };
    let (name, body) = (name(), share(2));
    store.faults(0, |faults| faults.lose_answers = 1);
    let losing = write::put(&first, &name, &body, base.revision, &slow);
    let racing = async {
        while store.revision() == base.revision {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let seen = write::get(&second, &name).await.unwrap();
        write::put(&second, &name, &share(3), seen.revision, &self::opts()).await
    };
    let (lost, replaced) = tokio::join!(losing, racing);
    let replaced = replaced.unwrap();
    let lost = lost.unwrap();
    expect_that!(lost.revision, lt(replaced.revision));
    let history = write::history(&second, &name).await.unwrap();
    expect_true!(
        history
            .iter()
            .any(|version| version.revision == lost.revision)
    );
}

#[gtest]
#[tokio::test]
async fn history_keeps_the_last_versions() {
    let store = start().await;
    let client = connect(&store);
    let mut expected = 0;
    for step in 1..=6 {
        let done = write::put(&client, &name(), &share(step), expected, &opts()).await;
        expected = done.unwrap().revision;
    }
    write::delete(&client, &name(), expected, &opts())
        .await
        .unwrap();
    let history = write::history(&client, &name()).await.unwrap();
    let shares: Vec<_> = history.iter().map(|v| v.record["share"].clone()).collect();
    expect_eq!(shares, vec![4, 5, 6]);
    let gone = write::get(&client, &name()).await;
    expect_true!(matches!(gone, Err(write::Error::NotFound { .. })));
}

#[gtest]
#[tokio::test]
async fn requests_are_answered_by_the_error_table() {
    let store = start().await;
    let client = connect(&store);
    let put = |path, query, body| admin::Request {
        method: "PUT",
        path,
        query,
        body,
    };
    let send = async |req| admin::handle(&client, req, &opts()).await;
    let body = share(1);
    let made = send(put("/team/t", "revision=0", &body)).await;
    expect_eq!(made.status, 200);
    expect_true!(made.body["revision"].is_i64());
    let raced = send(put("/team/t", "revision=0", &body)).await;
    expect_eq!(raced.status, 409);
    expect_eq!(raced.body["theirs"]["record"]["share"], 1);
    expect_eq!(raced.body["error"]["ran"], "no");
    expect_eq!(send(put("/team/t", "", &body)).await.status, 400);
    expect_eq!(send(put("/tribe/t", "revision=0", &body)).await.status, 400);
    expect_eq!(send(put("/team/t", "revision=0", b"{}")).await.status, 400);
    let list = admin::Request {
        method: "GET",
        ..admin::Request::default()
    };
    expect_eq!(send(list).await.body["records"][0]["name"], "t");
}
