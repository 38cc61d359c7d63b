//! Wait for the chain.

use std::time::Duration;

use fw_replica::client::{CHAIN_TIMEOUT, Wait, wait};
use googletest::prelude::*;

#[gtest]
fn is_not_left_to_one_frozen_replica() {
    // A turn's chain is requested from the replica with the lowest latency only. That one was
    // suspended for a second: turns whose tokens the others had granted at once began 0.7 s late,
    // and their programs were late.
    let millisecond = Duration::from_millis(1);
    expect_that!(wait(None, true), eq(Wait::Open));
    expect_that!(
        wait(Some(Duration::ZERO), true),
        eq(Wait::AtMost(CHAIN_TIMEOUT))
    );
    expect_that!(
        wait(Some(CHAIN_TIMEOUT - millisecond), true),
        eq(Wait::AtMost(millisecond))
    );
    expect_that!(wait(Some(CHAIN_TIMEOUT), true), eq(Wait::Over));
    expect_that!(wait(Some(Duration::ZERO), false), eq(Wait::Over));
}
