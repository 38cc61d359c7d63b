//! Waiting for a chain.

use std::time::Duration;

use fw_replica::client::{CHAIN_LATE, Wait, wait};
use googletest::prelude::*;

#[gtest]
fn is_not_left_to_one_frozen_replica() {
    // A turn's chain is asked of the quickest replica alone. That one froze for a second: turns
    // whose tokens the others had granted at once began 0.7 s late, and their programs were late.
    let moment = Duration::from_millis(1);
    expect_that!(wait(None, true), eq(Wait::Open));
    expect_that!(
        wait(Some(Duration::ZERO), true),
        eq(Wait::AtMost(CHAIN_LATE))
    );
    expect_that!(
        wait(Some(CHAIN_LATE - moment), true),
        eq(Wait::AtMost(moment))
    );
    expect_that!(wait(Some(CHAIN_LATE), true), eq(Wait::Over));
    expect_that!(wait(Some(Duration::ZERO), false), eq(Wait::Over));
}
