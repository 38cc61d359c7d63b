//! Sustained overload: twice and five times the capacity of the engines.

use std::time::Duration;

use googletest::prelude::*;

use crate::sim::world;
use crate::workload;

// Callers send more programs than can be finished, for the whole run. Without admission every
// program starts, every turn waits behind all others until its caller has given up, and engines
// work for callers that have left. Started programs must finish, about as many as at full load, and
// the rest must be refused at once.
#[gtest]
fn finishes_what_it_starts_at_twice_the_capacity() {
    check(2.0);
}

#[gtest]
fn finishes_what_it_starts_at_five_times_the_capacity() {
    check(5.0);
}

fn check(load: f64) {
    let full = workload::run(workload::product_policy(), 1.0);
    let over = workload::run(workload::product_policy(), load);
    expect_that!(over.goodput(), ge(full.goodput() * 0.95));
    expect_that!(over.lost_fraction(), le(0.01));
    expect_that!(over.refused_fraction(), ge(0.3));
    expect_that!(over.slowest_refusal, le(Duration::from_secs(2)));
}

#[gtest]
fn a_policy_without_admission_loses_programs() {
    let over = workload::run(workload::baseline("fewest outstanding, FCFS"), 5.0);
    expect_that!(over.lost_fraction(), ge(0.1));
}

// Case status and documents are requested while the programs' engines are overloaded, and their own
// upstreams get twice the load that they can serve. Callers whose request is answered must not wait
// much longer than on a quiet day.
#[gtest]
fn plain_requests_stay_quick_at_twice_the_capacity() {
    let at = |load| {
        let programs = workload::programs(load);
        world::run(world::Setup {
            plain_load: load,
            ..workload::setup(workload::product_policy(), programs)
        })
    };
    let (half, double) = (at(0.5), at(2.0));
    expect_that!(
        double.plain_latency(0.99),
        le(half.plain_latency(0.99) * 1.5)
    );
    expect_that!(double.plain_refused_fraction(), le(0.65));
}
