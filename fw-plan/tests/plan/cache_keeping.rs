//! Retention of caches over tool pauses.

use std::time::Duration;

use fw_plan::cache_retention;
use googletest::prelude::*;

fn sample_pauses() -> cache_retention::PauseHistogram {
    let mut pauses = cache_retention::PauseHistogram::new();
    for _ in 0..500 {
        pauses.returned(Duration::from_millis(400));
        pauses.ended();
    }
    for _ in 0..50 {
        pauses.returned(Duration::from_secs(60));
    }
    pauses
}

fn paused(idle: Duration, tokens: u64) -> cache_retention::PausedProgram {
    cache_retention::PausedProgram { idle, tokens }
}

#[gtest]
fn a_short_pause_ranks_above_a_long_one() {
    let options = cache_retention::Options::default();
    let short = paused(Duration::from_millis(100), 1_000);
    let long = paused(Duration::from_secs(5), 1_000);
    let pauses = sample_pauses();
    let score = |one| cache_retention::score(&pauses, one, &options);
    expect_that!(score(&short), gt(score(&long) * 2.0));
}

#[gtest]
fn just_enough_is_freed_under_pressure() {
    let options = cache_retention::Options {
        weight: cache_retention::Weight::Cache,
        min_return_probability: 0.0,
        ..cache_retention::Options::default()
    };
    let pauses = sample_pauses();
    let all: Vec<_> = (1..=10)
        .map(|n| paused(Duration::from_millis(n * 50), 1_000))
        .collect();
    let threshold = cache_retention::threshold(&pauses, &all, 3_000, &options);
    let decide = |used| {
        let outcomes = all
            .iter()
            .map(move |one| cache_retention::decide(&pauses, one, used, threshold, &options));
        outcomes
            .filter(|outcome| *outcome == cache_retention::Outcome::Free)
            .count()
    };
    expect_that!(decide.clone()(1.0), all!(ge(3), le(5)));
    expect_that!(decide(0.5), eq(0));
}
