//! Records of what must not happen: the checker finds the promise that was broken, and no other.

use std::time::Duration;

use fw_base::error;
use fw_base::error::Kind;
use fw_check::check;
use fw_check::check::Promise;
use fw_check::event::Event;
use fw_check::event::Work;
use googletest::prelude::*;

use crate::story;
use crate::story::Story;

const SECOND: Duration = Duration::from_secs(1);

#[track_caller]
fn expect_only(story: &Story, promise: Promise) {
    expect_that!(
        story.violated(),
        elements_are![eq(&promise)],
        "{}",
        story.report()
    );
}

#[gtest]
fn a_turn_that_overtakes_is_found() {
    // Turn 2 reaches an engine while turn 1 still runs: its answer builds on a guess.
    let mut story = Story::default();
    let first = story.send("p", 1);
    let run_1 = story.start(Story::prompt("p", 1));
    let second = story.send("p", 2);
    let run_2 = story.start(Story::prompt("p", 2));
    story
        .end(run_1, story::reply("p", 1))
        .answer(first, story::reply("p", 1));
    story
        .end(run_2, story::reply("p", 2))
        .answer(second, story::reply("p", 2));
    expect_only(&story, Promise::Order);
}

#[gtest]
fn a_foreign_history_is_found() {
    // Two customers' pages are drafted on one engine; turn 2 of one is answered from the other's
    // history.
    let mut story = Story::default();
    story.turn("p", 1).turn("q", 1);
    let call = story.send("p", 2);
    let mut prompt = story::history("q", 1);
    prompt.push(story::question("p", 2));
    let run = story.start(prompt);
    story
        .end(run, story::reply("p", 2))
        .answer(call, story::reply("p", 2));
    expect_only(&story, Promise::History);
}

#[gtest]
fn a_lost_turn_is_found() {
    // The keeper died after it had answered turn 2 and before it was durable: a claimant's words
    // are gone.
    let mut story = Story::default();
    story.turn("p", 1).turn("p", 2);
    story.read_history("p", story::history("p", 1));
    expect_only(&story, Promise::History);
}

#[gtest]
fn a_forgotten_program_is_found() {
    // A keeper answered turn 1 while the store did not answer it, and another entry took the
    // program over without that turn: the next one is refused, though nobody ended the program.
    let mut story = Story::default();
    story.turn("p", 1);
    let call = story.send("p", 2);
    story.refuse(call, Kind::UnknownProgram);
    expect_only(&story, Promise::History);
}

#[gtest]
fn a_forgotten_turn_is_found() {
    // As above, but the turns before the last were in the store: the new keeper expects turn 2.
    let mut story = Story::default();
    story.turn("p", 1).turn("p", 2);
    let call = story.send("p", 3);
    story.refuse(call, Kind::WrongTurn);
    expect_only(&story, Promise::History);
}

#[gtest]
fn a_turn_answered_in_two_ways_is_found() {
    // Two keepers ran turn 1, and a caller that sent it again got another answer than before.
    let mut story = Story::default();
    story.turn("p", 1);
    let call = story.send("p", 1);
    let run = story.start(Story::prompt("p", 1));
    let other = story::digest("another answer");
    story.end(run, other).answer(call, other);
    expect_only(&story, Promise::History);
}

#[gtest]
fn an_overspent_budget_is_found() {
    let mut story = Story::default();
    story.push(Event::BudgetSet {
        program: "p".into(),
        tokens: Some(150),
        turns: None,
    });
    story.turn("p", 1).turn("p", 2);
    expect_only(&story, Promise::Budget);
}

#[gtest]
fn one_turn_too_many_is_found() {
    let mut story = Story::default();
    story.push(Event::BudgetSet {
        program: "p".into(),
        tokens: None,
        turns: Some(1),
    });
    story.turn("p", 1).turn("p", 2);
    expect_only(&story, Promise::Budget);
}

#[gtest]
fn memory_that_stays_held_is_found() {
    // The order to free a program's memory was lost and nothing repeats it.
    let mut story = Story::default();
    let upstream = "engine-1".into();
    let program = "p".into();
    story.push(Event::MemoryHeld { upstream, program });
    story.turn("p", 1);
    let program = "p".into();
    story.push(Event::ProgramEnded { program });
    story.wait(30 * SECOND).turn("q", 1);
    expect_only(&story, Promise::Memory);
}

#[gtest]
fn a_crossed_answer_is_found() {
    // A silent connection comes back, and each of two officers gets the other's draft.
    let mut story = Story::default();
    let (p, q) = (story.send("p", 1), story.send("q", 1));
    let run_p = story.start(Story::prompt("p", 1));
    let run_q = story.start(Story::prompt("q", 1));
    story
        .end(run_p, story::reply("p", 1))
        .end(run_q, story::reply("q", 1));
    story
        .answer(p, story::reply("q", 1))
        .answer(q, story::reply("p", 1));
    expect_only(&story, Promise::Answer);
}

#[gtest]
fn half_an_answer_is_found() {
    let mut story = Story::default();
    let call = story.send("p", 1);
    let run = story.start(Story::prompt("p", 1));
    story.end(run, story::reply("p", 1));
    story.push(Event::Answered {
        call,
        answer: story::digest("answer to"),
        whole: false,
        tokens: 1,
    });
    expect_only(&story, Promise::Answer);
}

