//! One engine is three times as slow as the others, or crashes and returns repeatedly.

use std::time::Duration;

use googletest::prelude::*;

use crate::sim::policy;
use crate::sim::stats;
use crate::sim::world;
use crate::workload;

const LOAD: f64 = 0.7;

fn run(policy: policy::Policy, script: Vec<(Duration, world::Fault)>) -> stats::Stats {
    world::run(world::Setup {
        script,
        ..workload::setup(policy, workload::programs(LOAD))
    })
}

// An engine's steps take three times as long, for example because of another load on its host. It
// answers, so it is not dead, but a third of all callers would wait three times as long for each
// turn. It must get the work that it can do and no more, and callers must notice little.
#[gtest]
fn gets_less_work_and_is_still_used() {
    let slow = vec![(Duration::ZERO, world::Fault::Slow(0, 3.0))];
    let product = run(workload::product_policy(), slow);
    let all: u64 = product.by_upstream.iter().sum();
    let part = product.by_upstream[0] as f64 / all as f64;
    expect_that!(part, all!(gt(0.02), lt(0.25)));
    expect_that!(product.lost_fraction(), le(0.01));
    let healthy = run(workload::product_policy(), Vec::new());
    expect_that!(
        product.program_latency(0.95),
        le(healthy.program_latency(0.95) * 1.6)
    );
}

// An engine crashes every eight seconds and returns four seconds later. Each crash fails the turns
// that ran there; after each return it is idle and would attract all new work, which fails again.
// No program may be lost, and few refused.
#[gtest]
fn flapping_costs_no_program() {
    let flap = |second: u64| {
        let crash = (Duration::from_secs(second), world::Fault::Crash(0));
        let up = (Duration::from_secs(second + 4), world::Fault::Up(0));
        [crash, up]
    };
    let script: Vec<_> = (0..60).step_by(8).flat_map(flap).collect();
    let product = run(workload::product_policy(), script.clone());
    expect_that!(product.lost_fraction(), le(0.005));
    let policy = workload::baseline("fewest outstanding, FCFS");
    let fewest = run(policy, script);
    expect_that!(product.goodput(), ge(fewest.goodput()));
}
