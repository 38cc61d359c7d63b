//! Forwarding of plain calls by the side.

use std::time::Duration;

use axum::http;
use bytes::Bytes;
use fw_fake::plain;
use fw_side::Options;
use fw_side::Side;
use googletest::prelude::*;
use http_body_util::Full;

use crate::rig;

/// A side beside a plain service.
struct PlainRig {
    service: plain::Service,
    side: Side,
    client: fw_http::Client,
}

impl PlainRig {
    async fn new(mut opts: Options) -> Self {
        let service = plain::Service::spawn(plain::Options::default()).unwrap();
        opts.settings.engine.kind = fw_conf::side::Kind::Plain;
        opts.settings.engine.address = service.addr();
        Self {
            service,
            side: Side::spawn(opts).await.unwrap(),
            client: fw_http::Client::default(),
        }
    }

    /// Sends an at-most-once call under `attempt`.
    async fn call_once(&self, attempt: &str, body: &'static str) -> fw_http::Answer {
        let req = http::Request::post(format!("http://{}/publish?page=1", self.side.http()))
            .header("x-fw-attempt", attempt)
            .header("x-fw-once", "1")
            .header("idempotency-key", "k")
            .body(Full::from(Bytes::from_static(body.as_bytes())))
            .unwrap();
        self.client.call(req).await.unwrap()
    }
}

fn ran_header(answer: &fw_http::Answer) -> Option<&str> {
    answer.headers.get("x-fw-ran")?.to_str().ok()
}

fn error_header(answer: &fw_http::Answer) -> Option<&str> {
    answer.headers.get("x-fw-error")?.to_str().ok()
}

#[gtest]
#[tokio::test]
async fn a_call_is_forwarded_unchanged() {
    let rig = PlainRig::new(rig::options()).await;
    let answer = rig.call_once("1f", "page").await;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(&answer.body[..], eq(b"page"));
    expect_that!(error_header(&answer), none());
    let runs = rig.service.runs();
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].path, eq("/publish?page=1"));
}

// The response to a publish call is lost between side and entry, and the entry sends the call again
// with the same attempt id. The page must be published once, and the refusal must not state "not
// run".
#[gtest]
#[tokio::test]
async fn a_duplicate_call_does_not_run() {
    let rig = PlainRig::new(rig::options()).await;
    rig.call_once("1", "page").await;
    let again = rig.call_once("1", "page").await;
    expect_that!(error_header(&again), some(eq("may_have_run")));
    expect_that!(ran_header(&again), some(eq("maybe")));
    expect_that!(rig.service.runs_of("k"), eq(1));
}

// The same, while the first call is still in progress at a slow tool.
#[gtest]
#[tokio::test]
async fn a_concurrent_duplicate_does_not_run() {
    let rig = PlainRig::new(rig::options()).await;
    rig.service.slow(Duration::from_millis(300));
    let meanwhile = async {
        rig::wait_until("the first call runs", || rig.service.runs_of("k") == 1).await;
        rig.call_once("1", "page").await
    };
    let (first, second) = tokio::join!(rig.call_once("1", "page"), meanwhile);
    expect_that!(first.status.as_u16(), eq(200));
    expect_that!(error_header(&second), some(eq("key_in_use")));
    expect_that!(rig.service.runs_of("k"), eq(1));
}

// The tool crashes after it billed a renewal and before it responded. The side cannot tell, and
// must report "maybe"; the same attempt must not be sent again when the tool is back.
#[gtest]
#[tokio::test]
async fn a_crash_after_the_run_is_reported_as_maybe() {
    let rig = PlainRig::new(rig::options()).await;
    rig.service.fault(plain::Fault::CrashAfter);
    let lost = rig.call_once("1", "renewal").await;
    expect_that!(error_header(&lost), some(eq("upstream_crashed")));
    expect_that!(ran_header(&lost), some(eq("maybe")));
    rig.service.fault(plain::Fault::None);
    rig.service.restart().unwrap();
    let core = rig.side.core().clone();
    rig::wait_until("the tool is back", || !core.is_down()).await;
    let again = rig.call_once("1", "renewal").await;
    expect_that!(error_header(&again), some(eq("may_have_run")));
    expect_that!(rig.service.runs_of("k"), eq(1));
}

// The tool is down and no connection is established. "Not run" is correct, and a retry with the
// same attempt id must run.
#[gtest]
#[tokio::test]
async fn a_call_that_was_not_sent_may_come_again() {
    let mut opts = rig::options();
    // No load poll may detect the crash before the call does.
    opts.settings.engine.load_poll = Duration::from_secs(60);
    let rig = PlainRig::new(opts).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    rig.service.crash();
    let refused = rig.call_once("1", "page").await;
    expect_that!(error_header(&refused), some(eq("no_upstream")));
    expect_that!(ran_header(&refused), some(eq("no")));
    rig.service.restart().unwrap();
    let again = rig.call_once("1", "page").await;
    expect_that!(again.status.as_u16(), eq(200));
    expect_that!(rig.service.runs_of("k"), eq(1));
}

