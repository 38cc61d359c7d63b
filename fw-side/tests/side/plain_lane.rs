//! Plain calls through the side.

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
struct Lane {
    service: plain::Service,
    side: Side,
    client: fw_http::Client,
}

impl Lane {
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
    async fn once(&self, attempt: &str, body: &'static str) -> fw_http::Answer {
        let req = http::Request::post(format!("http://{}/publish?page=1", self.side.http()))
            .header("x-fw-attempt", attempt)
            .header("x-fw-once", "1")
            .header("idempotency-key", "k")
            .body(Full::from(Bytes::from_static(body.as_bytes())))
            .unwrap();
        self.client.call(req).await.unwrap()
    }
}

fn ran(answer: &fw_http::Answer) -> Option<&str> {
    answer.headers.get("x-fw-ran")?.to_str().ok()
}

fn error(answer: &fw_http::Answer) -> Option<&str> {
    answer.headers.get("x-fw-error")?.to_str().ok()
}

#[gtest]
#[tokio::test]
async fn a_call_is_passed_on_as_it_is() {
    let lane = Lane::new(rig::options()).await;
    let answer = lane.once("1f", "page").await;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(&answer.body[..], eq(b"page"));
    expect_that!(error(&answer), none());
    let runs = lane.service.runs();
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].path, eq("/publish?page=1"));
}

// The answer to a publish call is lost between side and entry, and the entry sends it again under
// the same attempt. The page must be published once, and the refusal must not claim "not run".
#[gtest]
#[tokio::test]
async fn a_second_arrival_does_not_run() {
    let lane = Lane::new(rig::options()).await;
    lane.once("1", "page").await;
    let again = lane.once("1", "page").await;
    expect_that!(error(&again), some(eq("may_have_run")));
    expect_that!(ran(&again), some(eq("maybe")));
    expect_that!(lane.service.runs_of("k"), eq(1));
}

// The same, while the first call is still under way at a slow tool.
#[gtest]
#[tokio::test]
async fn a_second_arrival_meanwhile_does_not_run() {
    let lane = Lane::new(rig::options()).await;
    lane.service.slow(Duration::from_millis(300));
    let meanwhile = async {
        rig::until("the first call runs", || lane.service.runs_of("k") == 1).await;
        lane.once("1", "page").await
    };
    let (first, second) = tokio::join!(lane.once("1", "page"), meanwhile);
    expect_that!(first.status.as_u16(), eq(200));
    expect_that!(error(&second), some(eq("key_in_use")));
    expect_that!(lane.service.runs_of("k"), eq(1));
}

// The tool crashes after it billed a renewal and before it answered. The side cannot know, and
// must say "maybe"; the same attempt must not be sent again when the tool is back.
#[gtest]
#[tokio::test]
async fn a_crash_after_the_run_is_told_as_maybe() {
    let lane = Lane::new(rig::options()).await;
    lane.service.fault(plain::Fault::CrashAfter);
    let lost = lane.once("1", "renewal").await;
    expect_that!(error(&lost), some(eq("upstream_crashed")));
    expect_that!(ran(&lost), some(eq("maybe")));
    lane.service.fault(plain::Fault::None);
    lane.service.restart().unwrap();
    let core = lane.side.core().clone();
    rig::until("the tool is back", || !core.is_down()).await;
    let again = lane.once("1", "renewal").await;
    expect_that!(error(&again), some(eq("may_have_run")));
    expect_that!(lane.service.runs_of("k"), eq(1));
}

// The tool is down and no connection is made. "Not run" is true, and the same attempt may come
// again and run.
#[gtest]
#[tokio::test]
async fn a_call_that_was_not_sent_may_come_again() {
    let mut opts = rig::options();
    // The side must find out by the call itself.
    opts.settings.engine.load_poll = Duration::from_secs(60);
    let lane = Lane::new(opts).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    lane.service.crash();
    let refused = lane.once("1", "page").await;
    expect_that!(error(&refused), some(eq("no_upstream")));
    expect_that!(ran(&refused), some(eq("no")));
    lane.service.restart().unwrap();
    let again = lane.once("1", "page").await;
    expect_that!(again.status.as_u16(), eq(200));
    expect_that!(lane.service.runs_of("k"), eq(1));
}