#[gtest]
fn an_untrue_refusal_is_found() {
    // The entry gave up on a side that did run the turn, and told the caller that it did not.
    let mut story = Story::default();
    let call = story.send("p", 1);
    let run = story.start(Story::prompt("p", 1));
    story
        .refuse(call, Kind::NoUpstream)
        .end(run, story::reply("p", 1));
    expect_only(&story, Promise::Refusal);
}

#[gtest]
fn a_run_before_the_resend_counts_against_the_refusal() {
    // The caller believes "not run" and sends again. The second call can't explain a run that
    // began before it was sent.
    let mut story = Story::default();
    let call = story.send("p", 1);
    story.start(Story::prompt("p", 1));
    story.refuse(call, Kind::Overloaded);
    story.turn("p", 1);
    expect_only(&story, Promise::Refusal);
}

#[gtest]
fn another_program_with_the_same_words_explains_nothing() {
    // Two programs end a turn with the same words. That one's call was lost is no excuse for
    // running the other's, which was refused: the histories tell the two apart.
    let mut story = Story::default();
    story.turn("p", 1).turn("q", 1);
    let [p, q] = ["p", "q"].map(|program| story.send_words(program, 2, "same words"));
    story.lose(p);
    let mut prompt = story::history("q", 1);
    prompt.push(story::digest("same words"));
    story.start(prompt);
    story.refuse(q, Kind::Overloaded);
    expect_only(&story, Promise::Refusal);
}

#[gtest]
fn an_error_that_contradicts_its_kind_is_found() {
    let mut story = Story::default();
    let call = story.send("p", 1);
    let (kind, ran) = (Kind::UpstreamCrashed, error::Ran::No);
    story.push(Event::Refused { call, kind, ran });
    expect_only(&story, Promise::Refusal);
}

#[gtest]
fn an_offer_bound_twice_is_found() {
    // The caller sends an offer letter again, under the same key, after its connection broke; a
    // keeper that lost its claim runs it again.
    let mut story = Story::default();
    let call = story.send_plain(Some("key-1"), "offer");
    story.start_at("tool-1", Work::Plain(story::digest("offer")));
    story.lose(call);
    story.plain(Some("key-1"), "offer");
    expect_only(&story, Promise::Once);
}

#[gtest]
fn a_refused_key_does_not_excuse_a_second_run() {
    // Sent under key 1 and refused, then sent under key 2 and run twice: two keys, but only one
    // of them allows a run.
    let mut story = Story::default();
    let refused = story.send_plain(Some("key-1"), "offer");
    story.refuse(refused, Kind::StoreUnavailable);
    story
        .plain(Some("key-2"), "offer")
        .plain(Some("key-2"), "offer");
    expect_only(&story, Promise::Once);
}

#[gtest]
fn work_for_a_leaving_upstream_is_found() {
    let mut story = Story::default();
    let upstream = "engine-1".into();
    story.push(Event::UpstreamLeaving { upstream });
    story.wait(4 * SECOND).turn("p", 1);
    expect_only(&story, Promise::Leaving);
}

#[gtest]
fn a_call_cut_off_by_a_shutdown_is_found() {
    let mut story = Story::default();
    let call = story.send("p", 1);
    let process = "entry-1".into();
    story.push(Event::ShutdownBegun { process });
    let (process, cut_off) = ("entry-1".into(), 0);
    story.push(Event::ShutdownEnded { process, cut_off });
    story.lose(call);
    expect_only(&story, Promise::Shutdown);
}

#[gtest]
fn a_process_that_counts_cut_off_requests_is_found() {
    let mut story = Story::default();
    let process = "side-1".into();
    story.push(Event::ShutdownBegun { process });
    let (process, cut_off) = ("side-1".into(), 2);
    story.push(Event::ShutdownEnded { process, cut_off });
    expect_only(&story, Promise::Shutdown);
}

#[gtest]
fn a_late_record_is_found() {
    let mut story = Story::default();
    story.in_force(1, 4).in_force(2, 4).accept(5).in_force(1, 5);
    story.wait(4 * SECOND).in_force(2, 4);
    expect_only(&story, Promise::Records);
}

#[gtest]
fn a_record_that_reverts_is_found() {
    // A process restarts during a store outage and takes an old copy from a peer.
    let mut story = Story::default();
    story.accept(5).in_force(1, 5).in_force(1, 4);
    expect_only(&story, Promise::Records);
}

#[gtest]
fn an_overwritten_record_is_found() {
    // Two operators race; the second write was built on the older set and drops the first change.
    let mut story = Story::default();
    story.accept(5).in_force(1, 6);
    expect_only(&story, Promise::Records);
}

#[gtest]
fn evidence_names_the_entries() {
    let mut story = Story::default();
    story.accept(5).in_force(1, 5).in_force(1, 4);
    let report = story.report();
    let check::Verdict::Violated { evidence } = report.verdict(Promise::Records) else {
        panic!("expected a violation:\n{report}");
    };
    expect_that!(evidence[0].lines, elements_are![eq(&2), eq(&3)]);
    expect_that!(
        report.to_string(),
        contains_substring("VIOLATED   accepted records")
    );
}
