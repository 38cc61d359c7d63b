//! Records without a violation, in any interleaving of the events.

use std::time::Duration;

use fw_base::error::Kind;
use fw_check::check::Promise;
use fw_check::check::Verdict;
use fw_check::event::Entry;
use fw_check::event::Event;
use fw_check::event::Work;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::scenario;
use crate::scenario::Scenario;

/// A run that exercises all promises.
fn full_scenario() -> Scenario {
    let mut scenario = Scenario::default();
    let (program, tokens, turns) = ("p".into(), Some(300), Some(2));
    scenario.push(Event::BudgetSet {
        program,
        tokens,
        turns,
    });
    let (upstream, program) = ("engine-1".into(), "p".into());
    scenario.push(Event::MemoryHeld { upstream, program });
    scenario.in_force(1, 4).accept(5);
    scenario.turn("p", 1).turn("q", 1).turn("p", 2);
    scenario.plain(Some("key-1"), "offer").plain(None, "lookup");
    let refused = scenario.send("q", 2);
    scenario.refuse(refused, Kind::Overloaded);
    scenario
        .turn("q", 2)
        .read_history("p", scenario::history("p", 2));
    let program = "p".into();
    scenario.push(Event::ProgramEnded { program });
    let (upstream, program) = ("engine-1".into(), "p".into());
    scenario.push(Event::MemoryFreed { upstream, program });
    let upstream = "engine-2".into();
    scenario.push(Event::UpstreamLeaving { upstream });
    let process = "entry-1".into();
    scenario.push(Event::ShutdownBegun { process });
    scenario.turn("r", 1);
    let (process, cut_off) = ("entry-1".into(), 0);
    scenario.push(Event::ShutdownEnded { process, cut_off });
    scenario.in_force(1, 5);
    scenario.wait(Duration::from_secs(30)).turn("r", 2);
    scenario
}

#[gtest]
fn a_correct_run_holds_every_promise() {
    let report = full_scenario().report();
    expect_that!(report.is_held(), eq(true), "{report}");
}

#[gtest]
fn an_empty_record_observes_nothing() {
    for finding in Scenario::default().report().findings {
        expect_that!(
            finding.verdict,
            matches_pattern!(Verdict::NotObserved { .. })
        );
    }
}

#[gtest]
fn a_lost_call_may_or_may_not_have_run() {
    // After a broken connection the checker cannot decide whether the call ran, and reports that.
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    scenario.lose(call);
    let report = scenario.report();
    let Verdict::NotObserved { unknown } = report.verdict(Promise::Refusal) else {
        panic!("{report}");
    };
    expect_that!(
        unknown,
        elements_are![contains_substring("may or may not have run")]
    );
}

#[gtest]
fn a_resend_explains_the_run() {
    // The first call is refused, the second is lost, and one run starts after both: it belongs to
    // the second, and the refusal remains true.
    let mut scenario = Scenario::default();
    let first = scenario.send("p", 1);
    let second = scenario.send("p", 1);
    let run = scenario.start(Scenario::prompt("p", 1));
    scenario
        .refuse(first, Kind::QueueFull)
        .lose(second)
        .end(run, scenario::answer("p", 1));
    expect_that!(scenario.violated(), is_empty());
}

#[gtest]
fn a_turn_run_again_after_a_crash_is_no_fault() {
    // The engine crashes while it runs turn 1, which is run again on another engine: only the
    // answer of the second run is delivered, and turn 2 builds on it.
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    scenario.start(Scenario::prompt("p", 1));
    let process = "engine-1".into();
    scenario.push(Event::Crashed { process });
    let again = scenario.start_at("engine-2", Work::Turn(Scenario::prompt("p", 1)));
    scenario
        .end(again, scenario::answer("p", 1))
        .answer(call, scenario::answer("p", 1));
    scenario.turn("p", 2);
    expect_that!(scenario.violated(), is_empty());
}

