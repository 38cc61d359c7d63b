//! Distribution of programs over shards, and validation of names.

use fw_base::id;
use googletest::prelude::*;

#[gtest]
fn programs_spread_evenly() {
    let mut counts = vec![0_u32; usize::from(id::SHARDS)];
    for n in 0..u32::from(id::SHARDS) * 32 {
        counts[usize::from(id::shard_of(&format!("program-{n}")))] += 1;
    }
    expect_that!(counts.iter().copied().max(), some(lt(80)));
    expect_that!(counts.iter().copied().min(), some(gt(4)));
}

#[gtest]
fn names_are_bounded() {
    expect_true!(id::is_valid_name("site-builder.7:a"));
    expect_false!(id::is_valid_name(""));
    expect_false!(id::is_valid_name("a b"));
    expect_false!(id::is_valid_name(&"x".repeat(id::MAX_NAME + 1)));
}
