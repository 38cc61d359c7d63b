//! Records with a violation: the checker reports the violated promise, and no other.

use std::time::Duration;

use fw_base::error;
use fw_base::error::Kind;
use fw_check::check;
use fw_check::check::Promise;
use fw_check::event::Event;
use fw_check::event::Work;
use googletest::prelude::*;

use crate::scenario;
use crate::scenario::Scenario;

const SECOND: Duration = Duration::from_secs(1);

#[track_caller]
fn expect_only(scenario: &Scenario, promise: Promise) {
    expect_that!(
        scenario.violated(),
        elements_are![eq(&promise)],
        "{}",
        scenario.report()
    );
}

#[gtest]
fn an_out_of_order_turn_is_found() {
    // Turn 2 starts on an engine while turn 1 is still running, so its history is incomplete.
    let mut scenario = Scenario::default();
    let first = scenario.send("p", 1);
    let run_1 = scenario.start(Scenario::prompt("p", 1));
    let second = scenario.send("p", 2);
    let run_2 = scenario.start(Scenario::prompt("p", 2));
    scenario
        .end(run_1, scenario::answer("p", 1))
        .answer(first, scenario::answer("p", 1));
    scenario
        .end(run_2, scenario::answer("p", 2))
        .answer(second, scenario::answer("p", 2));
    expect_only(&scenario, Promise::Order);
}

#[gtest]
fn a_foreign_history_is_found() {
    // Two programs share an engine, and turn 2 of one is answered from the history of the other.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1).turn("q", 1);
    let call = scenario.send("p", 2);
    let mut prompt = scenario::history("q", 1);
    prompt.push(scenario::user_message("p", 2));
    let run = scenario.start(prompt);
    scenario
        .end(run, scenario::answer("p", 2))
        .answer(call, scenario::answer("p", 2));
    expect_only(&scenario, Promise::History);
}

#[gtest]
fn a_lost_turn_is_found() {
    // The keeper answers turn 2 and crashes before the turn is durable: the history lacks it.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1).turn("p", 2);
    scenario.read_history("p", scenario::history("p", 1));
    expect_only(&scenario, Promise::History);
}

#[gtest]
fn a_refusal_after_a_lost_program_is_found() {
    // A keeper answers turn 1 during a store outage, and another entry takes the program over
    // without that turn: the next turn is refused, although the program has not ended.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1);
    let call = scenario.send("p", 2);
    scenario.refuse(call, Kind::UnknownProgram);
    expect_only(&scenario, Promise::History);
}

#[gtest]
fn a_refusal_after_a_lost_turn_is_found() {
    // As above, but all turns except the last are in the store: the new keeper expects turn 2.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1).turn("p", 2);
    let call = scenario.send("p", 3);
    scenario.refuse(call, Kind::WrongTurn);
    expect_only(&scenario, Promise::History);
}

#[gtest]
fn a_turn_answered_in_two_ways_is_found() {
    // Two keepers run turn 1, and a caller that resends it receives a different answer.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1);
    let call = scenario.send("p", 1);
    let run = scenario.start(Scenario::prompt("p", 1));
    let other = scenario::digest("another answer");
    scenario.end(run, other).answer(call, other);
    expect_only(&scenario, Promise::History);
}

#[gtest]
fn an_overspent_budget_is_found() {
    let mut scenario = Scenario::default();
    scenario.push(Event::BudgetSet {
        program: "p".into(),
        tokens: Some(150),
        turns: None,
    });
    scenario.turn("p", 1).turn("p", 2);
    expect_only(&scenario, Promise::Budget);
}

#[gtest]
fn a_turn_over_budget_is_found() {
    let mut scenario = Scenario::default();
    scenario.push(Event::BudgetSet {
        program: "p".into(),
        tokens: None,
        turns: Some(1),
    });
    scenario.turn("p", 1).turn("p", 2);
    expect_only(&scenario, Promise::Budget);
}

#[gtest]
fn memory_that_stays_held_is_found() {
    // The request to free a program's KV cache is lost and never retried.
    let mut scenario = Scenario::default();
    let upstream = "engine-1".into();
    let program = "p".into();
    scenario.push(Event::MemoryHeld { upstream, program });
    scenario.turn("p", 1);
    let program = "p".into();
    scenario.push(Event::ProgramEnded { program });
    scenario.wait(30 * SECOND).turn("q", 1);
    expect_only(&scenario, Promise::Memory);
}

#[gtest]
fn swapped_answers_are_found() {
    // A connection that had stalled resumes, and two callers receive each other's answer.
    let mut scenario = Scenario::default();
    let (p, q) = (scenario.send("p", 1), scenario.send("q", 1));
    let run_p = scenario.start(Scenario::prompt("p", 1));
    let run_q = scenario.start(Scenario::prompt("q", 1));
    scenario
        .end(run_p, scenario::answer("p", 1))
        .end(run_q, scenario::answer("q", 1));
    scenario
        .answer(p, scenario::answer("q", 1))
        .answer(q, scenario::answer("p", 1));
    expect_only(&scenario, Promise::Answer);
}

#[gtest]
fn a_truncated_answer_is_found() {
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    let run = scenario.start(Scenario::prompt("p", 1));
    scenario.end(run, scenario::answer("p", 1));
    scenario.push(Event::Answered {
        call,
        answer: scenario::digest("answer to"),
        whole: false,
        tokens: 1,
    });
    expect_only(&scenario, Promise::Answer);
}

