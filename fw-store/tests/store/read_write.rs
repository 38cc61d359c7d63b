//! Ranges and transactions.

use fw_store::kv;
use googletest::prelude::*;

use crate::connect;
use crate::start;

#[gtest]
#[tokio::test]
async fn transaction_compares_and_reads_back() {
    let store = start().await;
    let client = connect(store.endpoints());
    let txn = kv::Txn {
        compares: vec![kv::Compare::CreateRevision("/a/1".into(), 0)],
        then: vec![kv::Op::put("/a/1", "one"), kv::Op::put("/a/2", "two")],
        otherwise: vec![kv::Op::get("/a/1")],
    };
    let first = client.txn(&txn).await.unwrap();
    expect_true!(first.succeeded);
    expect_eq!(first.responses, vec![kv::Reply::Put, kv::Reply::Put]);

    let second = client.txn(&txn).await.unwrap();
    expect_false!(second.succeeded);
    let kvs = second.into_kvs();
    expect_eq!(kvs[0].value, b"one");
    expect_eq!(kvs[0].mod_revision, first.revision);
}

#[gtest]
#[tokio::test]
async fn prefix_excludes_its_neighbours() {
    let store = start().await;
    for key in ["/a", "/a/1", "/a/2", "/a0", "/b"] {
        store.put(key, "x");
    }
    let client = connect(store.endpoints());
    let found = client.range(&kv::Range::prefix("/a/")).await.unwrap();
    let keys: Vec<_> = found.kvs.iter().map(|kv| kv.key.as_str()).collect();
    expect_eq!(keys, vec!["/a/1", "/a/2"]);
    let all = client.range(&kv::Range::prefix("")).await.unwrap();
    expect_that!(all.kvs, len(eq(5)));
}

#[gtest]
#[tokio::test]
async fn limit_reports_that_there_is_more() {
    let store = start().await;
    store.put("/a/1", "x");
    store.put("/a/2", "x");
    let client = connect(store.endpoints());
    let range = kv::Range {
        limit: 1,
        ..kv::Range::prefix("/a/")
    };
    let found = client.range(&range).await.unwrap();
    expect_that!(found.kvs, len(eq(1)));
    expect_true!(found.more);
}

#[gtest]
#[tokio::test]
async fn refused_write_is_known_not_to_have_applied() {
    let store = start().await;
    let client = connect(store.endpoints());
    let txn = kv::Txn {
        then: vec![kv::Op::put("/a", vec![0; 2 << 20])],
        ..kv::Txn::default()
    };
    let err = client.txn(&txn).await.unwrap_err();
    expect_false!(err.may_have_applied());
    expect_that!(err.to_string(), contains_substring("too large"));
}
