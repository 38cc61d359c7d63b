//! Telling slow upstreams from chance.

use std::time::Duration;

use fw_plan::pace::{Options, Pace};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};

/// A time against the mean, with a spread of a factor of two.
fn ratio(rng: &mut rand_pcg::Pcg64) -> f64 {
    // The sum of a few uniform draws is near enough to normal.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * 0.7 - 0.245).exp()
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

#[gtest]
fn does_not_take_chance_for_slowness() {
    // Turns differ in length. An entry sent each engine two a second, and most engines looked one
    // and a half times slower than the rest at any time: it sent turns anywhere but where their
    // prompts were cached, and a third of the engines' time went into reading prompts again.
    let options = Options::default();
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let mut slow = 0;
    for _ in 0..200 {
        let mut pace = Pace::default();
        for call in 0..40 {
            let now = secs(f64::from(call) * 0.5);
            pace.record(&options, ratio(&mut rng), now);
            slow += u32::from(pace.slowness(&options, now) > 1.1);
        }
    }
    // Of 8,000 looks.
    expect_that!(slow, lt(400));
}

#[gtest]
fn finds_one_that_is_five_times_slower() {
    let options = Options::default();
    let mut rng = rand_pcg::Pcg64::seed_from_u64(2);
    let mut found = 0;
    for _ in 0..200 {
        let mut pace = Pace::default();
        for call in 0..8 {
            let now = secs(f64::from(call) * 0.5);
            pace.record(&options, 5.0 * ratio(&mut rng), now);
        }
        found += u32::from(pace.slowness(&options, secs(3.5)) > 1.3);
    }
    // Of 200 upstreams, after eight calls each.
    expect_that!(found, gt(190));
}

#[gtest]
fn tries_a_slow_one_again() {
    let options = Options::default();
    let mut pace = Pace::default();
    for call in 0..20 {
        pace.record(&options, 5.0, secs(f64::from(call)));
    }
    expect_that!(pace.slowness(&options, secs(19.0)), gt(3.0));
    expect_that!(pace.slowness(&options, secs(23.0)), eq(1.0));
    // What it showed before counts no more.
    pace.record(&options, 1.0, secs(23.0));
    expect_that!(pace.slowness(&options, secs(23.0)), eq(1.0));
}
