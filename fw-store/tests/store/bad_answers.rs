//! What the client makes of endpoints that fail or answer garbage.

use fw_store::kv;
use googletest::prelude::*;

use crate::connect;

#[gtest]
#[tokio::test]
async fn nothing_applied_when_no_endpoint_listens() {
    // A port that was free a moment ago.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = connect(vec![addr.to_string()]);
    let txn = kv::Txn {
        then: vec![kv::Op::put("/a", "1")],
        ..kv::Txn::default()
    };
    let err = client.txn(&txn).await.unwrap_err();
    expect_false!(err.may_have_applied());
}
