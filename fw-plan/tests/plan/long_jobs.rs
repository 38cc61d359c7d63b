//! Long prefills among short turns.

use std::time::Duration;

use fw_plan::queue;
use googletest::prelude::*;

use crate::sim::trace;
use crate::sim::world;
use crate::workload;

// Every second a program arrives whose submission has 100,000 tokens. The engine computes prompts
// in order of arrival, so all short turns behind it would wait a second for their first token. They
// must go first, and the long one must still finish.
#[gtest]
fn short_programs_do_not_wait_for_long_prefills() {
    let at = |second| trace::Spec {
        at: Duration::from_secs(second),
        team: 1,
        turns: vec![turn(100_000)],
    };
    let long: Vec<_> = (0..55).map(at).collect();
    let programs = workload::merge(workload::programs(0.4), long);
    let product = world::run(workload::setup(
        workload::product_policy(),
        programs.clone(),
    ));
    let policy = workload::baseline("fewest outstanding, FCFS");
    let fewest = world::run(workload::setup(policy, programs));
    expect_that!(product.lost_fraction(), eq(0.0));
    expect_that!(product.unfinished, eq(0));
    expect_that!(
        product.latency_without_pauses(0.95),
        le(fewest.latency_without_pauses(0.95) * 0.7)
    );
}

fn turn(input: u64) -> trace::Turn {
    trace::Turn {
        input,
        output: 20,
        pause: Duration::ZERO,
        child: None,
    }
}

#[gtest]
fn one_long_prefill_runs_at_a_time() {
    let mut queue = queue::Queue::new(queue::Options::default());
    for id in 1..=2 {
        queue.push(Duration::ZERO, job(id, 100_000)).unwrap();
    }
    queue.push(Duration::ZERO, job(3, 100)).unwrap();
    let now = Duration::from_millis(1);
    let first = queue.pop(now, &queue::Running::default());
    expect_that!(first, some(eq(1)));
    let running = queue::Running {
        jobs: 1,
        long: 1,
        prefill: 10_000,
        ..queue::Running::default()
    };
    expect_that!(queue.pop(now, &running), some(eq(3)));
    expect_that!(queue.pop(now, &running), none());
}

fn job(id: u64, prompt_tokens: u64) -> queue::Job {
    queue::Job {
        id,
        team: "team".into(),
        share: 1.0,
        attained: Duration::ZERO,
        prompt_tokens,
        deadline: Duration::from_secs(60),
        alone: false,
    }
}
