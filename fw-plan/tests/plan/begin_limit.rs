//! Programs that may begin while others are under way.

use fw_plan::wait_queue::Options;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Slots of all engines together.
const SLOTS: usize = 60;
/// Programs whose prompts the engines' caches hold.
const CACHED: usize = 120;
/// Time of a turn whose prompt is cached, and of one whose prompt is not, in milliseconds.
const WARM: u32 = 150;
const COLD: u32 = 300;
/// Turns of a program, and the pause after each, in milliseconds.
const TURNS: u32 = 6;
const PAUSE: u32 = 120;
/// Time within which a program is of use, in milliseconds.
const AIM: u32 = 2_200;
/// When the burst begins and ends, in milliseconds.
const BURST: std::ops::Range<u32> = 3_000..9_000;

#[derive(Clone, Debug)]
struct Program {
    begun: u32,
    left: u32,
    /// When it sends its next turn, or its turn ends.
    next: u32,
    runs: bool,
}

/// Programs that ended in time, by the second in which they came, of those that came then.
fn play(limited: bool) -> Vec<f64> {
    let options = Options::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut under_way: Vec<Program> = Vec::new();
    let (mut came, mut timely) = ([0_u32; 20], [0_u32; 20]);
    for now in 0..30_000 {
        let rate = if BURST.contains(&now) { 0.14 } else { 0.05 };
        let running = under_way.iter().filter(|program| program.runs).count();
        let waiting = under_way
            .iter()
            .filter(|program| !program.runs && program.next <= now)
            .count();
        if now < 20_000 && rng.random::<f64>() < rate {
            came[now as usize / 1_000] += 1;
            let load = (running + waiting) as f64;
            if !limited || options.may_begin(0, SLOTS as f64, load) {
                under_way.push(Program {
                    begun: now,
                    left: TURNS,
                    next: now,
                    runs: false,
                });
            }
        }
        let mut free = SLOTS - running;
        let takes = match under_way.len() > CACHED {
            true => COLD,
            false => WARM,
        };
        for program in &mut under_way {
            if program.next > now {
                continue;
            }
            if program.runs {
                program.runs = false;
                program.left -= 1;
                program.next = now + PAUSE;
            } else if free > 0 {
                free -= 1;
                program.runs = true;
                program.next = now + takes;
            }
        }
        under_way.retain(|program| {
            let ended = program.left == 0;
            if ended && now - program.begun <= AIM {
                timely[program.begun as usize / 1_000] += 1;
            }
            !ended
        });
    }
    let parts = timely.iter().zip(came);
    parts
        .map(|(timely, came)| f64::from(*timely) / f64::from(came))
        .collect()
}

// A burst brings more programs than the engines can finish. All began, and with more under way than the
// caches hold each turn took twice as long: nearly none was in time until long after the burst.
#[gtest]
fn is_kept_so_that_lateness_ends_with_the_burst() {
    let (without, with) = (play(false), play(true));
    let burst = 4..9;
    let mean = |parts: &[f64]| parts.iter().sum::<f64>() / parts.len() as f64;
    expect_that!(mean(&without[burst.clone()]), lt(0.2));
    expect_that!(mean(&with[burst]), gt(0.4));
    expect_that!(mean(&without[10..13]), lt(0.2));
    expect_that!(mean(&with[10..13]), gt(0.9));
}

#[gtest]
fn is_lower_for_less_urgent_programs() {
    let options = Options::default();
    expect_true!(options.may_begin(0, 100.0, 115.0));
    expect_false!(options.may_begin(1, 100.0, 115.0));
    expect_true!(options.may_begin(1, 100.0, 105.0));
    expect_false!(options.may_begin(0, 100.0, 125.0));
}
