//! Records in which everything went as it should, however the events interleave.

use std::time::Duration;

use fw_base::error::Kind;
use fw_check::check::Promise;
use fw_check::check::Verdict;
use fw_check::event::Entry;
use fw_check::event::Event;
use fw_check::event::Work;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::story;
use crate::story::Story;

/// A run that puts all promises to the test.
fn whole_story() -> Story {
    let mut story = Story::default();
    let (program, tokens, turns) = ("p".into(), Some(300), Some(2));
    story.push(Event::BudgetSet {
        program,
        tokens,
        turns,
    });
    let (upstream, program) = ("engine-1".into(), "p".into());
    story.push(Event::MemoryHeld { upstream, program });
    story.in_force(1, 4).accept(5);
    story.turn("p", 1).turn("q", 1).turn("p", 2);
    story.plain(Some("key-1"), "offer").plain(None, "lookup");
    let refused = story.send("q", 2);
    story.refuse(refused, Kind::Overloaded);
    story.turn("q", 2).read_history("p", story::history("p", 2));
    let program = "p".into();
    story.push(Event::ProgramEnded { program });
    let (upstream, program) = ("engine-1".into(), "p".into());
    story.push(Event::MemoryFreed { upstream, program });
    let upstream = "engine-2".into();
    story.push(Event::UpstreamLeaving { upstream });
    let process = "entry-1".into();
    story.push(Event::ShutdownBegun { process });
    story.turn("r", 1);
    let (process, cut_off) = ("entry-1".into(), 0);
    story.push(Event::ShutdownEnded { process, cut_off });
    story.in_force(1, 5);
    story.wait(Duration::from_secs(30)).turn("r", 2);
    story
}

#[gtest]
fn a_good_run_holds_everything() {
    let report = whole_story().report();
    expect_that!(report.is_held(), eq(true), "{report}");
}

#[gtest]
fn an_empty_record_observes_nothing() {
    for finding in Story::default().report().findings {
        expect_that!(
            finding.verdict,
            matches_pattern!(Verdict::NotObserved { .. })
        );
    }
}

#[gtest]
fn a_lost_call_may_or_may_not_have_run() {
    // The connection broke; the checker can't say whether the call ran, and says just that.
    let mut story = Story::default();
    let call = story.send("p", 1);
    story.lose(call);
    let report = story.report();
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
    // The first call is refused, the second is lost, and one run is seen after both: it was the
    // second's, and the refusal stays true.
    let mut story = Story::default();
    let first = story.send("p", 1);
    let second = story.send("p", 1);
    let run = story.start(Story::prompt("p", 1));
    story
        .refuse(first, Kind::QueueFull)
        .lose(second)
        .end(run, story::reply("p", 1));
    expect_that!(story.violated(), is_empty());
}

#[gtest]
fn a_turn_run_again_after_a_crash_is_no_fault() {
    // The engine crashed under turn 1, which ran again elsewhere with another answer: only that
    // one was told, and turn 2 builds on it.
    let mut story = Story::default();
    let call = story.send("p", 1);
    story.start(Story::prompt("p", 1));
    let process = "engine-1".into();
    story.push(Event::Crashed { process });
    let again = story.start_at("engine-2", Work::Turn(Story::prompt("p", 1)));
    story
        .end(again, story::reply("p", 1))
        .answer(call, story::reply("p", 1));
    story.turn("p", 2);
    expect_that!(story.violated(), is_empty());
}

#[gtest]
fn a_key_may_be_used_again_after_not_run() {
    let mut story = Story::default();
    let call = story.send_plain(Some("key-1"), "offer");
    story.refuse(call, Kind::StoreUnavailable);
    story
        .plain(Some("key-1"), "offer")
        .plain(Some("key-2"), "offer");
    expect_that!(story.violated(), is_empty());
}

#[gtest]
fn an_unanswered_write_may_be_in_force() {
    let mut story = Story::default();
    story.accept(5);
    story.push(Event::RecordDoubtful {
        name: "services/agent".into(),
        value: Some(story::digest("value 6")),
    });
    story.in_force(1, 6);
    expect_that!(story.violated(), is_empty());
}

#[gtest]
fn a_crash_during_a_shutdown_is_no_broken_promise() {
    let mut story = Story::default();
    let call = story.send("p", 1);
    let process = "entry-1".into();
    story.push(Event::ShutdownBegun { process });
    let process = "entry-1".into();
    story.push(Event::Crashed { process });
    story.lose(call);
    expect_that!(story.violated(), is_empty());
}

/// One program after the other, each with three turns.
fn programs(count: usize) -> Vec<Vec<Entry>> {
    let names = (0..count).map(|index| format!("program-{index}"));
    let mut story = Story::default();
    let each = names.map(|name| {
        story.entries.clear();
        (1..=3).for_each(|turn| _ = story.turn(&name, turn));
        story.read_history(&name, story::history(&name, 3));
        story.entries.clone()
    });
    each.collect()
}

/// Takes from the programs by turns, as `picks` say, each in its own order.
fn interleave(mut programs: Vec<Vec<Entry>>, picks: &[usize]) -> Story {
    let mut story = Story::default();
    for pick in picks.iter().chain(std::iter::repeat(&0)) {
        programs.retain(|entries| !entries.is_empty());
        if programs.is_empty() {
            return story;
        }
        let place = pick % programs.len();
        story.push(programs[place].remove(0).event);
    }
    story
}

/// Swaps neighbours where the first is a response and the second is of another call, so that
/// responses arrive late and in another order.
fn delay(story: &mut Story, swaps: &[usize]) {
    for swap in swaps {
        let place = swap % (story.entries.len() - 1);
        let pair = [&story.entries[place].event, &story.entries[place + 1].event];
        let is_response = matches!(pair[0], Event::Answered { .. });
        // A caller sends its next turn, and reads the history, only after the answer.
        let is_other = matches!(pair[1], Event::Answered { .. } | Event::RunEnded { .. });
        if is_response && is_other {
            let (at, next) = (story.entries[place].at, story.entries[place + 1].at);
            story.entries.swap(place, place + 1);
            story.entries[place].at = at;
            story.entries[place + 1].at = next;
        }
    }
}

proptest! {
    #[test]
    fn interleaving_breaks_nothing(
        count in 1_usize..5,
        picks in prop::collection::vec(0_usize..100, 60),
        swaps in prop::collection::vec(0_usize..1000, 100),
    ) {
        let mut story = interleave(programs(count), &picks);
        delay(&mut story, &swaps);
        prop_assert!(story.violated().is_empty(), "{}", story.report());
    }

    #[test]
    fn crossed_answers_are_found_in_any_interleaving(
        picks in prop::collection::vec(0_usize..100, 60),
        turn in 1_u32..4,
    ) {
        let mut story = interleave(programs(2), &picks);
        let (p, q) = (story::reply("program-0", turn), story::reply("program-1", turn));
        for entry in &mut story.entries {
            if let Event::Answered { answer, .. } = &mut entry.event {
                *answer = match *answer {
                    own if own == p => q,
                    own if own == q => p,
                    other => other,
                };
            }
        }
        prop_assert!(story.violated().contains(&Promise::Answer));
    }
}