#[gtest]
fn a_key_may_be_used_again_after_not_run() {
    let mut scenario = Scenario::default();
    let call = scenario.send_plain(Some("key-1"), "offer");
    scenario.refuse(call, Kind::StoreUnavailable);
    scenario
        .plain(Some("key-1"), "offer")
        .plain(Some("key-2"), "offer");
    expect_that!(scenario.violated(), is_empty());
}

#[gtest]
fn an_unanswered_write_may_be_in_force() {
    let mut scenario = Scenario::default();
    scenario.accept(5);
    scenario.push(Event::RecordDoubtful {
        name: "services/agent".into(),
        value: Some(scenario::digest("value 6")),
    });
    scenario.in_force(1, 6);
    expect_that!(scenario.violated(), is_empty());
}

#[gtest]
fn a_crash_during_a_shutdown_is_no_broken_promise() {
    let mut scenario = Scenario::default();
    let call = scenario.send("p", 1);
    let process = "entry-1".into();
    scenario.push(Event::ShutdownBegun { process });
    let process = "entry-1".into();
    scenario.push(Event::Crashed { process });
    scenario.lose(call);
    expect_that!(scenario.violated(), is_empty());
}

/// The entries of `count` programs with three turns each.
fn programs(count: usize) -> Vec<Vec<Entry>> {
    let names = (0..count).map(|index| format!("program-{index}"));
    let mut scenario = Scenario::default();
    let each = names.map(|name| {
        scenario.entries.clear();
        (1..=3).for_each(|turn| _ = scenario.turn(&name, turn));
        scenario.read_history(&name, scenario::history(&name, 3));
        scenario.entries.clone()
    });
    each.collect()
}

/// Interleaves the entries of the programs as selected by `picks`; each program keeps its order.
fn interleave(mut programs: Vec<Vec<Entry>>, picks: &[usize]) -> Scenario {
    let mut scenario = Scenario::default();
    for pick in picks.iter().chain(std::iter::repeat(&0)) {
        programs.retain(|entries| !entries.is_empty());
        if programs.is_empty() {
            return scenario;
        }
        let place = pick % programs.len();
        scenario.push(programs[place].remove(0).event);
    }
    scenario
}

/// Swaps adjacent entries where the first is a response and the second is of another call, so that
/// responses arrive late and in a different order.
fn delay(scenario: &mut Scenario, swaps: &[usize]) {
    for swap in swaps {
        let place = swap % (scenario.entries.len() - 1);
        let pair = [
            &scenario.entries[place].event,
            &scenario.entries[place + 1].event,
        ];
        let is_response = matches!(pair[0], Event::Answered { .. });
        // A caller sends its next turn and reads the history only after it has received the answer.
        let is_other = matches!(pair[1], Event::Answered { .. } | Event::RunEnded { .. });
        if is_response && is_other {
            let (at, next) = (scenario.entries[place].at, scenario.entries[place + 1].at);
            scenario.entries.swap(place, place + 1);
            scenario.entries[place].at = at;
            scenario.entries[place + 1].at = next;
        }
    }
}

proptest! {
    #[test]
    fn interleaved_programs_hold_every_promise(
        count in 1_usize..5,
        picks in prop::collection::vec(0_usize..100, 60),
        swaps in prop::collection::vec(0_usize..1000, 100),
    ) {
        let mut scenario = interleave(programs(count), &picks);
        delay(&mut scenario, &swaps);
        prop_assert!(scenario.violated().is_empty(), "{}", scenario.report());
    }

    #[test]
    fn swapped_answers_are_found_in_any_interleaving(
        picks in prop::collection::vec(0_usize..100, 60),
        turn in 1_u32..4,
    ) {
        let mut scenario = interleave(programs(2), &picks);
        let (p, q) = (scenario::answer("program-0", turn), scenario::answer("program-1", turn));
        for entry in &mut scenario.entries {
            if let Event::Answered { answer, .. } = &mut entry.event {
                *answer = match *answer {
                    own if own == p => q,
                    own if own == q => p,
                    other => other,
                };
            }
        }
        prop_assert!(scenario.violated().contains(&Promise::Answer));
    }
}
