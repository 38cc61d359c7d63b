//! A burst of programs within one second.

use std::time::Duration;

use googletest::prelude::*;

use crate::sim::trace;
use crate::sim::world;
use crate::workload;

// At half load, as many programs as usually arrive in ten seconds arrive within one. A caller gets
// either an answer or a prompt refusal, no started program is lost, and half a minute later no
// trace of the burst is left.
#[gtest]
fn is_absorbed_or_refused_at_once() {
    let burst = burst();
    let programs = workload::merge(workload::programs(0.5), burst);
    let stats = world::run(workload::setup(workload::product_policy(), programs));
    expect_that!(stats.lost_fraction(), eq(0.0));
    expect_that!(stats.unfinished, eq(0));
    expect_that!(stats.slowest_refusal, le(Duration::from_secs(2)));
    let quiet = workload::run(workload::product_policy(), 0.5);
    expect_that!(
        stats.program_latency(0.5),
        le(quiet.program_latency(0.5) * 3.0)
    );
}

fn burst() -> Vec<trace::Spec> {
    let usual = workload::shape().programs(0.5, Duration::from_secs(10), 2);
    let within = |spec: trace::Spec| trace::Spec {
        at: Duration::from_secs(15) + spec.at / 10,
        ..spec
    };
    usual.into_iter().map(within).collect()
}
