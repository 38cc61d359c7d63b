//! Choice of the upstream for a call.

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
fn prefers_the_cached_upstream_until_it_is_full() {
    let cached = Candidate {
        own_calls: 4,
        ..usual()
    };
    let uncached = Candidate {
        prefill: Duration::from_millis(15),
        ..usual()
    };
    expect_that!(chosen(&[uncached, cached]), some(eq(1)));
    let full = Candidate {
        own_calls: 9,
        ..cached
    };
    expect_that!(chosen(&[uncached, full]), some(eq(0)));
}

#[gtest]
fn discounts_reported_load_by_age() {
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
fn avoids_slow_and_remote_upstreams_among_equals() {
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
fn avoids_an_upstream_for_some_time_after_a_failure() {
    // An upstream that resets every connection within milliseconds always looks idle. It would
    // attract call after call until three in a row had failed, at each of many entries.
    let broken = Candidate {
        failed_ago: Some(Duration::from_millis(100)),
        ..usual()
    };
    let busy = Candidate {
        own_calls: 7,
        ..usual()
    };
    expect_that!(chosen(&[broken, busy]), some(eq(1)));
    // The penalty expires, and does not apply if the others are full.
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
    // Sixty calls at once over three upstreams of six slots: none gets much more than its share.
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