#[gtest]
fn an_untrue_refusal_is_found() {
    // The entry gives up on a side that does run the turn, and reports to the caller that it did
    // not run.
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    let run = scenario.start(Scenario::prompt("p", 1));
    scenario
        .refuse(call, Kind::NoUpstream)
        .end(run, scenario::answer("p", 1));
    expect_only(&scenario, Promise::Refusal);
}

#[gtest]
fn a_run_before_the_resend_counts_against_the_refusal() {
    // The caller resends after "not run". The second call cannot account for a run that started
    // before it was sent.
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    scenario.start(Scenario::prompt("p", 1));
    scenario.refuse(call, Kind::Overloaded);
    scenario.turn("p", 1);
    expect_only(&scenario, Promise::Refusal);
}

#[gtest]
fn a_lost_call_of_another_program_does_not_excuse_a_run() {
    // Two programs send a turn with the same text. The lost call of one does not account for a run
    // of the other's refused call: the histories distinguish the two.
    let mut scenario = Scenario::default();
    scenario.turn("p", 1).turn("q", 1);
    let [p, q] = ["p", "q"].map(|program| scenario.send_text(program, 2, "same words"));
    scenario.lose(p);
    let mut prompt = scenario::history("q", 1);
    prompt.push(scenario::digest("same words"));
    scenario.start(prompt);
    scenario.refuse(q, Kind::Overloaded);
    expect_only(&scenario, Promise::Refusal);
}

#[gtest]
fn an_error_that_contradicts_its_kind_is_found() {
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    let (kind, ran) = (Kind::UpstreamCrashed, error::Ran::No);
    scenario.push(Event::Refused { call, kind, ran });
    expect_only(&scenario, Promise::Refusal);
}

#[gtest]
fn a_non_idempotent_call_that_ran_twice_is_found() {
    // The caller resends a call under the same key after its connection broke, and a keeper that
    // has lost the claim runs it a second time.
    let mut scenario = Scenario::default();
    let call = scenario.send_plain(Some("key-1"), "offer");
    scenario.start_at("tool-1", Work::Plain(scenario::digest("offer")));
    scenario.lose(call);
    scenario.plain(Some("key-1"), "offer");
    expect_only(&scenario, Promise::Once);
}

#[gtest]
fn a_refused_key_does_not_excuse_a_second_run() {
    // Sent under key 1 and refused, then sent under key 2 and run twice: of the two keys only one
    // allows a run.
    let mut scenario = Scenario::default();
    let refused = scenario.send_plain(Some("key-1"), "offer");
    scenario.refuse(refused, Kind::StoreUnavailable);
    scenario
        .plain(Some("key-2"), "offer")
        .plain(Some("key-2"), "offer");
    expect_only(&scenario, Promise::Once);
}

#[gtest]
fn work_for_a_leaving_upstream_is_found() {
    let mut scenario = Scenario::default();
    let upstream = "engine-1".into();
    scenario.push(Event::UpstreamLeaving { upstream });
    scenario.wait(4 * SECOND).turn("p", 1);
    expect_only(&scenario, Promise::Leaving);
}

#[gtest]
fn a_call_cut_off_by_a_shutdown_is_found() {
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    let process = "entry-1".into();
    scenario.push(Event::ShutdownBegun { process });
    let (process, cut_off) = ("entry-1".into(), 0);
    scenario.push(Event::ShutdownEnded { process, cut_off });
    scenario.lose(call);
    expect_only(&scenario, Promise::Shutdown);
}

#[gtest]
fn a_process_that_counts_cut_off_requests_is_found() {
    let mut scenario = Scenario::default();
    let process = "side-1".into();
    scenario.push(Event::ShutdownBegun { process });
    let (process, cut_off) = ("side-1".into(), 2);
    scenario.push(Event::ShutdownEnded { process, cut_off });
    expect_only(&scenario, Promise::Shutdown);
}

#[gtest]
fn a_late_record_is_found() {
    let mut scenario = Scenario::default();
    scenario
        .in_force(1, 4)
        .in_force(2, 4)
        .accept(5)
        .in_force(1, 5);
    scenario.wait(4 * SECOND).in_force(2, 4);
    expect_only(&scenario, Promise::Records);
}

#[gtest]
fn a_record_that_reverts_is_found() {
    // A process restarts during a store outage and loads an outdated copy from a peer.
    let mut scenario = Scenario::default();
    scenario.accept(5).in_force(1, 5).in_force(1, 4);
    expect_only(&scenario, Promise::Records);
}

#[gtest]
fn an_overwritten_record_is_found() {
    // Two operators write concurrently; the second write is based on the older set and drops the
    // first change.
    let mut scenario = Scenario::default();
    scenario.accept(5).in_force(1, 6);
    expect_only(&scenario, Promise::Records);
}

#[gtest]
fn evidence_names_the_entries() {
    let mut scenario = Scenario::default();
    scenario.accept(5).in_force(1, 5).in_force(1, 4);
    let report = scenario.report();
    let check::Verdict::Violated { evidence } = report.verdict(Promise::Records) else {
        panic!("expected a violation:\n{report}");
    };
    expect_that!(evidence[0].lines, elements_are![eq(&2), eq(&3)]);
    expect_that!(
        report.to_string(),
        contains_substring("VIOLATED   accepted records")
    );
}
