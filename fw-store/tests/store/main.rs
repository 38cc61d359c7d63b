//! Tests of the store client.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bad_answers;
mod lease_life;
mod lost_answers;
mod read_write;
mod silent_connections;
mod watch_events;

use std::time::Duration;

use fw_fake::store;
use fw_store::client;

/// Timeout of one try: long for a call over loopback, short for a test.
const TIMEOUT: Duration = Duration::from_millis(300);

async fn start() -> store::Store {
    store::Store::start(store::Options::default())
        .await
        .unwrap()
}

fn connect(endpoints: Vec<String>) -> client::Client {
    client::Client::new(client::Options {
        endpoints,
        timeout: TIMEOUT,
        watch_idle_timeout: Duration::from_millis(600),
        watch_backoff: Duration::from_millis(20),
    })
}
