//! Health of upstreams.

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

// Guards against a fault of this process's own network, through which every call and heartbeat to
// every upstream fails. Ejecting all would refuse everything, even after the network is back, until
// the ejections end.
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

// Guards against ejections while half of all calls fail everywhere, for example because of a bad
// model version. Three failures in a row are then common by chance; ejecting for them takes a third
// of the engines from a service that is in trouble already. The rate is learnt within the first
// three seconds.
#[gtest]
fn common_failures_eject_no_upstream() {
    let mut health = listed(9);
    for round in 0..600 {
        for index in 0..9 {
            let now = Duration::from_millis(round * 10);
            // Runs of four failures and four answers, with a different phase for each upstream.
            let fails = (round as usize + index) % 8 < 4;
            let observation = if fails {
                health::Observation::Failed
            } else {
                health::Observation::Answered
            };
            health.observe(now, &name(index), observation);
        }
        if round > 300 {
            let now = Duration::from_millis(round * 10);
            assert_that!(usable(&health, now, 9), eq(9));
        }
    }
}

// The instance list lags: it still lists an upstream as live that has reported that it is leaving,
// and lacks one that answers. Observations take precedence over the list.
#[gtest]
fn own_observations_override_the_list() {
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

// Guards against calls to engines that are known to be down. A request crashes one engine, and the
// next one on which it is retried. Of three, only one may be ejected, so that the second would stay
// in use although it reported that it is down: a good call is sent to the crashed two, three times
// over, and its caller is told that there is no upstream, beside an idle one.
#[gtest]
fn a_down_upstream_is_excluded_beyond_the_ejection_limit() {
    let mut health = listed(3);
    let now = Duration::from_secs(1);
    health.observe(now, &name(0), health::Observation::Down);
    health.observe(now, &name(1), health::Observation::Down);
    expect_that!(usable(&health, now, 3), eq(1));
    // It is back as soon as it answers.
    health.observe(now, &name(1), health::Observation::Answered);
    expect_that!(usable(&health, now, 3), eq(2));
    // If it is not polled, it is tried again once the time of an ejection has passed.
    health.observe(now, &name(1), health::Observation::Down);
    let later = now + health::Options::default().first_ejection;
    expect_that!(health.decide(later, &name(1)).weight(), gt(0.0));
}
