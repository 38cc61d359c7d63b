//! Answers, prefix cache and fenced orders of the stand-in engine.

use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_fake::engine;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Options without delays.
pub(crate) fn without_delays() -> engine::Options {
    engine::Options {
        step: Duration::ZERO,
        prefill: Duration::ZERO,
        load_lag: Duration::ZERO,
        cache_lag: Duration::ZERO,
        ..engine::Options::default()
    }
}

pub(crate) fn url(engine: &engine::Engine, path: &str) -> String {
    format!("http://{}{path}", engine.addr())
}

/// Sends one message as `program` and returns the status and body of the answer.
async fn complete(engine: &engine::Engine, program: &str, text: &str) -> (u16, Value) {
    let body = json!({ "model": "m", "messages": [{ "role": "user", "content": text }] });
    let uri = url(engine, "/v1/chat/completions");
    let mut req = fw_http::json_request(axum::http::Method::POST, &uri, &body).unwrap();
    req.headers_mut()
        .insert("x-program", program.parse().unwrap());
    let answer = fw_http::Client::default().call(req).await.unwrap();
    let value = serde_json::from_slice(&answer.body).unwrap_or_default();
    (answer.status.as_u16(), value)
}

async fn post(engine: &engine::Engine, path: &str, body: Value) -> (u16, Value) {
    let answer = fw_http::Client::default()
        .post_json(&url(engine, path), &body)
        .await
        .unwrap();
    let value = serde_json::from_slice(&answer.body).unwrap_or_default();
    (answer.status.as_u16(), value)
}

#[gtest]
#[tokio::test]
async fn an_answer_names_its_prompt() {
    let engine = engine::Engine::spawn(without_delays()).unwrap();
    let (status, answer) = complete(&engine, "p", "hello").await;
    let prompt = [chat::Message::text("user", "hello")];
    let digest = digest::Digest::EMPTY.extend_all(&prompt);
    let text = answer["choices"][0]["message"]["content"].as_str();
    expect_that!(status, eq(200));
    expect_that!(text, some(eq(engine::answer_to(digest, 24).as_str())));
    expect_that!(engine.runs(digest), eq(1));
}

#[gtest]
#[tokio::test]
async fn the_cache_serves_a_prefix_and_evicts_the_oldest() {
    let engine = engine::Engine::spawn(engine::Options {
        cache: 100,
        ..without_delays()
    })
    .unwrap();
    complete(&engine, "a", "hello").await;
    let (_, again) = complete(&engine, "a", "hello").await;
    let details = &again["usage"]["prompt_tokens_details"];
    expect_that!(details["cached_tokens"].as_u64(), some(gt(0)));
    complete(&engine, "b", &"x".repeat(200)).await;
    let cached: Vec<_> = engine.cached().into_keys().collect();
    expect_that!(cached, elements_are![eq("b")]);
}

#[gtest]
#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused() {
    let engine = engine::Engine::spawn(without_delays()).unwrap();
    let order = |fence: i64| json!({ "fence": fence, "order": "load" });
    let (newer, _) = post(&engine, "/orders", order(7)).await;
    let (older, _) = post(&engine, "/orders", order(6)).await;
    expect_that!((newer, older), eq((200, 409)));
}

#[gtest]
#[tokio::test]
async fn an_exported_cache_can_be_imported_elsewhere() {
    let from = engine::Engine::spawn(without_delays()).unwrap();
    let to = engine::Engine::spawn(without_delays()).unwrap();
    complete(&from, "p", "hello").await;
    let (_, exported) = post(&from, "/cache/export", json!({ "program": "p" })).await;
    post(&to, "/cache/import", exported).await;
    expect_that!(to.cached(), eq(&from.cached()));
}

#[gtest]
#[tokio::test]
async fn cache_events_have_the_configured_gaps() {
    let engine = engine::Engine::spawn(engine::Options {
        cache_gap: 2,
        ..without_delays()
    })
    .unwrap();
    for program in ["a", "b", "c"] {
        complete(&engine, program, "hello").await;
    }
    let events = fw_http::Client::default()
        .get(&url(&engine, "/cache/events?from=0"))
        .await
        .unwrap();
    let events: Value = serde_json::from_slice(&events.body).unwrap();
    let seqs = events["events"].as_array().unwrap().iter();
    let seqs: Vec<_> = seqs.map(|event| event["seq"].as_u64().unwrap()).collect();
    expect_that!(seqs, eq(&vec![1, 3]));
}
