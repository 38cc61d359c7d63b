//! Turns run in order, once, and only on the history for which they were sent.

use std::time::Duration;

use fw_base::chat::Message;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_keep::program;
use fw_keep::program::Begin;
use fw_keep::program::Outcome;
use fw_keep::program::Program;
use googletest::prelude::*;

use crate::fleet;

const NOW: Duration = Duration::from_secs(1);

fn user(text: &str) -> Message {
    Message::text("user", text)
}

fn assistant(text: &str) -> Message {
    Message::text("assistant", text)
}

fn full(messages: Vec<Message>, attempt: u64) -> Begin {
    Begin {
        team: "team".into(),
        messages,
        attempt,
        ..Begin::default()
    }
}

/// A program with `turns` committed turns.
fn program(turns: u32) -> Program {
    let mut program = Program::new("team".into(), None, NOW);
    for number in 1..=turns {
        let begun = program.begin(fleet::delta(number, &format!("ask {number}"), 100), NOW);
        assert!(matches!(begun, Outcome::Run(_)), "{begun:?}");
        let answer = fleet::answer(&format!("answer {number}"));
        program.finish(100, answer, NOW).unwrap();
    }
    program
}

/// The whole history of [`program`] and one more message.
fn history_and(turns: u32, last: &str) -> Vec<Message> {
    let mut messages = Vec::new();
    for number in 1..=turns {
        messages.push(user(&format!("ask {number}")));
        messages.push(assistant(&format!("answer {number}")));
    }
    messages.push(user(last));
    messages
}

fn kind(outcome: Outcome) -> Option<Kind> {
    match outcome {
        Outcome::Refused(error::Error { kind, .. }) => Some(kind),
        Outcome::Run(_) | Outcome::Attach { .. } | Outcome::Replay { .. } => None,
    }
}

#[gtest]
fn a_full_history_runs_only_its_new_messages() {
    let mut program = program(2);
    let base = program.digest();
    let outcome = program.begin(full(history_and(2, "ask 3"), 7), NOW);
    let Outcome::Run(run) = outcome else {
        panic!("{outcome:?}");
    };
    expect_that!(run.turn, eq(3));
    expect_that!(run.base, eq(base));
    expect_that!(run.messages, elements_are![eq(&user("ask 3"))]);
    expect_that!(run.digest, eq(base.extend(&user("ask 3"))));
}

/// A client library without support for turns retries a call after a timeout: it sends the same
/// messages again while the first call still runs, and once more after it was answered.
#[gtest]
fn repeated_messages_attach_and_then_replay() {
    let mut program = program(1);
    let prompt = history_and(1, "ask 2");
    program.begin(full(prompt.clone(), 7), NOW);
    let repeated = program.begin(full(prompt.clone(), 8), NOW);
    expect_that!(
        repeated,
        eq(&Outcome::Attach {
            attempt: 7,
            turn: 2
        })
    );
    program.finish(7, fleet::answer("answer 2"), NOW).unwrap();
    let replay = program.begin(full(prompt, 9), NOW);
    let expected = Outcome::Replay {
        attempt: 7,
        turn: 2,
        answer: fleet::answer("answer 2"),
    };
    expect_that!(replay, eq(&expected));
    expect_that!(program.turn(), eq(2));
}

#[gtest]
fn a_repeated_numbered_turn_attaches_and_then_replays() {
    let mut program = program(1);
    program.begin(fleet::delta(2, "ask 2", 7), NOW);
    let repeated = program.begin(fleet::delta(2, "ask 2", 8), NOW);
    expect_that!(
        repeated,
        eq(&Outcome::Attach {
            attempt: 7,
            turn: 2
        })
    );
    program.finish(7, fleet::answer("answer 2"), NOW).unwrap();
    let replay = program.begin(fleet::delta(2, "ask 2", 9), NOW);
    expect_that!(replay, pat!(Outcome::Replay { turn: eq(&2), .. }));
}

#[gtest]
fn another_body_under_the_same_number_is_refused() {
    let mut program = program(1);
    let changed = program.begin(fleet::delta(1, "other", 7), NOW);
    expect_that!(kind(changed), some(eq(Kind::TurnChanged)));
    program.begin(fleet::delta(2, "ask 2", 7), NOW);
    let changed = program.begin(fleet::delta(2, "other", 8), NOW);
    expect_that!(kind(changed), some(eq(Kind::TurnChanged)));
    let params = Begin {
        params: Digest::of_bytes(b"warmer"),
        ..fleet::delta(2, "ask 2", 8)
    };
    expect_that!(
        kind(program.begin(params, NOW)),
        some(eq(Kind::TurnChanged))
    );
}

#[gtest]
fn turns_out_of_order_are_refused() {
    let mut program = program(3);
    for number in [0, 1, 2, 5, u32::MAX] {
        let outcome = program.begin(fleet::delta(number, "ask", 7), NOW);
        expect_that!(kind(outcome), some(eq(Kind::WrongTurn)), "{number}");
    }
    program.begin(fleet::delta(4, "ask 4", 7), NOW);
    let ahead = program.begin(fleet::delta(5, "ask 5", 8), NOW);
    expect_that!(kind(ahead), some(eq(Kind::WrongTurn)));
}

