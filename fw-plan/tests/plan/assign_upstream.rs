//! Which upstream gets a call.

use std::time::Duration;

use fw_plan::assign::{Candidate, Options, choose};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn usual() -> Candidate {
    Candidate {
        slots: 6,
        slowness: 1.0,
        ..Candidate::default()
    }
}

fn chosen(candidates: &[Candidate]) -> Option<usize> {
    choose(
        &Options::default(),
        candidates,
        &mut Pcg64::seed_from_u64(1),
    )
}

#[gtest]
fn is_the_warm_one_until_it_is_full() {
    let warm = Candidate {
        own_calls: 4,
        ..usual()
    };
    let cold = Candidate {
        prefill: Duration::from_millis(15),
        ..usual()
    };
    expect_that!(chosen(&[cold, warm]), some(eq(1)));
    let full = Candidate {
        own_calls: 9,
        ..warm
    };
    expect_that!(chosen(&[cold, full]), some(eq(0)));
}

#[gtest]
fn believes_others_load_less_the_older_it_is() {
    let fresh = Candidate {
        reported_calls: 12,
        ..usual()
    };
    let old = Candidate {
        report_age: Duration::from_secs(5),
        ..fresh
    };
    expect_that!(chosen(&[fresh, old]), some(eq(1)));
}

#[gtest]
fn avoids_slow_and_distant_ones_among_equals() {
    let slow = Candidate {
        slowness: 3.0,
        ..usual()
    };
    let remote = Candidate {
        remote: true,
        ..usual()
    };
    expect_that!(chosen(&[slow, remote, usual()]), some(eq(2)));
    expect_that!(chosen(&[slow, remote]), some(eq(1)));
    expect_that!(chosen(&[]), none());
}

#[gtest]
fn avoids_one_whose_last_call_failed_for_some_time() {
    // An upstream resets every connection within milliseconds, so that it always looks idle. It
    // drew call after call until three in a row had failed, at each of many entries.
    let broken = Candidate {
        failed_ago: Some(Duration::from_millis(100)),
        ..usual()
    };
    let busy = Candidate {
        own_calls: 7,
        ..usual()
    };
    expect_that!(chosen(&[broken, busy]), some(eq(1)));
    // Not for ever, and not if the others are full.
    let later = Candidate {
        failed_ago: Some(Duration::from_secs(3)),
        ..usual()
    };
    expect_that!(chosen(&[later, busy]), some(eq(0)));
    let full = Candidate {
        own_calls: 20,
        ..usual()
    };
    expect_that!(chosen(&[broken, full]), some(eq(0)));
}

#[gtest]
fn spreads_a_burst_of_one_entry() {
    // Sixty calls at once over three upstreams of six slots: none gets much more than its part.
    let mut candidates = [usual(); 3];
    let mut rng = Pcg64::seed_from_u64(7);
    for _ in 0..60 {
        let at = choose(&Options::default(), &candidates, &mut rng).unwrap();
        candidates[at].own_calls += 1;
    }
    for candidate in candidates {
        expect_that!(candidate.own_calls, all!(ge(18), le(22)));
    }
}
