//! Limit on programs that begin while others are under way.

use fw_plan::wait_queue::Options;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Slots of all engines together.
const SLOTS: usize = 60;
/// Programs whose prompts the engines' caches hold.
const CACHED_PROGRAMS: usize = 120;
/// Time of a turn whose prompt is cached, and of one whose prompt is not, in milliseconds.
const CACHED_TURN_MS: u32 = 150;
const UNCACHED_TURN_MS: u32 = 300;
/// Turns of a program, and the pause after each, in milliseconds.
const TURNS: u32 = 6;
const PAUSE_MS: u32 = 120;
/// Time within which a program has to end, in milliseconds.
const TIME_LIMIT_MS: u32 = 2_200;
/// Time of the burst, in milliseconds.
const BURST_MS: std::ops::Range<u32> = 3_000..9_000;

#[derive(Clone, Debug)]
struct Program {
    begun_at: u32,
    turns_left: u32,
    /// Time of its next turn, or of the end of its turn.
    next_at: u32,
    is_running: bool,
}

/// Share of the programs that end in time, by the second of their arrival.
fn simulate(limited: bool) -> Vec<f64> {
    let options = Options::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut under_way: Vec<Program> = Vec::new();
    let (mut arrived, mut in_time) = ([0_u32; 20], [0_u32; 20]);
    for now in 0..30_000 {
        let rate = if BURST_MS.contains(&now) { 0.14 } else { 0.05 };
        let running = under_way
            .iter()
            .filter(|program| program.is_running)
            .count();
        let waiting = under_way
            .iter()
            .filter(|program| !program.is_running && program.next_at <= now)
            .count();
        if now < 20_000 && rng.random::<f64>() < rate {
            arrived[now as usize / 1_000] += 1;
            let load = (running + waiting) as f64;
            if !limited || options.may_begin(0, SLOTS as f64, load) {
                under_way.push(Program {
                    begun_at: now,
                    turns_left: TURNS,
                    next_at: now,
                    is_running: false,
                });
            }
        }
        let mut free = SLOTS - running;
        let duration = match under_way.len() > CACHED_PROGRAMS {
            true => UNCACHED_TURN_MS,
            false => CACHED_TURN_MS,
        };
        for program in &mut under_way {
            if program.next_at > now {
                continue;
            }
            if program.is_running {
                program.is_running = false;
                program.turns_left -= 1;
                program.next_at = now + PAUSE_MS;
            } else if free > 0 {
                free -= 1;
                program.is_running = true;
                program.next_at = now + duration;
            }
        }
        under_way.retain(|program| {
            let ended = program.turns_left == 0;
            if ended && now - program.begun_at <= TIME_LIMIT_MS {
                in_time[program.begun_at as usize / 1_000] += 1;
            }
            !ended
        });
    }
    let parts = in_time.iter().zip(arrived);
    parts
        .map(|(in_time, arrived)| f64::from(*in_time) / f64::from(arrived))
        .collect()
}

// Guards against programs that stay late long after a burst: it brings more of them than the
// engines can finish. If all begin, more are under way than the caches hold, each turn takes twice
// as long, and nearly none is in time until long after the burst.
#[gtest]
fn limit_ends_lateness_with_the_burst() {
    let (without, with) = (simulate(false), simulate(true));
    let burst = 4..9;
    let mean = |parts: &[f64]| parts.iter().sum::<f64>() / parts.len() as f64;
    expect_that!(mean(&without[burst.clone()]), lt(0.2));
    expect_that!(mean(&with[burst]), gt(0.4));
    expect_that!(mean(&without[10..13]), lt(0.2));
    expect_that!(mean(&with[10..13]), gt(0.9));
}

#[gtest]
fn limit_is_lower_for_less_urgent_programs() {
    let options = Options::default();
    expect_true!(options.may_begin(0, 100.0, 115.0));
    expect_false!(options.may_begin(1, 100.0, 115.0));
    expect_true!(options.may_begin(1, 100.0, 105.0));
    expect_false!(options.may_begin(0, 100.0, 125.0));
}
