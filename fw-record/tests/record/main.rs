//! Tests of records, record sets and changes of records.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bad_input;
mod load_follow;
mod lost_writes;
mod old_new;
mod set_lookup;

use std::time::Duration;

use fw_fake::store;
use fw_record::document;
use fw_record::key;
use fw_store::client;
use serde_json::Value;

fn doc(kind: key::Kind, name: &str, json: &Value) -> document::Document {
    let text = json.to_string();
    document::Document::from_operator(key::Name::new(kind, name), text.as_bytes()).unwrap()
}

async fn start() -> store::Store {
    store::Store::start(store::Options::default())
        .await
        .unwrap()
}

fn connect(store: &store::Store) -> client::Client {
    client::Client::new(client::Options {
        endpoints: store.endpoints(),
        timeout: Duration::from_millis(300),
        watch_idle_timeout: Duration::from_secs(1),
        watch_backoff: Duration::from_millis(20),
    })
}
