//! Costs of the keeper: programs in memory, and turns that are begun, finished and journalled.

use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use fw_keep::program;
use fw_keep::shard;

use crate::process;
use crate::slope;

/// Concurrent programs per entry at the design size.
const PROGRAMS_PER_ENTRY: f64 = 140_000.0 / 380.0;
/// Turns a second per entry at the design size, if every request is a turn.
const TURNS_PER_ENTRY: f64 = 16_000.0 / 380.0;
/// Bytes of text per token.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Tokens of a history halfway through its program: half of the longest.
const HALF_HISTORY_TOKENS: f64 = 375_000.0;

/// Measures the rows of this role.
pub fn measure() -> Vec<slope::Row> {
    vec![memory_per_program(), memory_per_token(), time_per_turn()]
}

fn memory_per_program() -> slope::Row {
    let sizes = [1_000, 4_000, 16_000, 64_000];
    let point = |programs: usize| {
        let before = process::resident();
        let shard = filled(programs, 64);
        let after = process::resident();
        process::leak(shard);
        (programs as f64, (after - before) / 1024.0)
    };
    slope::Row {
        role: "keeper",
        what: "memory for each program, history apart",
        unit: "KiB",
        points: sizes.into_iter().map(point).collect(),
        target: PROGRAMS_PER_ENTRY,
        target_note: "140,000 programs over 380 entries",
    }
}

fn memory_per_token() -> slope::Row {
    let sizes = [20_000, 40_000, 80_000, 160_000];
    let programs = 64;
    let point = |tokens: usize| {
        let before = process::resident();
        let shard = filled(programs, tokens * BYTES_PER_TOKEN as usize);
        let after = process::resident();
        process::leak(shard);
        (tokens as f64, (after - before) / programs as f64)
    };
    slope::Row {
        role: "keeper",
        what: "memory for each token of history",
        unit: "B",
        points: sizes.into_iter().map(point).collect(),
        target: HALF_HISTORY_TOKENS * PROGRAMS_PER_ENTRY,
        target_note: "368 programs of 375,000 tokens",
    }
}

fn time_per_turn() -> slope::Row {
    let sizes = [500, 1_000, 2_000, 4_000];
    let point = |turns: usize| {
        let mut shard = shard::Shard::new(0);
        let cpu_time = process::cpu_time(|| {
            for n in 0..turns {
                run_turn(&mut shard, &name(n), 2_000);
            }
            std::hint::black_box(shard.take_batch());
        });
        (turns as f64, cpu_time.as_secs_f64() * 1e6)
    };
    slope::Row {
        role: "keeper",
        what: "processor time for each turn of 2,000 bytes: begin, digest, finish",
        unit: "us",
        points: sizes.into_iter().map(point).collect(),
        target: TURNS_PER_ENTRY,
        target_note: "42 turns a second: us of each second",
    }
}

fn filled(programs: usize, bytes: usize) -> shard::Shard {
    let mut shard = shard::Shard::new(0);
    for n in 0..programs {
        run_turn(&mut shard, &name(n), bytes);
        // Drains the journal as a flush to the store would: otherwise pending entries count twice.
        shard.take_batch();
    }
    shard
}

fn name(n: usize) -> id::ProgramId {
    format!("program-{n}").into()
}

fn run_turn(shard: &mut shard::Shard, name: &id::ProgramId, bytes: usize) {
    let now = Duration::from_secs(1);
    let begin = program::Begin {
        team: "team".into(),
        history: program::History::Delta,
        messages: vec![chat::Message::text("user", &"x".repeat(bytes))],
        params: digest::Digest::EMPTY,
        attempt: 1,
        ..program::Begin::default()
    };
    shard.begin(name, begin, now);
    let answer = program::Answer {
        message: chat::Message::text("assistant", "done"),
        finish_reason: "stop".to_owned(),
        usage: chat::Usage::default(),
    };
    shard.finish(name, 1, answer, now);
}
