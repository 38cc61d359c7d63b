//! Entries that take their shards slowly are distinguished from those that hang.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_keep::balance;
use fw_keep::progress;
use googletest::prelude::*;

const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shards taken per call, and the duration of a call.
const GROUP_SIZE: usize = 60;
const CALL_DURATION: Duration = Duration::from_millis(250);

/// Simulated entries that take free shards concurrently, each according to the same table.
struct Fleet {
    entries: Vec<id::EntryId>,
    owners: Vec<Option<id::EntryId>>,
    progress: progress::Progress,
    start: Instant,
    now: Instant,
}

impl Fleet {
    fn new(entries: &[&str], shards: usize) -> Self {
        let now = Instant::now();
        let mut progress = progress::Progress::default();
        let entries: Vec<id::EntryId> = entries.iter().map(|entry| (*entry).into()).collect();
        for entry in &entries {
            progress.record_listed(entry, now);
        }
        Self {
            entries,
            owners: vec![None; shards],
            progress,
            start: now,
            now,
        }
    }

    fn view(&self) -> balance::View<'_> {
        let owners = self.owners.iter().map(Option::as_deref);
        balance::View {
            entries: self.entries.iter().map(|entry| entry.as_str()).collect(),
            passive: self
                .progress
                .passive()
                .map(|entry| entry.as_str())
                .collect(),
            owners: owners.collect(),
        }
    }

    /// The entries that `me` detects as stalled.
    fn detect_stalled(&mut self, me: &str) -> BTreeSet<id::EntryId> {
        let assignments = balance::assignments(&self.view()).into_iter();
        let others = assignments.filter(|assignment| assignment.entry != me);
        let pending = others.map(|assignment| progress::PendingShard {
            entry: assignment.entry.into(),
            free_since: self.start,
        });
        let pending: Vec<_> = pending.collect();
        self.progress
            .detect_stalled(pending, STALL_TIMEOUT, self.now)
    }

    /// Lets `entry` take one group; returns the number of shards taken.
    fn take(&mut self, entry: &str) -> usize {
        let mut group = balance::plan(entry, &self.view()).acquire;
        group.truncate(GROUP_SIZE);
        for shard in &group {
            self.owners[usize::from(*shard)] = Some(entry.into());
        }
        if !group.is_empty() {
            self.progress.record_taken(&entry.into(), self.now);
        }
        group.len()
    }
}

// Guards against entries regarded as stalled while taking thousands of shards for longer than the timeout.
#[gtest]
fn entries_that_keep_taking_shards_are_not_stalled() {
    let mut fleet = Fleet::new(&["a", "b"], usize::from(id::SHARDS));
    while fleet.owners.iter().any(Option::is_none) {
        expect_that!(fleet.detect_stalled("a"), is_empty());
        expect_that!(fleet.detect_stalled("b"), is_empty());
        fleet.take("a");
        fleet.take("b");
        fleet.now += CALL_DURATION;
    }
    expect_that!(fleet.now - fleet.start, gt(STALL_TIMEOUT * 2));
}

// Guards against callers that wait for the shards of an entry that hangs with a live lease.
#[gtest]
fn an_entry_that_takes_nothing_is_passed_over() {
    let mut fleet = Fleet::new(&["a", "b"], 100);
    fleet.take("a");
    fleet.now += STALL_TIMEOUT * 2 + CALL_DURATION;
    expect_that!(fleet.detect_stalled("a"), unordered_elements_are![eq("b")]);
    expect_that!(fleet.take("a"), gt(0));
    expect_true!(fleet.owners.iter().all(Option::is_some));
}

// Guards against an entry that hangs after it has taken part of its shards.
#[gtest]
fn an_entry_that_stops_taking_is_passed_over() {
    let mut fleet = Fleet::new(&["a", "b"], 400);
    fleet.take("b");
    fleet.now += STALL_TIMEOUT + CALL_DURATION;
    expect_that!(fleet.detect_stalled("a"), is_empty());
    fleet.now += STALL_TIMEOUT;
    expect_that!(fleet.detect_stalled("a"), unordered_elements_are![eq("b")]);
}

// Guards against a joining entry regarded as stalled on shards that were free before it joined.
#[gtest]
fn a_joining_entry_is_given_time() {
    let mut fleet = Fleet::new(&["a"], 400);
    fleet.now += STALL_TIMEOUT * 5;
    fleet.entries.push("b".into());
    fleet.progress.record_listed(&"b".into(), fleet.now);
    fleet.now += STALL_TIMEOUT * 2;
    expect_that!(fleet.detect_stalled("a"), is_empty());
    fleet.now += CALL_DURATION;
    expect_that!(fleet.detect_stalled("a"), unordered_elements_are![eq("b")]);
}

// Guards against a passive entry that is never assigned shards again.
#[gtest]
fn a_passive_entry_gets_its_share_again() {
    let mut fleet = Fleet::new(&["a", "b"], 400);
    fleet.now += STALL_TIMEOUT * 2 + CALL_DURATION;
    expect_that!(fleet.detect_stalled("a"), not(is_empty()));
    fleet
        .progress
        .record_taken(&"b".into(), fleet.now + STALL_TIMEOUT * 19);
    fleet.now += STALL_TIMEOUT * 20;
    expect_that!(fleet.detect_stalled("a"), is_empty());
    expect_that!(fleet.progress.passive().count(), eq(0));
}
