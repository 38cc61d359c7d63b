//! Grant, renewal, lapse and revocation of leases.

use std::time::Duration;

use fw_store::error::Error;
use fw_store::kv;
use googletest::prelude::*;

use crate::connect;
use crate::start;

#[gtest]
#[tokio::test]
async fn lapsed_lease_is_gone_with_its_keys() {
    let store = start().await;
    let client = connect(store.endpoints());
    let lease = client.grant(Duration::from_millis(1500)).await.unwrap();
    expect_eq!(lease.ttl, Duration::from_secs(2));
    let put = kv::Op::Put {
        key: "/a".into(),
        value: b"1".to_vec(),
        lease: lease.id,
    };
    let txn = kv::Txn {
        then: vec![put],
        ..kv::Txn::default()
    };
    client.txn(&txn).await.unwrap();
    client.keep_alive(lease.id).await.unwrap();
    store.expire_lease(lease.id);
    let renewed = client.keep_alive(lease.id).await;
    expect_true!(matches!(renewed, Err(Error::LeaseGone { id }) if id == lease.id));
    expect_true!(store.get("/a").is_none());
}

#[gtest]
#[tokio::test]
async fn revoked_lease_ends_once() {
    let store = start().await;
    let client = connect(store.endpoints());
    let lease = client.grant(Duration::from_secs(9)).await.unwrap();
    client.revoke(lease.id).await.unwrap();
    let again = client.revoke(lease.id).await;
    expect_true!(matches!(again, Err(Error::LeaseGone { .. })));
}

#[gtest]
#[tokio::test]
async fn renewal_survives_a_lost_answer() {
    // A holder whose renewal took effect but whose answer was lost would give up work that it still
    // holds. Renewal is idempotent, so the client retries at once.
    let store = start().await;
    let client = connect(store.endpoints());
    let lease = client.grant(Duration::from_secs(9)).await.unwrap();
    store.faults(0, |faults| faults.lose_lease_answers = 1);
    expect_that!(client.keep_alive(lease.id).await, ok(anything()));
}
