//! Entries' calls, told with their reservations.

use fw_replica::{entry_load, service};
use googletest::prelude::*;

fn load(entry: u32, calls: &[(u16, u16)]) -> service::Load {
    service::Load {
        entry,
        calls: calls.to_vec(),
        relay: Some(([10, 0, 0, 1], entry as u16).into()),
    }
}

#[gtest]
fn sums_what_the_others_told_last() {
    let board = entry_load::Table::default();
    expect_that!(board.exchange(load(1, &[(7, 2)])).calls, is_empty());
    expect_that!(
        board.exchange(load(2, &[(7, 1), (8, 1)])).calls,
        elements_are![eq(&(7, 2))]
    );
    // The newest word of an entry replaces the one before, and its own calls are not told back.
    expect_that!(board.exchange(load(1, &[(9, 1)])).calls.len(), eq(2));
    expect_that!(
        board.exchange(load(3, &[])).calls,
        unordered_elements_are![eq(&(7, 1)), eq(&(8, 1)), eq(&(9, 1))]
    );
    // An entry that is cut off learns who may pass its connections on.
    expect_that!(board.exchange(load(4, &[])).relays.len(), eq(3));
}
