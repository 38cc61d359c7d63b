//! Recovery of turns that were answered under an earlier keeper but are missing in the journal.

use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::id;
use fw_keep::program;
use fw_keep::shard;
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1_000);

fn answer(text: &str) -> program::Answer {
    program::Answer {
        message: chat::Message::text("assistant", text),
        finish_reason: "stop".to_owned(),
        usage: chat::Usage::default(),
    }
}

/// Turn `turn` of a program whose user messages are `ask n` and whose answers are `answer n`.
fn held(turn: id::Turn) -> program::Held {
    let before: Vec<_> = (1..turn).flat_map(|n| [ask(n), reply(n)]).collect();
    program::Held {
        team: "team".into(),
        turn,
        attempt: u64::from(turn),
        base: Digest::EMPTY.extend_all(&before),
        messages: vec![ask(turn)],
        params: Digest::EMPTY,
        answer: answer(&format!("answer {turn}")),
        ran: Duration::from_secs(1),
    }
}

fn ask(turn: id::Turn) -> chat::Message {
    chat::Message::text("user", &format!("ask {turn}"))
}

fn reply(turn: id::Turn) -> chat::Message {
    chat::Message::text("assistant", &format!("answer {turn}"))
}

#[gtest]
fn held_turns_continue_the_history() {
    let mut shard = shard::Shard::new(0);
    let program: id::ProgramId = "p".into();
    for turn in 1..=3 {
        let recovered = shard.recover(&program, held(turn), NOW);
        expect_that!(recovered, eq(shard::Recovered::Applied));
    }
    let found = shard.program(&program).unwrap();
    expect_that!(found.turn(), eq(3));
    expect_that!(found.history().len(), eq(6));
    expect_that!(shard.pending(), eq(3));
}

// Two sides hold one turn each, and the later turn is received first. Guards against applying it to a
// history that lacks the turn before it.
#[gtest]
fn a_turn_waits_for_the_one_before_it() {
    let mut shard = shard::Shard::new(0);
    let program: id::ProgramId = "p".into();
    expect_that!(
        shard.recover(&program, held(2), NOW),
        eq(shard::Recovered::Gap)
    );
    expect_that!(
        shard.recover(&program, held(1), NOW),
        eq(shard::Recovered::Applied)
    );
    expect_that!(
        shard.recover(&program, held(2), NOW),
        eq(shard::Recovered::Applied)
    );
}

#[gtest]
fn a_turn_of_the_journal_is_obsolete() {
    let mut shard = shard::Shard::new(0);
    let program: id::ProgramId = "p".into();
    shard.recover(&program, held(1), NOW);
    expect_that!(
        shard.recover(&program, held(1), NOW),
        eq(shard::Recovered::Obsolete)
    );
    expect_that!(shard.pending(), eq(1));
}

// A side holds the answer of an abandoned attempt: the turn ran again elsewhere and is in the journal with
// another answer. Guards against applying the held turn after it, whose history was never committed.
#[gtest]
fn a_turn_of_another_history_is_not_applied() {
    let mut shard = shard::Shard::new(0);
    let program: id::ProgramId = "p".into();
    let other = program::Held {
        answer: answer("another answer"),
        ..held(1)
    };
    shard.recover(&program, other, NOW);
    expect_that!(
        shard.recover(&program, held(2), NOW),
        eq(shard::Recovered::Obsolete)
    );
    let foreign = program::Held {
        team: "others".into(),
        ..held(2)
    };
    expect_that!(
        shard.recover(&program, foreign, NOW),
        eq(shard::Recovered::Obsolete)
    );
}