// A tool hangs. The call must end at its deadline, and be reported as one that may have run.
#[gtest]
#[tokio::test]
async fn a_hanging_tool_ends_at_the_deadline() {
    let rig = PlainRig::new(rig::options()).await;
    rig.service.fault(plain::Fault::Hang);
    let req = http::Request::get(format!("http://{}/status", rig.side.http()))
        .header("x-fw-deadline-ms", "100")
        .body(Full::default())
        .unwrap();
    let answer = rig.client.call(req).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(504));
    expect_that!(ran_header(&answer), some(eq("maybe")));
}

// Programs fill the engine's queue. Plain calls must still be served.
#[gtest]
#[tokio::test]
async fn programs_take_no_slots_of_plain_calls() {
    let mut opts = rig::options();
    opts.plain_concurrency = 1;
    opts.settings.queue.max_length = 2;
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow_engine(), opts).await;
    for attempt in 1..6 {
        let program = format!("p{attempt}");
        rig.start(&rig::first_turn(&program, attempt, "hello"))
            .await;
    }
    let uri = format!("http://{}/v1/models", rig.side.http());
    let answer = fw_http::Client::default().get(&uri).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(200));
}

// More plain calls arrive than there are slots. The excess call must be refused as not run.
#[gtest]
#[tokio::test]
async fn a_call_over_the_limit_is_refused() {
    let mut opts = rig::options();
    opts.plain_concurrency = 1;
    opts.plain_max_wait = Duration::from_millis(20);
    let rig = PlainRig::new(opts).await;
    rig.service.slow(Duration::from_millis(500));
    let second = async {
        rig::wait_until("the first call runs", || rig.service.runs_of("k") == 1).await;
        rig.call_once("2", "page").await
    };
    let (first, second) = tokio::join!(rig.call_once("1", "page"), second);
    expect_that!(first.status.as_u16(), eq(200));
    expect_that!(error_header(&second), some(eq("overloaded")));
    expect_that!(ran_header(&second), some(eq("no")));
    expect_that!(rig.service.runs_of("k"), eq(1));
}

// A side is asked to stop while a call is in progress. The caller must get the complete response.
#[gtest]
#[tokio::test]
async fn a_stop_cuts_off_no_plain_call() {
    let rig = PlainRig::new(rig::options()).await;
    rig.service.slow(Duration::from_millis(300));
    let PlainRig {
        service,
        side,
        client,
    } = rig;
    let uri = format!("http://{}/publish", side.http());
    let call = tokio::spawn(async move { client.post_json(&uri, &"page").await });
    rig::wait_until("the call runs", || !service.runs().is_empty()).await;
    expect_true!(side.stop().await);
    let answer = call.await.unwrap().unwrap();
    expect_that!(&answer.body[..], eq(b"\"page\""));
}

// A route covers every path, and a caller posts to `/leave`. The call is meant for the service
// behind the side; if the side executed it, any caller could drain the fleet.
#[gtest]
#[tokio::test]
async fn a_forwarded_call_cannot_control_the_side() {
    let rig = PlainRig::new(rig::options()).await;
    let req = http::Request::post(format!("http://{}/leave", rig.side.http()))
        .header("x-fw-attempt", "1")
        .body(Full::default())
        .unwrap();
    let answer = rig.client.call(req).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(200));
    expect_false!(rig.side.core().is_leaving());
    expect_that!(rig.service.runs().len(), eq(1));
}

// A misconfigured route leads to a model engine, and a caller tries to release another program's
// cache there.
#[gtest]
#[tokio::test]
async fn a_plain_call_cannot_control_the_engine() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    let uri = format!("http://{}/cache/release", rig.side.http());
    let body = serde_json::json!({ "program": "p" });
    let answer = fw_http::Client::default()
        .post_json(&uri, &body)
        .await
        .unwrap();
    expect_that!(error_header(&answer), some(eq("unknown_route")));
    expect_that!(rig.engine.cached().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn every_kind_of_error_has_a_counter() {
    let rig = PlainRig::new(rig::options()).await;
    let uri = format!("http://{}/metrics", rig.side.http());
    let answer = rig.client.get(&uri).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    for kind in fw_base::error::Kind::ALL {
        let series = format!(
            "{}{{kind=\"{}\"}}",
            fw_side::errors::COUNTER,
            kind.row().label
        );
        expect_that!(text, contains_substring(series));
    }
}

// Guards against an answer of an upstream in trouble that its caller takes for one.
#[gtest]
#[tokio::test]
async fn a_status_of_no_answer_is_not_forwarded() {
    let rig = PlainRig::new(rig::options()).await;
    for (attempt, status) in [("1f", 600), ("2f", 999)] {
        rig.service.fault(plain::Fault::Status(status));
        let answer = rig.call_once(attempt, "page").await;
        expect_that!(answer.status.as_u16(), eq(502));
        expect_that!(error_header(&answer), some(eq("spoiled_answer")));
        expect_that!(ran_header(&answer), some(eq("maybe")));
    }
}