/// A caller confuses two programs and sends the history of one under the id of the other. If the
/// turn ran, it would expose one program's messages to the other's users.
#[gtest]
fn the_history_of_another_program_is_refused() {
    let mut program = program(2);
    let mut foreign = history_and(2, "ask 3");
    foreign[0] = user("ask of another");
    let outcome = program.begin(full(foreign, 7), NOW);
    expect_that!(kind(outcome), some(eq(Kind::HistoryMismatch)));
    let short = program.begin(full(vec![user("ask 3")], 7), NOW);
    expect_that!(kind(short), some(eq(Kind::HistoryMismatch)));
    let based = Begin {
        base: Some(Digest::of_bytes(b"other")),
        ..fleet::delta(3, "ask 3", 7)
    };
    expect_that!(
        kind(program.begin(based, NOW)),
        some(eq(Kind::HistoryMismatch))
    );
    expect_that!(program.status(), eq(program::Status::Idle));
}

#[gtest]
fn another_team_is_refused() {
    let mut program = program(1);
    let foreign = Begin {
        team: "other".into(),
        ..fleet::delta(2, "ask 2", 7)
    };
    expect_that!(
        kind(program.begin(foreign, NOW)),
        some(eq(Kind::ForeignProgram))
    );
}

/// A caller sends only its new message with neither turn nor base, and sends it again when the
/// answer does not arrive. The repetition can't be distinguished from a second turn, so it is
/// refused rather than run twice.
#[gtest]
fn a_delta_after_the_first_turn_needs_a_turn_or_base() {
    let mut program = Program::new("team".into(), None, NOW);
    let bare = |attempt| Begin {
        turn: None,
        ..fleet::delta(1, "ask 1", attempt)
    };
    expect_that!(program.begin(bare(7), NOW), pat!(Outcome::Run(anything())));
    program.finish(7, fleet::answer("answer 1"), NOW).unwrap();
    expect_that!(
        kind(program.begin(bare(8), NOW)),
        some(eq(Kind::BadRequest))
    );
    let with_base = |base| Begin {
        base: Some(base),
        ..bare(8)
    };
    let replay = program.begin(with_base(Digest::EMPTY), NOW);
    expect_that!(replay, pat!(Outcome::Replay { turn: eq(&1), .. }));
    let next = program.begin(with_base(program.digest()), NOW);
    expect_that!(next, pat!(Outcome::Run(anything())));
}

/// An upstream crashes during a turn. The turn is requested again under its number and runs as
/// another attempt. Then the first attempt's answer arrives late and must be dropped.
#[gtest]
fn a_failed_turn_runs_again_and_its_late_answer_is_dropped() {
    let mut program = program(1);
    let before = program.digest();
    program.begin(fleet::delta(2, "ask 2", 7), NOW);
    expect_that!(program.fail(7, error::Ran::Maybe, NOW), some(anything()));
    expect_that!(program.digest(), eq(before));
    let repeated = program.begin(fleet::delta(2, "ask 2", 8), NOW);
    expect_that!(repeated, pat!(Outcome::Run(anything())));
    expect_that!(program.finish(7, fleet::answer("late"), NOW), none());
    expect_that!(program.fail(7, error::Ran::No, NOW), none());
    let finished = program.finish(8, fleet::answer("answer 2"), NOW);
    expect_that!(finished, some(anything()));
}

#[gtest]
fn an_ended_program_takes_no_turn_and_names_the_attempt_to_cancel() {
    let mut program = program(1);
    program.begin(fleet::delta(2, "ask 2", 7), NOW);
    expect_that!(program.end(NOW), some(eq(7)));
    expect_that!(program.finish(7, fleet::answer("late"), NOW), none());
    let outcome = program.begin(fleet::delta(2, "ask 2", 8), NOW);
    expect_that!(kind(outcome), some(eq(Kind::ProgramEnded)));
}

#[gtest]
fn a_saved_program_restores_to_the_same_state() {
    let program = program(3);
    let restored = Program::restore(program.save());
    expect_that!(restored.digest(), eq(program.digest()));
    expect_that!(restored.turn(), eq(3));
    expect_that!(restored.history(), eq(program.history()));
    expect_that!(restored.ledger().spent(), eq(program.ledger().spent()));
}

/// A program's retention is over, or its history was lost in an outage, and its caller sends turn
/// 5. If it were treated as a new program, the turn would run on an empty history.
#[gtest]
fn an_unknown_program_begins_with_its_first_turn_only() {
    let mut shard = fw_keep::shard::Shard::new(0);
    let later = shard.begin(&"p".into(), fleet::delta(5, "ask 5", 7), NOW);
    expect_that!(kind(later), some(eq(Kind::UnknownProgram)));
    let based = Begin {
        turn: None,
        base: Some(Digest::of_bytes(b"history")),
        ..fleet::delta(1, "ask", 7)
    };
    let based = shard.begin(&"p".into(), based, NOW);
    expect_that!(kind(based), some(eq(Kind::UnknownProgram)));
    let first = shard.begin(&"p".into(), fleet::delta(1, "ask 1", 7), NOW);
    expect_that!(first, pat!(Outcome::Run(anything())));
}
