//! Pooled connections that the peer has closed.

use std::time::Duration;

use fw_entry::connection::pool::{Failure, Pool};
use fw_wire::peer;
use googletest::prelude::*;
use tokio::net::TcpListener;

/// Calls made until the pool detects the closed connection; after that the test fails.
const MAX_CALLS: usize = 500;

// Guards against a call to a killed keeper that is reported as possibly received although it was not
// sent.
#[gtest]
#[tokio::test]
async fn are_not_used_for_another_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = Pool::<peer::PeerClient>::new(Duration::from_secs(5));
    let use_one = async || pool.call(addr, |_| async { Ok(()) }).await;
    let (used, accepted) = tokio::join!(use_one(), listener.accept());
    expect_that!(used, ok(anything()));
    drop(accepted);
    drop(listener);
    let mut used = Ok(());
    for _ in 0..MAX_CALLS {
        used = use_one().await;
        if used.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(used, err(eq(Failure::Refused)));
}
