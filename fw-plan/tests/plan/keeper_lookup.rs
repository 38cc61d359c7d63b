//! How long a call looks for its program's keeper.

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

// The store becomes unavailable before an entry has learnt which entry took a shard. No entry can
// take the shard, nor can this one learn of it, until the store recovers; yet a call that looked
// for the keeper was refused only after four seconds (`no keeper was found in time`, reason
// `nobody`, the store silent for as long).
#[gtest]
fn does_not_wait_for_the_end_of_a_store_outage() {
    for miss in [
        Miss::NoKeeper,
        Miss::NoLongerKeeper,
        Miss::NotKeeper,
        Miss::ConnectionRefused,
    ] {
        expect_false!(should_retry(miss, 1_000, 1_400), "{miss:?}");
    }
}

// The store has recovered and other entries are taking the dead keeper's shard, but this entry has
// not received that yet. Its callers were refused within microseconds, and gave up.
#[gtest]
fn waits_briefly_while_the_store_may_have_recovered() {
    expect_true!(should_retry(Miss::NoKeeper, 900, 2_600));
}

#[gtest]
fn waits_for_a_known_keeper_during_a_store_outage() {
    for miss in [Miss::Unreachable, Miss::ConnectionBroken] {
        expect_true!(should_retry(miss, 3_000, 9_000), "{miss:?}");
        expect_false!(should_retry(miss, 4_000, 9_000), "{miss:?}");
    }
}
