//! Pooled connections that something between the two ends has forgotten.

use fw_fake::relay;
use fw_store::kv;
use googletest::prelude::*;

use crate::connect;
use crate::start;

/// Connections that are idle in the pool when they all fall silent.
const IDLE: usize = 8;

#[gtest]
#[tokio::test]
async fn one_timeout_clears_the_pool() {
    // All pooled connections fall silent while idle. Each looks sound, so every call that takes
    // one waits for its timeout: with a pool of any size the store seems down for minutes,
    // although new connections work. One call may find out; the others must not.
    let store = start().await;
    let relay = relay::Relay::start(store.endpoint(0).parse().unwrap())
        .await
        .unwrap();
    let client = connect(vec![relay.addr().to_string()]);
    // Answers that take a while make the calls overlap, each on a connection of its own.
    store.faults(0, |faults| {
        faults.delay = std::time::Duration::from_millis(50)
    });
    let range = kv::Range::one("/a");
    let first_calls = (0..IDLE).map(|_| client.range(&range));
    for read in futures_util::future::join_all(first_calls).await {
        read.unwrap();
    }
    expect_eq!(relay.accepted(), IDLE as u64);
    store.faults(0, |faults| faults.delay = std::time::Duration::ZERO);
    relay.silence();
    for _ in 0..IDLE {
        expect_that!(client.range(&range).await, ok(anything()));
    }
    expect_eq!(relay.swallowed(), 1);
}
