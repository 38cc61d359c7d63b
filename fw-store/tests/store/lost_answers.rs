//! Outages, lost answers and failures of single endpoints.

use fw_fake::store;
use fw_store::kv;
use googletest::prelude::*;

use crate::connect;
use crate::start;

fn write() -> kv::Txn {
    kv::Txn {
        then: vec![kv::Op::put("/a", "1")],
        ..kv::Txn::default()
    }
}

#[gtest]
#[tokio::test]
async fn write_is_not_repeated_after_a_lost_answer() {
    // The store applies a write, then the answer is lost. A client that retried by itself would write
    // twice, which its caller could neither detect nor undo. The call must fail as "may have applied".
    let store = start().await;
    let client = connect(store.endpoints());
    store.faults(0, |faults| faults.lose_answers = 1);
    let err = client.txn(&write()).await.unwrap_err();
    expect_true!(err.may_have_applied());
    expect_eq!(store.get("/a").unwrap().version, 1);
    expect_eq!(store.counts().writes, 1);
}

#[gtest]
#[tokio::test]
async fn outage_leaves_a_write_in_doubt() {
    let store = start().await;
    let client = connect(store.endpoints());
    for outage in [store::Outage::Refuse, store::Outage::Hang] {
        store.set_outage(Some(outage));
        let err = client.txn(&write()).await.unwrap_err();
        expect_true!(err.may_have_applied());
        expect_eq!(err.kind(), fw_base::error::Kind::StoreUnavailable);
    }
    store.set_outage(None);
    expect_true!(store.get("/a").is_none());
    expect_that!(client.txn(&write()).await, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn read_goes_on_to_the_next_endpoint() {
    // One of two endpoints hangs. Reads must not fail meanwhile, and not every read may wait for the
    // time-out: after the first, the client stays with the endpoint that answers.
    let opts = store::Options {
        ports: 2,
        ..store::Options::default()
    };
    let store = store::Store::start(opts).await.unwrap();
    store.put("/a", "1");
    store.faults(0, |faults| faults.outage = Some(store::Outage::Hang));
    let client = connect(store.endpoints());
    for _ in 0..3 {
        let found = client.range(&kv::Range::one("/a")).await.unwrap();
        expect_that!(found.kvs, len(eq(1)));
    }
    // Three reads that succeeded and one that hung.
    expect_eq!(store.counts().reads, 4);
}
