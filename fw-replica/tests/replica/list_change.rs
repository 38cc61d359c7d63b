//! Decisions of a replica about the member list.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_replica::member::{
    Action, List, Member, REMOVE_AFTER, STANDBY_STAGGER, SUCCESSOR_TIMEOUT, Situation,
    improves_spread, may_leave, may_retire, needed_sources,
};
use fw_replica::record::ReplicaId;
use googletest::prelude::*;

fn member(port: u16) -> Member {
    Member {
        addr: ([10, 0, 0, 1], port).into(),
        place: "a".into(),
    }
}

fn list(names: &[&str]) -> List {
    let members = names.iter().enumerate();
    List {
        members: members
            .map(|(at, name)| ((*name).into(), member(at as u16)))
            .collect(),
    }
}

struct Case {
    list: List,
    own_name: ReplicaId,
    own: Member,
    retiring: bool,
    votes: bool,
    copied: bool,
    last_seen_ago: BTreeMap<ReplicaId, Duration>,
    leaving: Vec<ReplicaId>,
    unsynced: Vec<ReplicaId>,
    standbys_ahead: usize,
    short_for: Duration,
}

impl Case {
    fn new(names: &[&str], own_name: &str) -> Self {
        let list = list(names);
        let own = list.members.get(own_name).cloned().unwrap_or(member(99));
        Self {
            list,
            own_name: own_name.into(),
            own,
            retiring: false,
            votes: true,
            copied: true,
            last_seen_ago: BTreeMap::new(),
            leaving: Vec::new(),
            unsynced: Vec::new(),
            standbys_ahead: 0,
            short_for: Duration::ZERO,
        }
    }

    fn decide(&self) -> Action {
        let situation = Situation {
            list: &self.list,
            own_name: &self.own_name,
            own: &self.own,
            faults: 1,
            retiring: self.retiring,
            votes: self.votes,
            copied: self.copied,
            last_seen_ago: &self.last_seen_ago,
            leaving: &self.leaving,
            unsynced: &self.unsynced,
            standbys_ahead: self.standbys_ahead,
            short_for: self.short_for,
        };
        situation.decide()
    }
}

#[gtest]
fn stands_by_while_there_are_enough() {
    let mut case = Case::new(&["a", "b", "c"], "d");
    case.votes = false;
    expect_that!(case.decide(), eq(&Action::StandBy));
    // One member is retiring, or does not respond: the standby is needed.
    case.leaving = vec!["b".into()];
    expect_that!(case.decide(), matches_pattern!(Action::Change(_)));
    case.leaving.clear();
    case.last_seen_ago
        .insert("c".into(), Duration::from_secs(3));
    expect_that!(case.decide(), matches_pattern!(Action::Change(_)));
}

#[gtest]
fn votes_only_with_everything_copied() {
    let mut case = Case::new(&["a", "b", "c"], "c");
    case.votes = false;
    case.copied = false;
    expect_that!(case.decide(), eq(&Action::Stay));
    case.copied = true;
    expect_that!(case.decide(), eq(&Action::Vote));
}

#[gtest]
fn removes_a_dead_member_only_if_enough_remain() {
    // A member does not respond. With three of three it must stay listed: its absence does not make
    // two a majority of two. Once a fourth has taken its place it is removed, by one member only.
    let mut case = Case::new(&["a", "b", "c"], "a");
    case.last_seen_ago.insert("b".into(), REMOVE_AFTER);
    expect_that!(case.decide(), eq(&Action::Stay));
    let mut case = Case::new(&["a", "b", "c", "d"], "a");
    case.last_seen_ago.insert("b".into(), REMOVE_AFTER);
    expect_that!(case.decide(), eq(&Action::Change(case.without("b"))));
    let mut case = Case::new(&["a", "b", "c", "d"], "c");
    case.last_seen_ago.insert("b".into(), REMOVE_AFTER);
    expect_that!(case.decide(), eq(&Action::Stay));
}

