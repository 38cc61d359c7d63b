//! Turns from start to complete answer, including follow-up turns of a program.

use std::sync::Arc;
use std::time::Instant;

use fw_base::digest;
use fw_base::error;
use fw_fake::engine;
use fw_side::process::attempts;
use fw_side::process::histories;
use fw_wire::attempt;
use fw_wire::side;
use fw_wire::transport;
use googletest::prelude::*;

use crate::rig;

#[gtest]
#[tokio::test]
async fn an_answer_is_streamed_completely() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let start = rig::first_turn("p", 1, "hello");
    assert!(matches!(
        rig.start(&start).await,
        side::StartReply::Accepted
    ));
    let reply = rig.read_all(1).await;
    let attempt::State::Done(finish) = reply.state else {
        panic!("incomplete answer: {:?}", reply.state);
    };
    // A chunk for the role, one for each of 24 tokens and one for the end.
    expect_that!(reply.events.len(), eq(26));
    expect_that!(
        finish.message.content(),
        eq(engine::answer_to(start.digest, 24).as_str())
    );
    expect_that!(finish.finish_reason, eq("stop"));
    expect_that!(finish.usage.completion, eq(24));
}

#[gtest]
#[tokio::test]
async fn a_later_turn_needs_only_its_new_messages() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let first = rig::first_turn("p", 1, "hello");
    let answer = rig.run_turn(&first).await;
    let second = rig::next_turn(&first, &answer.message, 2, "more");
    let answer = rig.run_turn(&second).await;
    expect_that!(
        answer.message.content(),
        eq(engine::answer_to(second.digest, 24).as_str())
    );
    expect_that!(answer.usage.cached, gt(0));
}

#[gtest]
#[tokio::test]
async fn a_history_that_is_not_cached_is_requested() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let first = rig::first_turn("p", 1, "hello");
    let answer = fw_base::chat::Message::text("assistant", "from elsewhere");
    let second = rig::next_turn(&first, &answer, 2, "more");
    let reply = rig.start(&second).await;
    expect_true!(matches!(reply, side::StartReply::NeedHistory));
    expect_that!(rig.engine.runs(second.digest), eq(0));
}

// A turn was answered, but its commit failed, and the keeper runs it again on the older history.
// The side then caches a longer history, and must run the turn on the committed prefix.
#[gtest]
#[tokio::test]
async fn a_turn_that_was_not_committed_runs_on_the_older_history() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let first = rig::first_turn("p", 1, "hello");
    let answer = rig.run_turn(&first).await;
    let lost = rig::next_turn(&first, &answer.message, 2, "lost");
    rig.run_turn(&lost).await;
    let again = rig::next_turn(&first, &answer.message, 3, "again");
    let answer = rig.run_turn(&again).await;
    expect_that!(
        answer.message.content(),
        eq(engine::answer_to(again.digest, 24).as_str())
    );
}

// The response to a keeper's start request is lost, and the keeper sends the request again. The
// turn must run once.
#[gtest]
#[tokio::test]
async fn the_same_attempt_started_twice_runs_once() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let start = rig::first_turn("p", 1, "hello");
    for _ in 0..3 {
        rig.start(&start).await;
    }
    rig.read_all(1).await;
    rig.start(&start).await;
    expect_that!(rig.engine.runs(start.digest), eq(1));
}

// Two requests to start the same attempt arrive concurrently over two connections, before the
// attempt is registered. Only one may reach the queue.
#[gtest]
fn of_two_racing_starts_one_is_queued() {
    let attempts = attempts::Attempts::default();
    let mut queued = 0;
    for _ in 0..2 {
        let start = rig::first_turn("p", 1, "hello");
        let prompt = histories::Prompt::default();
        let attempt = attempts::Attempt::new(start, prompt, Instant::now());
        let push = || {
            queued += 1;
            Ok(())
        };
        attempts.insert(Arc::new(attempt), push).unwrap();
    }
    expect_that!(queued, eq(1));
}

// The keeper's connection to the side stops responding during an answer. The keeper reconnects and
// reads on from the next event: it must get the complete answer, and the turn must not run again.
#[gtest]
#[tokio::test]
async fn a_reader_attaches_again_by_offset() {
    let mut rig = rig::Rig::new(rig::slow_engine()).await;
    let start = rig::first_turn("p", 1, "hello");
    rig.start_streaming(&start).await;
    let before = rig.read(1, 0).await.events;
    let again = transport::connect_side(rig.side.calls(), rig::TIMEOUT).await;
    rig.client = again.unwrap().client;
    let mut whole = before.clone();
    loop {
        let reply = rig.read(1, whole.len() as u32).await;
        whole.extend(reply.events);
        if reply.state.is_final() {
            break;
        }
    }
    expect_that!(whole, eq(&rig.read_all(1).await.events));
    expect_that!(whole.len(), eq(402));
    expect_that!(rig.engine.runs(start.digest), eq(1));
}

// The messages of two programs are mixed up in transit: a turn arrives with the digest of one
// history and the messages of another. A caller would see another caller's data, so the side must
// refuse it.
#[gtest]
#[tokio::test]
async fn messages_of_a_foreign_history_are_refused() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let mine = rig::first_turn("p", 1, "mine");
    let foreign = side::Start {
        messages: rig::first_turn("q", 2, "foreign").messages,
        ..mine.clone()
    };
    let reply = rig.start(&foreign).await;
    expect_that!(
        rig::refusal_kind(&reply),
        some(eq(error::Kind::HistoryMismatch))
    );
    let sent = digest::Digest::EMPTY.extend_all(&foreign.messages);
    expect_that!(rig.engine.runs(sent), eq(0));
}

// Keepers do not fetch or forget answers for a while. The memory of the side must stay bounded: it
// drops the oldest answers and keeps the newest.
#[gtest]
#[tokio::test]
async fn kept_answers_are_bounded() {
    let mut opts = rig::options();
    opts.answer_bytes = 20_000;
    let rig = rig::Rig::with(rig::fast_engine(), opts).await;
    for attempt in 1..10 {
        rig.run_turn(&rig::first_turn(&format!("p{attempt}"), attempt, "hello"))
            .await;
    }
    let core = rig.side.core().clone();
    rig::wait_until("the oldest is dropped", || core.attempts.get(1).is_none()).await;
    expect_true!(core.attempts.get(9).is_some());
}

// A finished answer is retained until its keeper has made it durable, and no longer.
#[gtest]
#[tokio::test]
async fn an_answer_is_kept_until_it_is_forgotten() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    rig.run_turn(&rig::first_turn("p", 1, "hello")).await;
    let kept = rig.read_all(1).await;
    expect_true!(matches!(kept.state, attempt::State::Done(_)));
    let cx = transport::context(rig::TIMEOUT);
    rig.client.forget(cx, 1).await.unwrap();
    let gone = rig.read_all(1).await;
    expect_true!(matches!(gone.state, attempt::State::Unknown));
}
