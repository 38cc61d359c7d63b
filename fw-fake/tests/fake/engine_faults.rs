//! Fault injection of the stand-in engine.

use fw_base::chat;
use fw_base::digest;
use fw_fake::engine;
use googletest::prelude::*;
use http_body_util::BodyExt;
use serde_json::json;

use crate::engine_stream::url;
use crate::engine_stream::without_delays;

/// A streaming request with the request id `id`.
fn request(
    engine: &engine::Engine,
    id: &str,
    text: &str,
) -> axum::http::Request<http_body_util::Full<bytes::Bytes>> {
    let messages = json!([{ "role": "user", "content": text }]);
    let body = json!({ "model": "m", "stream": true, "messages": messages });
    let uri = url(engine, "/v1/chat/completions");
    let mut req = fw_http::json_request(axum::http::Method::POST, &uri, &body).unwrap();
    req.headers_mut()
        .insert("x-request-id", id.parse().unwrap());
    req
}

#[gtest]
#[tokio::test]
async fn a_crash_breaks_streams_and_refuses_connections() {
    let engine = engine::Engine::spawn(engine::Options {
        answer: 10_000,
        ..engine::Options::default()
    })
    .unwrap();
    let client = fw_http::Client::default();
    let answer = client.stream(request(&engine, "r", "hello")).await.unwrap();
    engine.crash();
    let body = answer.into_body().collect().await;
    expect_true!(body.is_err());
    let refused = client.stream(request(&engine, "s", "hello")).await;
    expect_true!(refused.is_err_and(|err| err.is_unsent()));
    engine.restart().unwrap();
    let again = client.stream(request(&engine, "t", "hello")).await;
    expect_true!(again.is_ok());
}

#[gtest]
#[tokio::test]
async fn poison_crashes_the_engine() {
    let engine = engine::Engine::spawn(without_delays()).unwrap();
    engine.poison(Some("venom"));
    let client = fw_http::Client::default();
    let healthy = client.call(request(&engine, "r", "hello")).await;
    expect_true!(healthy.is_ok());
    let poisoned = client.call(request(&engine, "s", "venom")).await;
    expect_true!(poisoned.is_err_and(|err| !err.is_unsent()));
}

#[gtest]
#[tokio::test]
async fn a_stalled_stream_can_be_resumed_completely() {
    let engine = engine::Engine::spawn(engine::Options::default()).unwrap();
    let client = fw_http::Client::default();
    let _stalled = client.stream(request(&engine, "r", "hello")).await.unwrap();
    engine.stall_streams();
    let uri = url(&engine, "/streams/r?offset=0");
    let resumed = client.get(&uri).await.unwrap();
    let text = String::from_utf8(resumed.body.to_vec()).unwrap();
    expect_that!(text, ends_with("data: [DONE]\n\n"));
    let prompt = [chat::Message::text("user", "hello")];
    expect_that!(
        engine.runs(digest::Digest::EMPTY.extend_all(&prompt)),
        eq(1)
    );
}
