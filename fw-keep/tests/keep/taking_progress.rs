//! Entries that take their shards slowly are told from those that hang.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_keep::balance;
use fw_keep::progress;
use googletest::prelude::*;

const ROUND: Duration = Duration::from_secs(2);

/// Shards that are taken with one call, and the time that it takes.
const GROUP: usize = 60;
const CALL: Duration = Duration::from_millis(250);

/// Entries that take free shards side by side, each by the same table.
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

    /// The entries that are found stuck by `me`.
    fn judge(&mut self, me: &str) -> BTreeSet<id::EntryId> {
        let assignments = balance::assignments(&self.view()).into_iter();
        let others = assignments.filter(|assignment| assignment.entry != me);
        let due = others.map(|assignment| progress::PendingShard {
            entry: assignment.entry.into(),
            free_since: self.start,
        });
        let due: Vec<_> = due.collect();
        self.progress.detect_stalled(due, ROUND, self.now)
    }

    /// Lets `entry` take one group; returns how many shards that are.
    fn take(&mut self, entry: &str) -> usize {
        let mut group = balance::plan(entry, &self.view()).acquire;
        group.truncate(GROUP);
        for shard in &group {
            self.owners[usize::from(*shard)] = Some(entry.into());
        }
        if !group.is_empty() {
            self.progress.record_taken(&entry.into(), self.now);
        }
        group.len()
    }
}

// Guards against entries that take thousands of shards for longer than a round counting as stuck.
#[gtest]
fn entries_that_go_on_taking_are_not_stuck() {
    let mut fleet = Fleet::new(&["a", "b"], usize::from(id::SHARDS));
    while fleet.owners.iter().any(Option::is_none) {
        expect_that!(fleet.judge("a"), is_empty());
        expect_that!(fleet.judge("b"), is_empty());
        fleet.take("a");
        fleet.take("b");
        fleet.now += CALL;
    }
    expect_that!(fleet.now - fleet.start, gt(ROUND * 2));
}

// Guards against callers who wait for the shards of an entry that hangs with a live lease.
#[gtest]
fn an_entry_that_takes_nothing_is_passed_over() {
    let mut fleet = Fleet::new(&["a", "b"], 100);
    fleet.take("a");
    fleet.now += ROUND * 2 + CALL;
    expect_that!(fleet.judge("a"), unordered_elements_are![eq("b")]);
    expect_that!(fleet.take("a"), gt(0));
    expect_true!(fleet.owners.iter().all(Option::is_some));
}

// Guards against an entry that hangs after it has taken a part of its shards.
#[gtest]
fn an_entry_that_stops_taking_is_passed_over() {
    let mut fleet = Fleet::new(&["a", "b"], 400);
    fleet.take("b");
    fleet.now += ROUND + CALL;
    expect_that!(fleet.judge("a"), is_empty());
    fleet.now += ROUND;
    expect_that!(fleet.judge("a"), unordered_elements_are![eq("b")]);
}

// Guards against an entry that has just joined counting as stuck for shards that were free before.
#[gtest]
fn an_entry_that_joins_has_its_time() {
    let mut fleet = Fleet::new(&["a"], 400);
    fleet.now += ROUND * 5;
    fleet.entries.push("b".into());
    fleet.progress.record_listed(&"b".into(), fleet.now);
    fleet.now += ROUND * 2;
    expect_that!(fleet.judge("a"), is_empty());
    fleet.now += CALL;
    expect_that!(fleet.judge("a"), unordered_elements_are![eq("b")]);
}

// Guards against an entry that was passed over never getting shards again.
#[gtest]
fn a_passive_entry_gets_its_share_again() {
    let mut fleet = Fleet::new(&["a", "b"], 400);
    fleet.now += ROUND * 2 + CALL;
    expect_that!(fleet.judge("a"), not(is_empty()));
    fleet
        .progress
        .record_taken(&"b".into(), fleet.now + ROUND * 19);
    fleet.now += ROUND * 20;
    expect_that!(fleet.judge("a"), is_empty());
    expect_that!(fleet.progress.passive().count(), eq(0));
}
