//! Shards are spread evenly, with as few moves as that takes.

use fw_keep::balance;
use googletest::prelude::*;

/// A fleet in which everybody acts on the same table, round by round.
struct Fleet {
    entries: Vec<String>,
    owners: Vec<Option<String>>,
    /// Shards that changed keeper after having had one.
    moves: usize,
    /// Attempts to take a shard that another took in the same round.
    clashes: usize,
}

impl Fleet {
    fn new(entries: usize, shards: usize) -> Self {
        Self {
            entries: (0..entries).map(|n| format!("e{n}")).collect(),
            owners: vec![None; shards],
            moves: 0,
            clashes: 0,
        }
    }

    fn round(&mut self) -> bool {
        let view = balance::View {
            entries: self.entries.iter().map(String::as_str).collect(),
            owners: self.owners.iter().map(Option::as_deref).collect(),
            ..balance::View::default()
        };
        let plans = self
            .entries
            .iter()
            .map(|e| (e.clone(), balance::plan(e, &view)));
        let plans: Vec<_> = plans.collect();
        let mut changed = false;
        for (entry, plan) in plans {
            changed |= !plan.acquire.is_empty() || !plan.release.is_empty();
            for shard in plan.release {
                self.owners[usize::from(shard)] = None;
                self.moves += 1;
            }
            for shard in plan.acquire {
                let owner = &mut self.owners[usize::from(shard)];
                self.clashes += usize::from(owner.is_some());
                owner.get_or_insert(entry.clone());
            }
        }
        changed
    }

    fn settle(&mut self) -> usize {
        let rounds = (1..100).find(|_| !self.round());
        rounds.unwrap()
    }

    fn counts(&self) -> Vec<usize> {
        let kept = |entry: &String| self.owners.iter().flatten().filter(|o| *o == entry).count();
        self.entries.iter().map(kept).collect()
    }

    fn fail(&mut self, entry: usize) {
        let gone = self.entries.remove(entry);
        for owner in &mut self.owners {
            if owner.as_ref() == Some(&gone) {
                *owner = None;
            }
        }
    }
}

#[gtest]
fn many_that_start_at_once_never_clash_and_share_evenly() {
    for entries in [1, 3, 10, 60] {
        let mut fleet = Fleet::new(entries, 600);
        expect_that!(fleet.settle(), le(2));
        expect_that!((fleet.clashes, fleet.moves), eq((0, 0)));
        let counts = fleet.counts();
        let spread = counts.iter().max().unwrap() - counts.iter().min().unwrap();
        expect_that!(spread, le(1), "{entries} entries");
    }
}

#[gtest]
fn three_hundred_and_eighty_entries_share_4096_shards() {
    let names: Vec<String> = (0..380).map(|n| format!("e{n}")).collect();
    let view = balance::View {
        entries: names.iter().map(String::as_str).collect(),
        owners: vec![None; 4096],
        ..balance::View::default()
    };
    let assignments = balance::assignments(&view);
    expect_that!(assignments.len(), eq(4096));
    for name in &names {
        let count = assignments
            .iter()
            .filter(|assignment| assignment.entry == name)
            .count();
        expect_that!(count, all!(ge(10), le(11)));
    }
}

#[gtest]
fn a_joining_entry_moves_its_own_share_only() {
    let mut fleet = Fleet::new(10, 4096);
    fleet.settle();
    fleet.entries.push("new".to_owned());
    fleet.settle();
    expect_that!(fleet.moves, le(4096 / 11 + 1));
    expect_that!(fleet.counts().iter().min(), some(ge(&(4096 / 11))));
}

#[gtest]
fn a_failed_entrys_shards_go_to_many_and_no_other_moves() {
    let mut fleet = Fleet::new(10, 4096);
    fleet.settle();
    fleet.fail(4);
    fleet.settle();
    expect_that!(fleet.moves, eq(0));
    let counts = fleet.counts();
    expect_that!(
        counts.iter().max().unwrap() - counts.iter().min().unwrap(),
        le(1)
    );
}

/// An entry that should take a dead one's shards is itself stuck, with a live lease. The callers
/// of those programs would wait for as long as it hangs, if nobody else ever took them.
#[gtest]
fn a_passive_entry_is_passed_over_and_keeps_what_it_has() {
    let mut owners: Vec<Option<&str>> = vec![None; 30];
    owners[..4].fill(Some("b"));
    let view = balance::View {
        entries: vec!["a", "b", "c"],
        passive: ["b"].into(),
        owners,
    };
    let plan = |me| balance::plan(me, &view);
    expect_that!(plan("b"), eq(&balance::Plan::default()));
    expect_that!(plan("a").acquire.len(), eq(13));
    expect_that!(plan("c").acquire.len(), eq(13));
}
