//! Workloads of the simulation that are small enough for debug builds.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::sim::policy;
use crate::sim::stats;
use crate::sim::trace;
use crate::sim::world;

pub const MEASURE_FROM: Duration = Duration::from_secs(10);
pub const LAST_ARRIVAL: Duration = Duration::from_secs(30);
pub const END: Duration = Duration::from_secs(60);

/// Three engines, and programs short enough to end within a run.
pub fn shape() -> trace::Shape {
    trace::Shape {
        engines: 3,
        plain: 3,
        long_turns: 8.0,
        long_pause: 1.0,
        ..trace::SURATWALA
    }
}

pub fn setup(policy: policy::Policy, programs: Vec<trace::Spec>) -> world::Setup {
    world::Setup {
        shape: shape(),
        policy,
        programs,
        plain_load: 0.0,
        seed: 1,
        measure_from: MEASURE_FROM,
        last_arrival: LAST_ARRIVAL,
        end: END,
        script: Vec::new(),
    }
}

pub fn programs(load: f64) -> Vec<trace::Spec> {
    shape().programs(load, END, 1)
}

pub fn product_policy() -> policy::Policy {
    policy::Policy::product(&shape())
}

pub fn baseline(name: &str) -> policy::Policy {
    let all = policy::Policy::all(&shape());
    all.into_iter().find(|policy| policy.name == name).unwrap()
}

pub fn run(policy: policy::Policy, load: f64) -> stats::Stats {
    world::run(setup(policy, programs(load)))
}

/// Property tests use the same cases in every run.
pub fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Merges two traces in order of arrival.
pub fn merge(mut one: Vec<trace::Spec>, other: Vec<trace::Spec>) -> Vec<trace::Spec> {
    one.extend(other);
    one.sort_by_key(|spec| spec.at);
    one
}
