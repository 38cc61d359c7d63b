//! Distinguishing slow upstreams from noise.

use std::time::Duration;

use fw_plan::pace::{Options, Pace};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};

/// Ratio of a time to the mean, with a spread of a factor of two.
fn ratio(rng: &mut rand_pcg::Pcg64) -> f64 {
    // The sum of a few uniform draws approximates a normal distribution.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * 0.7 - 0.245).exp()
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

#[gtest]
fn does_not_mistake_noise_for_slowness() {
    // Guards against noise in the lengths of turns that looks like slow engines. An entry sends
    // each engine two turns a second; most engines then look one and a half times slower than the
    // rest at any time, turns go anywhere but where their prompts are cached, and a third of the
    // engines' time goes into prefill of prompts that were cached elsewhere.
    let options = Options::default();
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let mut false_positives = 0;
    for _ in 0..200 {
        let mut pace = Pace::default();
        for call in 0..40 {
            let now = secs(f64::from(call) * 0.5);
            pace.record(&options, ratio(&mut rng), now);
            false_positives += u32::from(pace.slowness(&options, now) > 1.1);
        }
    }
    // Of 8,000 checks.
    expect_that!(false_positives, lt(400));
}

#[gtest]
fn detects_an_upstream_five_times_slower() {
    let options = Options::default();
    let mut rng = rand_pcg::Pcg64::seed_from_u64(2);
    let mut detected = 0;
    for _ in 0..200 {
        let mut pace = Pace::default();
        for call in 0..8 {
            let now = secs(f64::from(call) * 0.5);
            pace.record(&options, 5.0 * ratio(&mut rng), now);
        }
        detected += u32::from(pace.slowness(&options, secs(3.5)) > 1.3);
    }
    // Of 200 upstreams, after eight calls each.
    expect_that!(detected, gt(190));
}

#[gtest]
fn retries_a_slow_upstream_after_expiry() {
    let options = Options::default();
    let mut pace = Pace::default();
    for call in 0..20 {
        pace.record(&options, 5.0, secs(f64::from(call)));
    }
    expect_that!(pace.slowness(&options, secs(19.0)), gt(3.0));
    expect_that!(pace.slowness(&options, secs(23.0)), eq(1.0));
    // Earlier calls no longer count.
    pace.record(&options, 1.0, secs(23.0));
    expect_that!(pace.slowness(&options, secs(23.0)), eq(1.0));
}
