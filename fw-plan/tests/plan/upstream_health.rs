//! Which upstreams may be used.

use std::time::Duration;

use fw_base::id;
use fw_plan::health;
use googletest::prelude::*;

fn name(index: usize) -> id::UpstreamId {
    format!("llm-{index}").into()
}

fn listed(count: usize) -> health::Health {
    let mut health = health::Health::new(health::Options::default());
    let line = |index| health::ListedUpstream {
        upstream: name(index),
        leaving: false,
    };
    let list: Vec<_> = (0..count).map(line).collect();
    health.update_list(Duration::ZERO, &list);
    health
}

fn usable(health: &health::Health, now: Duration, count: usize) -> usize {
    let weight = |index| health.decide(now, &name(index)).weight();
    (0..count).filter(|index| weight(*index) > 0.0).count()
}

// This process's own network fails: every call and heartbeat to every upstream fails. Ejecting
// them all would refuse everything, also when the network is back and the ejections still run.
#[gtest]
fn most_upstreams_are_never_ejected() {
    let mut health = listed(9);
    for round in 0..50 {
        for index in 0..9 {
            let now = Duration::from_millis(round * 10);
            health.observe(now, &name(index), health::Observation::Failed);
        }
    }
    expect_that!(usable(&health, Duration::from_millis(500), 9), ge(6));
}

#[gtest]
fn a_failing_upstream_is_ejected_for_longer_each_time() {
    let mut health = listed(9);
    let mut now = Duration::ZERO;
    let mut lengths = Vec::new();
    for _ in 0..3 {
        health.observe(now, &name(0), health::Observation::Down);
        let start = now;
        while health.decide(now, &name(0)).weight() == 0.0 {
            now += Duration::from_millis(100);
        }
        lengths.push(now - start);
    }
    expect_that!(lengths[1], gt(lengths[0]));
    expect_that!(lengths[2], gt(lengths[1]));
}

// Half of all calls fail everywhere, say for a bad model version. Three failures in a row are
// then common by chance; ejecting for them would take a third of the engines from a service that
// is in trouble already. The rate is learnt within the first three seconds.
#[gtest]
fn common_failures_eject_nobody() {
    let mut health = listed(9);
    for round in 0..600 {
        for index in 0..9 {
            let now = Duration::from_millis(round * 10);
            // Runs of four failures and four answers, at another phase for each upstream.
            let fails = (round as usize + index) % 8 < 4;
            let seen = if fails {
                health::Observation::Failed
            } else {
                health::Observation::Answered
            };
            health.observe(now, &name(index), seen);
        }
        if round > 300 {
            let now = Duration::from_millis(round * 10);
            assert_that!(usable(&health, now, 9), eq(9));
        }
    }
}

// The instance list lags: it still calls an upstream live that has said itself that it leaves,
// and lacks one that answers. What is seen goes before what is listed.
#[gtest]
fn own_observations_go_before_the_list() {
    let mut health = listed(3);
    let now = Duration::from_secs(1);
    health.observe(now, &name(0), health::Observation::Leaving);
    health.update_list(now, &[]);
    let line = health::ListedUpstream {
        upstream: name(0),
        leaving: false,
    };
    health.update_list(now, &[line]);
    health.observe(now, &name(1), health::Observation::Answered);
    let leaving = health::Outcome::Unusable {
        reason: health::Reason::Leaving,
    };
    expect_that!(health.decide(now, &name(0)), eq(leaving));
    expect_that!(health.decide(now, &name(1)).weight(), eq(1.0));
}

// A request crashes one engine, and the next one it is tried on. Of three, one only may be ejected, so
// the second stayed in use although it had said that it was down: a good call was sent to the crashed
// two, three times over, and its caller heard that there was no upstream, beside an idle one.
#[gtest]
fn one_that_is_down_is_left_out_beyond_the_bound() {
    let mut health = listed(3);
    let now = Duration::from_secs(1);
    health.observe(now, &name(0), health::Observation::Down);
    health.observe(now, &name(1), health::Observation::Down);
    expect_that!(usable(&health, now, 3), eq(1));
    // It is back as soon as it answers.
    health.observe(now, &name(1), health::Observation::Answered);
    expect_that!(usable(&health, now, 3), eq(2));
    // Where nobody asks it, it is tried again once an ejection's time is over.
    health.observe(now, &name(1), health::Observation::Down);
    let later = now + health::Options::default().first_ejection;
    expect_that!(health.decide(later, &name(1)).weight(), gt(0.0));
}
