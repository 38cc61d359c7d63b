//! Pooled connections whose state a middlebox has dropped.

use fw_fake::relay;
use fw_store::kv;
use googletest::prelude::*;

use crate::connect;
use crate::start;

/// Number of idle connections in the pool when all of them stop delivering data.
const IDLE: usize = 8;

#[gtest]
#[tokio::test]
async fn one_timeout_clears_the_pool() {
    // All pooled connections die while idle. Each still looks healthy, so every call over one of them
    // waits for its time-out, and the store seems unavailable for minutes although new connections work.
    // Only one call may pay its time-out.
    let store = start().await;
    let relay = relay::Relay::start(store.endpoint(0).parse().unwrap())
        .await
        .unwrap();
    let client = connect(vec![relay.addr().to_string()]);
    // Delayed answers make the calls overlap, so that each uses its own connection.
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
    relay.blackhole();
    for _ in 0..IDLE {
        expect_that!(client.range(&range).await, ok(anything()));
    }
    expect_eq!(relay.blackholed_with_data(), 1);
}
