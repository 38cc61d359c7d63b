//! Endpoints that fail or answer with invalid bodies.

use std::sync::Arc;
use std::sync::Mutex;

use axum::Router;
use axum::extract::State;
use fw_store::client;
use fw_store::error::Error;
use fw_store::kv;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner;
use serde_json::Value;
use serde_json::json;

use crate::connect;

/// Number of generated answers per property test; each is a call over a socket.
const CASES: u32 = 200;

/// Seed of the generated answers.
const SEED: u64 = 1;

fn write() -> kv::Txn {
    kv::Txn {
        then: vec![kv::Op::put("/a", "1")],
        ..kv::Txn::default()
    }
}

#[gtest]
#[tokio::test]
async fn nothing_applied_when_no_endpoint_listens() {
    // A port on which nothing listens any more.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = connect(vec![addr.to_string()]);
    let err = client.txn(&write()).await.unwrap_err();
    expect_false!(err.may_have_applied());
}

/// An endpoint that answers every call with the same body.
#[derive(Clone, Default)]
struct FixedEndpoint {
    body: Arc<Mutex<Vec<u8>>>,
}

impl FixedEndpoint {
    async fn start(&self) -> client::Client {
        let answer =
            |State(endpoint): State<Self>| async move { endpoint.body.lock().unwrap().clone() };
        let app = Router::new().fallback(answer).with_state(self.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        tokio::spawn(async move { axum::serve(listener, app).await });
        connect(vec![addr])
    }

    fn set_body(&self, body: impl Into<Vec<u8>>) {
        *self.body.lock().unwrap() = body.into();
    }
}

#[gtest]
#[tokio::test]
async fn empty_object_is_no_answer() {
    // A proxy answers every call with `{}`. As the gateway omits zero values, this would decode as an
    // empty store: records would disappear, and a writer would treat its write as rejected although it
    // may have been applied.
    let endpoint = FixedEndpoint::default();
    let client = endpoint.start().await;
    endpoint.set_body("{}");
    let read = client.range(&kv::Range::prefix("/")).await;
    expect_true!(matches!(read, Err(Error::Malformed { .. })));
    let written = client.txn(&write()).await.unwrap_err();
    expect_true!(written.may_have_applied());
    let granted = client.grant(std::time::Duration::from_secs(1)).await;
    expect_true!(matches!(granted, Err(Error::Malformed { .. })));
    endpoint.set_body(r#"{"result": {}}"#);
    let renewed = client.keep_alive(7).await;
    expect_true!(matches!(renewed, Err(Error::Malformed { .. })));
}

/// JSON of any shape, biased towards the gateway's names and formats.
fn any_answer() -> impl Strategy<Value = Value> + Clone {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<i64>().prop_map(|n| n.to_string().into()),
        "[A-Za-z0-9+/=]{0,12}".prop_map(Value::from),
        Just(json!({"revision": "5"})),
        Just(json!("L2E=")),
    ];
    let names = prop::sample::select(vec![
        "header",
        "revision",
        "kvs",
        "key",
        "value",
        "create_revision",
        "mod_revision",
        "version",
        "lease",
        "more",
        "succeeded",
        "responses",
        "response_put",
        "response_range",
        "ID",
        "TTL",
        "response_delete_range",
        "deleted",
        "result",
        "error",
        "code",
        "message",
        "created",
        "canceled",
        "compact_revision",
        "events",
        "type",
        "kv",
    ]);
    leaf.prop_recursive(5, 48, 6, move |inner| {
        let map = prop::collection::hash_map(names.clone(), inner.clone(), 0..6);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Value::from),
            map.prop_map(|map| {
                let map = map
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value));
                Value::Object(map.collect())
            }),
        ]
    })
}

/// Arbitrary bodies, and bodies that resemble the gateway's answers.
fn any_body() -> impl Strategy<Value = Vec<u8>> {
    let with_header = any_answer().prop_map(|mut answer| {
        if let Value::Object(map) = &mut answer {
            map.insert("header".into(), json!({"revision": "5"}));
        }
        answer
    });
    let wrapped = with_header
        .clone()
        .prop_map(|result| json!({ "result": result }));
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        any_answer().prop_map(|answer| answer.to_string().into_bytes()),
        with_header.prop_map(|answer| answer.to_string().into_bytes()),
        wrapped.prop_map(|answer| format!("{answer}\n").into_bytes()),
    ]
}

/// Runs `check` with [`CASES`] generated bodies.
fn for_all_bodies(check: impl AsyncFn(&FixedEndpoint, &client::Client) -> bool) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let endpoint = FixedEndpoint::default();
    let client = runtime.block_on(endpoint.start());
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let result = runner.run(&any_body(), |body| {
        endpoint.set_body(body);
        prop_assert!(runtime.block_on(check(&endpoint, &client)));
        Ok(())
    });
    result.unwrap();
}

#[gtest]
fn any_body_reads_as_an_answer_or_an_error() {
    for_all_bodies(
        async |_, client| match client.range(&kv::Range::one("/a")).await {
            Ok(found) => found.revision > 0,
            Err(err) => matches!(err, Error::Malformed { .. }),
        },
    );
}

#[gtest]
fn any_body_leaves_a_write_answered_or_in_doubt() {
    for_all_bodies(async |_, client| match client.txn(&write()).await {
        Ok(done) => done.revision > 0,
        Err(err) => err.may_have_applied(),
    });
}

#[gtest]
fn any_body_ends_a_watch_or_moves_it_on() {
    for_all_bodies(async |_, client| {
        let mut watch = client.watch("/a", 3);
        match watch.next().await {
            Ok(batch) => batch.revision > 0,
            Err(err) => !err.to_string().is_empty(),
        }
    });
}