// Guards against a dead member whose removal is left to one that does not vote before it is removed.
#[gtest]
fn a_member_that_votes_removes_a_dead_one() {
    let mut case = Case::new(&["a", "b", "c", "d"], "b");
    case.last_seen_ago.insert("d".into(), REMOVE_AFTER);
    expect_that!(case.decide(), eq(&Action::Stay));
    case.unsynced = vec!["a".into()];
    expect_that!(case.decide(), eq(&Action::Change(case.without("d"))));
    // The first one does not vote itself.
    let mut case = Case::new(&["a", "b", "c", "d"], "a");
    case.votes = false;
    case.copied = false;
    case.last_seen_ago.insert("d".into(), REMOVE_AFTER);
    expect_that!(case.decide(), eq(&Action::Stay));
}

impl Case {
    fn without(&self, name: &str) -> List {
        let mut list = self.list.clone();
        list.members.remove(name);
        list
    }
}

#[gtest]
fn announces_a_new_address_and_leaves_on_retirement() {
    let mut case = Case::new(&["a", "b", "c"], "b");
    case.own = member(77);
    expect_that!(case.decide(), matches_pattern!(Action::Change(_)));
    case.retiring = true;
    expect_that!(case.decide(), eq(&Action::Leave(case.without("b"))));
    case.list = case.without("b");
    expect_that!(case.decide(), eq(&Action::Left));
}

#[gtest]
fn copies_from_enough_to_meet_every_holder() {
    // Three members, one of which lost its disk: a record of it may be on just one of the others.
    expect_that!(needed_sources(2, true, 1), eq(2));
    // A new member: each record is on two of three, one of which may be lost.
    expect_that!(needed_sources(3, false, 1), eq(2));
    expect_that!(needed_sources(1, true, 1), eq(1));
    expect_that!(needed_sources(0, false, 1), eq(1));
}

#[gtest]
fn spreads_over_data_centres_at_first() {
    let full = list(&["a", "b"]);
    expect_false!(improves_spread(&full, &"a".into(), 1, 3));
    expect_true!(improves_spread(&full, &"b".into(), 1, 3));
    expect_true!(improves_spread(&full, &"a".into(), 2, 1));
}

// Guards against many standbys joining at once. A network partition takes a third of the machines:
// nearly all of thirty standbys see too few members. Each copied everything from all members within
// reach until the partition ended. Now they start one after the other; the first still starts at
// once.
#[gtest]
fn lets_those_that_stand_by_before_it_go_first() {
    let mut case = Case::new(&["a", "b", "c"], "d");
    case.last_seen_ago = [("a".into(), REMOVE_AFTER)].into();
    expect_that!(case.decide(), matches_pattern!(Action::Change(anything())));
    case.standbys_ahead = 2;
    case.short_for = STANDBY_STAGGER;
    expect_that!(case.decide(), eq(&Action::StandBy));
    case.short_for = STANDBY_STAGGER * 2;
    expect_that!(case.decide(), matches_pattern!(Action::Change(anything())));
}

// Guards against a member that leaves before it is replaced. One of three members retires. It left
// when the two others had copied everything, just before a fourth took its place; then one of the
// two lost its power, and no turn began for two seconds. Without a standby it still leaves
// eventually, or the machine could never be removed.
#[gtest]
fn leaves_only_once_another_has_its_place() {
    expect_false!(may_leave(&list(&["a", "b"]), Duration::ZERO, 1));
    expect_true!(may_leave(&list(&["a", "b", "d"]), Duration::ZERO, 1));
    expect_true!(may_leave(&list(&["a", "b"]), SUCCESSOR_TIMEOUT, 1));
}

// Guards against retirements that leave fewer members than keep copies and vote.
#[gtest]
fn retires_only_if_enough_stay() {
    let (three, two) = (list(&["a", "b", "c"]), list(&["a", "b"]));
    expect_true!(may_retire(&three, &"b".into(), &[], 1));
    expect_false!(may_retire(&two, &"b".into(), &[], 1));
    // Of two that retire at once, one stays.
    expect_false!(may_retire(&three, &"b".into(), &["a".into()], 1));
    expect_true!(may_retire(&three, &"a".into(), &["b".into()], 1));
}
