//! Who waits for a program's keeper.

use std::time::Duration;

use fw_plan::lookup::{self, Miss};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn should_retry(miss: Miss, waited: u64, silence: u64) -> bool {
    let opts = lookup::Options {
        timeout: ms(4_000),
        outage_timeout: ms(1_000),
        outage_after: ms(1_400),
    };
    lookup::should_retry(miss, ms(waited), ms(silence), &opts)
}

#[gtest]
fn waits_for_a_dead_keepers_lease() {
    for miss in [
        Miss::NoKeeper,
        Miss::NoLongerKeeper,
        Miss::NotKeeper,
        Miss::ConnectionRefused,
    ] {
        expect_true!(should_retry(miss, 3_000, 700), "{miss:?}");
        expect_false!(should_retry(miss, 4_000, 700), "{miss:?}");
    }
}

// The store goes away before an entry has heard who took a shard. A publish request came for it and
// was refused only after four seconds, though nobody can take the shard, nor the entry hear of it,
// until the store is back. What showed it: `no keeper was found in time`, "nobody", the store silent
// for as long.
#[gtest]
fn does_not_wait_for_news_from_a_store_that_is_away() {
    for miss in [
        Miss::NoKeeper,
        Miss::NoLongerKeeper,
        Miss::NotKeeper,
        Miss::ConnectionRefused,
    ] {
        expect_false!(should_retry(miss, 1_000, 1_400), "{miss:?}");
    }
}

// The store is back, and other entries take the dead keeper's shard; this one has not heard so yet. Its
// callers were refused within microseconds, and gave up.
#[gtest]
fn waits_a_little_for_a_store_that_may_be_back() {
    expect_true!(should_retry(Miss::NoKeeper, 900, 2_600));
}

#[gtest]
fn waits_for_a_keeper_that_is_known_also_without_the_store() {
    for miss in [Miss::Unreachable, Miss::ConnectionBroken] {
        expect_true!(should_retry(miss, 3_000, 9_000), "{miss:?}");
        expect_false!(should_retry(miss, 4_000, 9_000), "{miss:?}");
    }
}
