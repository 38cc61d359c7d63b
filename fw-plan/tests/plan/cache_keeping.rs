//! Which caches to keep over a tool pause.

use std::time::Duration;

use fw_plan::cache_retention;
use googletest::prelude::*;

fn learnt() -> cache_retention::Pauses {
    let mut pauses = cache_retention::Pauses::new();
    for _ in 0..500 {
        pauses.returned(Duration::from_millis(400));
        pauses.ended();
    }
    for _ in 0..50 {
        pauses.returned(Duration::from_secs(60));
    }
    pauses
}

fn paused(paused: Duration, tokens: u64) -> cache_retention::Paused {
    cache_retention::Paused { paused, tokens }
}

#[gtest]
fn one_that_will_return_soon_ranks_before_one_that_is_long_gone() {
    let options = cache_retention::Options::default();
    let soon = paused(Duration::from_millis(100), 1_000);
    let gone = paused(Duration::from_secs(5), 1_000);
    let pauses = learnt();
    let score = |one| cache_retention::score(&pauses, one, &options);
    expect_that!(score(&soon), gt(score(&gone) * 2.0));
}

#[gtest]
fn just_enough_is_freed_under_pressure() {
    let options = cache_retention::Options {
        weight: cache_retention::Weight::Cache,
        least_chance: 0.0,
        ..cache_retention::Options::default()
    };
    let pauses = learnt();
    let all: Vec<_> = (1..=10)
        .map(|n| paused(Duration::from_millis(n * 50), 1_000))
        .collect();
    let line = cache_retention::line(&pauses, &all, 3_000, &options);
    let decide = |used| {
        let outcomes = all
            .iter()
            .map(move |one| cache_retention::decide(&pauses, one, used, line, &options));
        outcomes
            .filter(|outcome| *outcome == cache_retention::Outcome::Free)
            .count()
    };
    expect_that!(decide.clone()(1.0), all!(ge(3), le(5)));
    expect_that!(decide(0.5), eq(0));
}
