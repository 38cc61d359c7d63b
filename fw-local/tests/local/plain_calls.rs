//! Plain requests.

use fw_base::error;
use fw_fake::plain;
use fw_local::caller;
use googletest::prelude::*;

use super::rig;

fn key(key: &str) -> Vec<(&'static str, String)> {
    vec![("idempotency-key", key.to_owned())]
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn reads_pass_and_writes_need_a_key() {
    let system = rig::system().await;
    let caller = caller::Caller::new();
    let read = caller
        .plain(system.callers(0), "GET", "/case/7", &[], "".into())
        .await;
    expect_that!(read.status, eq(200));
    let bare = caller
        .plain(system.callers(0), "POST", "/publish", &[], "{}".into())
        .await;
    expect_that!(bare.kind, some(eq(error::Kind::MissingKey)));
    expect_that!(system.tools[0].upstream.runs().len(), eq(1));
}

// The answer to a publish request is lost, so the caller sends it again through another entry. The
// page must not be published twice, and the caller must get the first answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_runs_once() {
    let system = rig::system().await;
    let caller = caller::Caller::new();
    let mut texts = Vec::new();
    for n in 0..4 {
        let addr = system.callers(n % 2);
        let answer = caller
            .plain(addr, "POST", "/publish", &key("page-1"), "{}".into())
            .await;
        expect_that!(answer.status, eq(200));
        texts.push(answer.text);
    }
    texts.dedup();
    expect_that!(texts.len(), eq(1));
    expect_that!(system.tools[0].upstream.runs_of("page-1"), eq(1));
    let reused = key("page-1");
    let other = caller.plain(system.callers(0), "POST", "/publish", &reused, "[]".into());
    expect_that!(other.await.kind, some(eq(error::Kind::KeyReused)));
}

// The service crashes after it ran a billing request and before it answered, so the entry cannot
// determine whether it ran. The caller must get "maybe", and a repeat must not run it again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_unknown_outcome_never_runs_again() {
    let system = rig::system().await;
    let caller = caller::Caller::new();
    let tool = &system.tools[0].upstream;
    tool.fault(plain::Fault::CrashAfter);
    let first = caller
        .plain(
            system.callers(0),
            "POST",
            "/bill",
            &key("bill-1"),
            "{}".into(),
        )
        .await;
    expect_that!(first.ran, some(eq(error::Ran::Maybe)));
    tool.fault(plain::Fault::None);
    tool.restart().unwrap();
    for n in 0..3 {
        let addr = system.callers(n % 2);
        let again = caller
            .plain(addr, "POST", "/bill", &key("bill-1"), "{}".into())
            .await;
        expect_that!(again.kind, some(eq(error::Kind::MayHaveRun)));
        expect_that!(again.ran, some(eq(error::Ran::Maybe)));
    }
    expect_that!(tool.runs_of("bill-1"), eq(1));
}

// The engines make no progress and programs queue up for them. Case-status lookups do not use the
// engines and must still be answered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_do_not_delay_lookups() {
    let system = rig::system().await;
    for worker in &system.engines {
        worker.upstream.freeze(true);
    }
    let addr = system.callers(0);
    let stuck: Vec<_> = (0..40)
        .map(|n| {
            let chat = caller::Chat {
                headers: vec![("x-program", format!("stuck-{n}"))],
                ..rig::request("stuck")
            };
            tokio::spawn(async move { rig::chat(addr, &chat).await })
        })
        .collect();
    let caller = caller::Caller::new();
    for _ in 0..50 {
        let read = caller.plain(addr, "GET", "/case/7", &[], "".into()).await;
        expect_that!(read.status, eq(200));
    }
    stuck.iter().for_each(tokio::task::JoinHandle::abort);
}

// The only upstream of a lookup crashes while running it, and the retry finds no upstream. The
// error must state that the call may have run: "not run" would lead an operator to look for the
// cause elsewhere.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_ran_is_not_reported_as_not_run() {
    let system = rig::system().await;
    let caller = caller::Caller::new();
    system.tools[0].upstream.fault(plain::Fault::CrashAfter);
    let answer = caller
        .plain(system.callers(0), "GET", "/case/7", &[], "".into())
        .await;
    expect_that!(answer.ran, some(eq(error::Ran::Maybe)));
}
