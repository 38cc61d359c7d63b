//! Which of the programs under way go first.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_plan::wait_queue::{Call, Expired, Options, Rank};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Ticks that a turn takes.
const TURN: u64 = 20;
/// Slots of all engines together.
const SLOTS: usize = 60;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(left: u64) -> Call {
    Call {
        time_left: Some(ms(left)),
        ..Call::default()
    }
}

#[gtest]
fn is_that_of_the_time_left_unless_one_waited_much_longer() {
    let options = Options::default();
    let much = options.rank(&call(2_000), ms(0), 1);
    expect_that!(options.rank(&call(300), ms(200), 2), lt(much));
    expect_that!(options.rank(&call(300), ms(700), 2), gt(much));
    // Beyond some seconds more time left changes nothing, so that none waits for ever.
    let most = options.rank(&call(60_000), ms(0), 1);
    expect_that!(options.rank(&call(300), ms(1_000), 2), gt(most));
}

/// One program in the play below; times in ticks.
#[derive(Clone, Copy)]
struct Program {
    turns: u64,
    done: u64,
    due: u64,
    gone: u64,
}

impl Program {
    /// Begins at `now`. Its caller expects it in 1.2 times what it takes alone and 200 ms, and
    /// leaves after twice that time.
    fn begin(now: u64, turns: u64) -> Self {
        let time = turns * TURN * 6 / 5 + 20;
        Self {
            turns,
            done: 0,
            due: now + time,
            gone: now + 2 * time,
        }
    }

    fn call(&self, now: u64) -> Call {
        Call {
            time_left: Some(TICK * self.due.saturating_sub(now) as u32),
            begins_program: self.done == 0,
            ..Call::default()
        }
    }
}

/// What became of the programs.
#[derive(Debug, Default)]
struct Outcome {
    all: u32,
    in_time: u32,
    late: u32,
}

/// Plays five seconds in which programs of three and of seven turns come half as fast again as the
/// engines can serve them, within thirty of an ordinary load.
fn play(options: &Options, seed: u64) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut waiting = BTreeMap::<Rank, (Program, u64)>::new();
    let mut running: Vec<(u64, Program)> = Vec::new();
    let (mut outcome, mut number) = (Outcome::default(), 0);
    for now in 0..4_500_u64 {
        let mut ready = Vec::new();
        running.retain_mut(|(until, program)| {
            if *until > now {
                return true;
            }
            program.done += 1;
            if program.done < program.turns {
                ready.push(*program);
            } else {
                outcome.in_time += u32::from(now <= program.due);
                outcome.late += u32::from(now > program.due);
            }
            false
        });
        let load = if (500..1_000).contains(&now) {
            1.5
        } else {
            0.75
        };
        // Five turns are the mean.
        let chance = load * SLOTS as f64 / (TURN as f64 * 5.0);
        if now < 3_000 && rng.random::<f64>() < chance {
            let turns = if rng.random() { 3 } else { 7 };
            outcome.all += 1;
            ready.push(Program::begin(now, turns));
        }
        for program in ready {
            number += 1;
            let rank = options.rank(&program.call(now), TICK * now as u32, number);
            waiting.insert(rank, (program, now));
        }
        let most = (options.max_wait.as_millis() / TICK.as_millis()) as u64;
        waiting.retain(|_, (program, since)| {
            let refused =
                now - *since >= most && options.expire(&program.call(now), 0.0) != Expired::Send;
            !refused && now < program.gone
        });
        while running.len() < SLOTS
            && let Some((_, (program, _))) = waiting.pop_first()
        {
            running.push((now + TURN, program));
        }
    }
    outcome
}

// A burst of short and of long conversations. In order of arrival a short one, which is due within
// the second, waits behind long ones that have several seconds left; both sorts come late. With
// those first that are due first, the long ones use the time that they have.
#[gtest]
fn brings_more_programs_to_their_end_in_time() {
    let options = Options::default();
    let arrival = Options {
        due_weight: 0.0,
        ..Options::default()
    };
    let mut sum = (0, 0, 0);
    for seed in 0..8 {
        let (ours, theirs) = (play(&options, seed), play(&arrival, seed));
        sum.0 += ours.all;
        sum.1 += ours.in_time;
        sum.2 += theirs.in_time;
    }
    let (all, ours, theirs) = sum;
    // 94 of 100 in time; in order of arrival 84.
    expect_that!(ours * 100, ge(all * 92));
    expect_that!(theirs * 100, le(all * 86));
}