// A tool hangs. The call ends at its deadline, and is told as one that may have run.
#[gtest]
#[tokio::test]
async fn a_hanging_tool_ends_at_the_deadline() {
    let lane = Lane::new(rig::options()).await;
    lane.service.fault(plain::Fault::Hang);
    let req = http::Request::get(format!("http://{}/status", lane.side.http()))
        .header("x-fw-deadline-ms", "100")
        .body(Full::default())
        .unwrap();
    let answer = lane.client.call(req).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(504));
    expect_that!(ran(&answer), some(eq("maybe")));
}

// Programs fill the queue of the engine. Plain calls beside them must be answered all the same.
#[gtest]
#[tokio::test]
async fn programs_take_no_place_of_plain_calls() {
    let mut opts = rig::options();
    opts.plain_concurrency = 1;
    opts.settings.queue.max_length = 2;
    opts.settings.queue.window = Some(1);
    let rig = rig::Rig::with(rig::slow(), opts).await;
    for attempt in 1..6 {
        let program = format!("p{attempt}");
        rig.start(&rig::first_turn(&program, attempt, "hello"))
            .await;
    }
    let uri = format!("http://{}/v1/models", rig.side.http());
    let answer = fw_http::Client::default().get(&uri).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(200));
}

// More plain calls come than there are places. The one too many is refused as not run.
#[gtest]
#[tokio::test]
async fn a_call_too_many_is_refused() {
    let mut opts = rig::options();
    opts.plain_concurrency = 1;
    opts.plain_wait = Duration::from_millis(20);
    let lane = Lane::new(opts).await;
    lane.service.slow(Duration::from_millis(500));
    let second = async {
        rig::until("the first call runs", || lane.service.runs_of("k") == 1).await;
        lane.once("2", "page").await
    };
    let (first, second) = tokio::join!(lane.once("1", "page"), second);
    expect_that!(first.status.as_u16(), eq(200));
    expect_that!(error(&second), some(eq("overloaded")));
    expect_that!(ran(&second), some(eq("no")));
    expect_that!(lane.service.runs_of("k"), eq(1));
}

// A side is told to stop while a call is under way. The caller must get its whole answer.
#[gtest]
#[tokio::test]
async fn a_stop_cuts_off_no_plain_call() {
    let lane = Lane::new(rig::options()).await;
    lane.service.slow(Duration::from_millis(300));
    let Lane {
        service,
        side,
        client,
    } = lane;
    let uri = format!("http://{}/publish", side.http());
    let call = tokio::spawn(async move { client.post_json(&uri, &"page").await });
    rig::until("the call runs", || !service.runs().is_empty()).await;
    expect_true!(side.stop().await);
    let answer = call.await.unwrap().unwrap();
    expect_that!(&answer.body[..], eq(b"\"page\""));
}

// A route covers every path, and a caller posts to `/leave`. The call belongs to the service behind
// the side; taken as an order to the side, any caller could empty the fleet.
#[gtest]
#[tokio::test]
async fn a_forwarded_call_cannot_order_the_side() {
    let lane = Lane::new(rig::options()).await;
    let req = http::Request::post(format!("http://{}/leave", lane.side.http()))
        .header("x-fw-attempt", "1")
        .body(Full::default())
        .unwrap();
    let answer = lane.client.call(req).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(200));
    expect_false!(lane.side.core().is_leaving());
    expect_that!(lane.service.runs().len(), eq(1));
}

// A route by mistake leads to a model engine, and a caller frees another program's memory there.
#[gtest]
#[tokio::test]
async fn a_plain_call_cannot_order_the_engine() {
    let rig = rig::Rig::new(rig::quick()).await;
    rig.turn(&rig::first_turn("p", 1, "hello")).await;
    let uri = format!("http://{}/cache/release", rig.side.http());
    let body = serde_json::json!({ "program": "p" });
    let answer = fw_http::Client::default()
        .post_json(&uri, &body)
        .await
        .unwrap();
    expect_that!(error(&answer), some(eq("unknown_route")));
    expect_that!(rig.engine.cached().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn every_kind_of_error_has_a_counter() {
    let lane = Lane::new(rig::options()).await;
    let uri = format!("http://{}/metrics", lane.side.http());
    let answer = lane.client.get(&uri).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    for kind in fw_base::error::Kind::ALL {
        let series = format!(
            "{}{{kind=\"{}\"}}",
            fw_side::refuse::ERRORS,
            kind.row().label
        );
        expect_that!(text, contains_substring(series));
    }
}
