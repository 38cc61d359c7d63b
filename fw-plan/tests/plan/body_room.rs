//! Memory of bodies of unknown length.

use fw_plan::body_room::{FREE_BYTES, Options};
use googletest::prelude::*;

const MAX_BYTES: usize = 12 << 20;
/// Longest body that is read.
const LONGEST: usize = 8 << 20;

/// Bytes that `count` bodies without end hold once none of them finds room for more.
fn grow(opts: &Options, count: usize) -> Vec<usize> {
    let mut held = vec![0; count];
    loop {
        let before = held.clone();
        for index in 0..count {
            let total: usize = held.iter().sum();
            let own = (held[index] + FREE_BYTES).min(LONGEST);
            if opts.may_hold(own, total - held[index]) {
                held[index] = own;
            }
        }
        if held == before {
            return held;
        }
    }
}

// Guards against bodies that are each within their bound and together exceed the instance's memory.
#[gtest]
fn is_bounded_for_all_together() {
    let opts = Options {
        max_bytes: MAX_BYTES,
    };
    for count in [2, 10, 100, 500] {
        let held: usize = grow(&opts, count).iter().sum();
        expect_that!(held, le(MAX_BYTES), "{count} bodies");
    }
}

// Guards against long bodies that leave no room for those of usual length.
#[gtest]
fn is_left_for_short_bodies() {
    let opts = Options {
        max_bytes: MAX_BYTES,
    };
    let others: usize = grow(&opts, 100).iter().sum();
    expect_true!(opts.may_hold(64 << 10, others));
    expect_true!(opts.may_hold(FREE_BYTES, usize::MAX));
}

#[gtest]
fn is_found_by_a_single_body() {
    let opts = Options {
        max_bytes: MAX_BYTES,
    };
    expect_that!(grow(&opts, 1), elements_are![eq(&LONGEST)]);
}
