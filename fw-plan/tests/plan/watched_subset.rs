//! Which upstreams each entry watches.

use std::collections::HashSet;

use fw_plan::subset;
use googletest::prelude::*;

fn members(prefix: &str, count: usize) -> Vec<subset::Member> {
    let member = |index: usize| subset::Member {
        id: format!("{prefix}-{index}").into(),
        place: format!("place-{}", index % 5).into(),
    };
    (0..count).map(member).collect()
}

fn pairs(entries: &[subset::Member], upstreams: &[subset::Member]) -> HashSet<(String, String)> {
    let options = subset::Options::default();
    let mut pairs = HashSet::new();
    for entry in entries {
        for upstream in subset::watched_by(&entry.id, entries, upstreams, &options) {
            pairs.insert((entry.id.to_string(), upstream.id.to_string()));
        }
    }
    pairs
}

// One of a hundred entries restarts. If that reshuffled the rest, thousands of connections would
// be made anew at once; and an upstream watched by nobody would get no work.
#[gtest]
fn few_pairs_change_with_one_entry_and_each_upstream_is_watched() {
    let mut entries = members("entry", 100);
    let upstreams = members("llm", 500);
    let before = pairs(&entries, &upstreams);
    let wanted = subset::Options::default();
    expect_that!(before.len(), eq(500 * (wanted.near + wanted.far)));
    entries.remove(42);
    let after = pairs(&entries, &upstreams);
    expect_that!(after.len(), eq(before.len()));
    let moved = after.difference(&before).count();
    let lost = before.iter().filter(|pair| pair.0 == "entry-42").count();
    expect_that!(moved, eq(lost));
}

#[gtest]
fn a_small_fleet_watches_everything() {
    let entries = members("entry", 3);
    let upstreams = members("llm", 9);
    expect_that!(pairs(&entries, &upstreams).len(), eq(27));
}
