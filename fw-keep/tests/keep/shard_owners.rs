//! What is known of the shards' keepers, by news that arrive out of order.

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

// Guards against a shard that was taken again looking free when its former key's end is heard late.
#[gtest]
fn older_news_change_nothing() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(2, now);
    expect_true!(owners.update(0, holder("a", 5), 5, now));
    expect_true!(owners.update(0, holder("a", 9), 9, now));
    expect_false!(owners.update(0, None, 7, now));
    expect_eq!(owners.holder(0).cloned(), holder("a", 9));
    expect_true!(owners.update(0, None, 11, now));
    expect_true!(owners.has_free());
}

// Guards against a shard that another has taken looking like one's own by an older reading.
#[gtest]
fn a_reading_of_before_gives_no_shard_back() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(1, now);
    owners.update(0, holder("b", 12), 12, now);
    expect_false!(owners.update(0, holder("a", 3), 3, now));
    expect_eq!(owners.holder(0).cloned(), holder("b", 12));
}

#[gtest]
fn a_free_shard_is_free_since_it_was_given_up() {
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
fn a_shard_beyond_the_last_is_nobodys() {
    let now = Instant::now();
    let mut owners = owners::Owners::new(1, now);
    expect_false!(owners.update(1, holder("a", 2), 2, now));
    expect_eq!(owners.holder(1), None);
    expect_eq!(owners.free_since(1), None);
}
