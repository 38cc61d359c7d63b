//! The cached owners of shards under updates that arrive out of order.

use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_keep::owners;
use googletest::prelude::*;

fn holder(entry: &str, fence: id::Fence) -> Option<owners::Holder> {
    Some(owners::Holder {
        entry: entry.into(),
        nonce: 1,
        fence,
    })
}

// Guards against a reacquired shard that looks free when the deletion of its former key arrives late.
#[gtest]
fn older_revisions_are_ignored() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(2, now);
    expect_true!(owners.update(0, holder("a", 5), 5, now));
    expect_true!(owners.update(0, holder("a", 9), 9, now));
    expect_false!(owners.update(0, None, 7, now));
    expect_eq!(owners.holder(0).cloned(), holder("a", 9));
    expect_true!(owners.update(0, None, 11, now));
    expect_true!(owners.has_free());
}

// Guards against a shard that another entry has taken being attributed to this one by an older reading.
#[gtest]
fn an_older_reading_does_not_return_a_shard() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(1, now);
    owners.update(0, holder("b", 12), 12, now);
    expect_false!(owners.update(0, holder("a", 3), 3, now));
    expect_eq!(owners.holder(0).cloned(), holder("b", 12));
}

#[gtest]
fn free_since_is_the_time_of_release() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut owners = owners::Owners::new(1, start);
    expect_eq!(owners.free_since(0), Some(start));
    owners.update(0, holder("a", 2), 2, start);
    expect_eq!(owners.free_since(0), None);
    owners.update(0, None, 3, later);
    owners.update(0, None, 4, later + Duration::from_secs(1));
    expect_eq!(owners.free_since(0), Some(later));
}

#[gtest]
fn a_shard_out_of_range_has_no_keeper() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(1, now);
    expect_false!(owners.update(1, holder("a", 2), 2, now));
    expect_eq!(owners.holder(1), None);
    expect_eq!(owners.free_since(1), None);
}
