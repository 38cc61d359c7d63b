//! Chat completions through entry, side and engine.

use fw_base::error;
use fw_local::caller;
use googletest::prelude::*;
use serde_json::json;

use super::rig;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streamed_and_whole_answers_agree() {
    let system = rig::system().await;
    let streamed = rig::chat(system.callers(0), &rig::request("hello")).await;
    let whole = caller::Chat {
        stream: false,
        ..rig::request("hello")
    };
    let whole = rig::chat(system.callers(1), &whole).await;
    expect_true!(streamed.is_ok());
    expect_true!(whole.is_ok());
    expect_that!(streamed.text, not(eq("")));
    expect_that!(streamed.text, eq(&whole.text));
    expect_that!(streamed.completion, eq(12));
    expect_true!(streamed.program.is_some());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_program_continues_at_any_entry() {
    let system = rig::system().await;
    let mut history = vec![rig::user("first")];
    for turn in 1..=3_usize {
        let chat = caller::Chat {
            messages: history.clone(),
            headers: vec![("x-program", "p-1".to_owned())],
            ..rig::request("")
        };
        let answer = rig::chat(system.callers(turn % 2), &chat).await;
        expect_true!(answer.is_ok());
        expect_that!(answer.turn, some(eq(u32::try_from(turn).unwrap())));
        history.push(answer.message());
        history.push(rig::user(&format!("turn {turn}")));
    }
    let path = "/v1/programs/p-1";
    let caller = caller::Caller::new();
    let state = caller
        .plain(system.callers(0), "GET", path, &[], "".into())
        .await;
    expect_that!(state.body["turn"], eq(&json!(3)));
    expect_that!(state.body["status"], eq(&json!("idle")));
    expect_that!(state.body["history"].as_array().map(Vec::len), some(eq(6)));
}

// An answer is lost on the way, so the client library sends the same turn again to another entry.
// It must get the same answer, and the engine must not run the turn twice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_turn_is_replayed() {
    let system = rig::system().await;
    let chat = caller::Chat {
        headers: vec![("x-program", "p-2".to_owned())],
        ..rig::request("once")
    };
    let first = rig::chat(system.callers(0), &chat).await;
    let again = rig::chat(system.callers(1), &chat).await;
    expect_true!(first.is_ok() && again.is_ok());
    expect_that!(again.text, eq(&first.text));
    let finished: u32 = system
        .engines
        .iter()
        .map(|w| w.upstream.counts().finished)
        .sum();
    expect_that!(finished, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusals_state_kind_status_and_ran() {
    let system = rig::system().await;
    let first = caller::Chat {
        headers: vec![("x-program", "p-3".into())],
        ..rig::request("x")
    };
    expect_true!(rig::chat(system.callers(0), &first).await.is_ok());
    let cases = [
        (
            caller::Chat {
                model: "none".into(),
                ..rig::request("x")
            },
            error::Kind::UnknownModel,
        ),
        (
            caller::Chat {
                messages: vec![],
                ..rig::request("x")
            },
            error::Kind::BadRequest,
        ),
        (
            caller::Chat {
                headers: vec![("x-program", "p-3".into()), ("x-turn", "7".into())],
                ..rig::request("x")
            },
            error::Kind::WrongTurn,
        ),
        (
            caller::Chat {
                headers: vec![("x-program", "never".into()), ("x-turn", "7".into())],
                ..rig::request("x")
            },
            error::Kind::UnknownProgram,
        ),
        (
            caller::Chat {
                headers: vec![("x-turn", "zero".into())],
                ..rig::request("x")
            },
            error::Kind::BadRequest,
        ),
    ];
    for (chat, kind) in cases {
        let answer = rig::chat(system.callers(0), &chat).await;
        expect_that!(answer.kind, some(eq(kind)));
        expect_that!(answer.status, eq(kind.row().status));
        expect_that!(answer.ran, some(eq(error::Ran::No)));
    }
}

// Two independent callers use the same program name, and the second one's history does not continue
// the first one's. It must be refused, not merged.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_history_is_refused() {
    let system = rig::system().await;
    let chat = |text: &str| caller::Chat {
        headers: vec![("x-program", "p-4".to_owned())],
        ..rig::request(text)
    };
    expect_true!(rig::chat(system.callers(0), &chat("mine")).await.is_ok());
    let other = caller::Chat {
        messages: vec![
            rig::user("theirs"),
            json!({"role":"assistant","content":"no"}),
            rig::user("more"),
        ],
        ..chat("")
    };
    let answer = rig::chat(system.callers(0), &other).await;
    expect_that!(answer.kind, some(eq(error::Kind::HistoryMismatch)));
}
