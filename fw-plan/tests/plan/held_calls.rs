//! Which held-back call goes first.

use std::time::Duration;

use fw_plan::hold::{Call, Options};
use googletest::prelude::*;

const URGENT: Call = Call {
    priority: 0,
    late: false,
};
const OTHER: Call = Call {
    priority: 1,
    late: false,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn is_the_urgent_one_unless_the_other_waited_much_longer() {
    let options = Options::default();
    let other = options.rank(&OTHER, ms(0), 1);
    expect_that!(options.rank(&URGENT, ms(50), 2), lt(other));
    expect_that!(options.rank(&URGENT, ms(100), 2), gt(other));
    // Among equals the first to arrive.
    expect_that!(options.rank(&OTHER, ms(0), 2), gt(other));
}

#[gtest]
fn is_not_one_whose_program_is_late_already() {
    // A program that has missed its time earns little more by being a little less late; the slot
    // makes another miss its time too.
    let options = Options::default();
    let late = Call {
        late: true,
        ..URGENT
    };
    let late = options.rank(&late, ms(0), 1);
    expect_that!(options.rank(&OTHER, ms(100), 2), lt(late));
    expect_that!(options.rank(&OTHER, ms(400), 2), gt(late));
}

#[gtest]
fn goes_where_there_is_room() {
    let options = Options::default();
    expect_true!(options.has_room(6, 7.0));
    expect_false!(options.has_room(6, 7.5));
    expect_true!(options.has_room(0, 0.0));
}

/// Plays a burst over one engine, and returns by class the mean wait of calls in milliseconds.
fn waits(options: &Options) -> (f64, f64) {
    // Twice as many calls arrive for a second as the engine's slots can serve.
    let mut waiting = std::collections::BTreeMap::new();
    let (mut urgent, mut other) = (Vec::new(), Vec::new());
    for tick in 0..400_u64 {
        let now = ms(tick * 10);
        if tick < 100 {
            for (number, call) in [(0, URGENT), (1, OTHER)] {
                waiting.insert(options.rank(&call, now, tick * 2 + number), (call, tick));
            }
        }
        if let Some((_, (call, since))) = waiting.pop_first() {
            let wait = ((tick - since) * 10) as f64;
            let class = if call.priority == 0 {
                &mut urgent
            } else {
                &mut other
            };
            class.push(wait);
        }
    }
    let mean = |waits: &[f64]| waits.iter().sum::<f64>() / waits.len() as f64;
    (mean(&urgent), mean(&other))
}

#[gtest]
fn favours_urgent_calls_in_a_burst_without_starving_others() {
    let (urgent, other) = waits(&Options::default());
    expect_that!(urgent, lt(other));
    let in_order = Options {
        less_urgent: Duration::ZERO,
        ..Options::default()
    };
    let (same, before) = waits(&in_order);
    // In order of arrival both wait alike.
    expect_that!((same - before).abs(), lt(15.0));
    // The others wait longer than in order of arrival, but by less than the bonus.
    expect_that!(other - before, le(80.0));
    expect_that!(same - urgent, ge(20.0));
}
