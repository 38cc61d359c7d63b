//! What one entry reads from the platform's store, and the others hear of.

use std::sync::Arc;
use std::time::Duration;

use fw_base::clock;
use fw_follow::Step;
use fw_gate::process::fleet::{self, Want};
use fw_gate::process::gate::{self, Change, Gate};
use fw_gate::process::snapshot::Known;
use fw_gate::version::config::Config;
use fw_plan::staleness;
use fw_replica::{member, service};
use googletest::prelude::*;

use crate::first_moments::{gate, options};
use crate::upstream_list::{is_used, listed};

fn config(version: u64) -> Config {
    Config {
        version,
        ..Config::default()
    }
}

fn read(as_of: u64, changes: Vec<Change>) -> Step<Change> {
    Step::News { changes, as_of }
}

fn news(newer: service::Snapshot, as_of: u64) -> service::Update {
    service::Update {
        digests: newer.digests(),
        newer,
        reads: None,
        view: member::View::default(),
        held_for: Duration::ZERO,
        last_read: Some(service::LastRead {
            by: 1,
            as_of,
            ago: Duration::ZERO,
            asked: None,
        }),
    }
}

// An entry's own read of the store is on its way back while it hears from a replica that an upstream
// is leaving. The read is older and says that the upstream takes work: it went on to get calls.
#[gtest]
#[tokio::test]
async fn an_older_read_does_not_undo_what_was_heard() {
    let gate = gate();
    let first = vec![
        Change::Config(Box::new(config(1))),
        Change::Upstream(fleet::Change::Put(listed("x"))),
    ];
    gate.apply(read(3, first));
    let mut other = Known::default();
    let leaving = fleet::ListedUpstream {
        takes_work: false,
        ..listed("x")
    };
    let newer = other.read(5, &config(2), &[leaving]);
    gate.hear(&news(newer, 5), clock::since_boot());
    gate.apply(read(
        4,
        vec![Change::Upstream(fleet::Change::Put(listed("x")))],
    ));
    let chosen = gate.fleet.choose(&"s".into(), &Want::default());
    expect_that!(chosen.is_err(), eq(true));
    expect_that!(gate.config().unwrap().version, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_later_read_counts_again() {
    let gate = gate();
    let mut other = Known::default();
    let newer = other.read(5, &config(2), &[listed("x")]);
    gate.hear(&news(newer, 5), clock::since_boot());
    gate.apply(read(
        6,
        vec![Change::Upstream(fleet::Change::Removed("x".into()))],
    ));
    let chosen = gate.fleet.choose(&"s".into(), &Want::default());
    expect_that!(chosen.is_err(), eq(true));
}

// Whoever takes over the reading tells nothing anew: a configuration of a thousand routes would go to
// all replicas, and from them to a hundred entries.
#[gtest]
fn what_was_heard_is_not_told_again() {
    let mut reader = Known::default();
    let newer = reader.read(5, &config(2), &[listed("x")]);
    expect_that!(newer.config, some(anything()));
    let mut next = Known::default();
    expect_true!(next.hear(&news(newer, 5)).unwrap().is_whole);
    let nothing = service::Snapshot::default();
    expect_that!(next.read(7, &config(2), &[listed("x")]), eq(&nothing));
    expect_that!(next.as_of(), eq(7));
    // Of the parts, only what has changed.
    let changed = next.read(8, &config(2), &[listed("x"), listed("y")]);
    expect_that!(changed.config.is_none(), eq(true));
    expect_that!(changed.upstreams.unwrap().as_of, eq(8));
}

// Guards against an upstream that stays in use as its removal is told at a revision known already.
#[gtest]
#[tokio::test]
async fn a_list_of_the_same_revision_is_taken() {
    let gate = gate();
    let mut reader = Known::default();
    let first = reader.read(5, &config(2), &[listed("x")]);
    expect_true!(gate.hear(&news(first, 5), clock::since_boot()));
    expect_true!(is_used(&gate.fleet));
    let second = service::Update {
        digests: {
            reader.read(5, &config(2), &[]);
            reader.marks()
        },
        ..news(reader.whole(Arc::new(config(2)))(), 5)
    };
    expect_true!(gate.hear(&second, clock::since_boot()));
    expect_false!(is_used(&gate.fleet));
}

// Guards against an entry that counts a revision as known and lacks what the store held at it.
#[gtest]
fn a_revision_counts_only_with_its_content() {
    let mut reader = Known::default();
    let first = reader.read(5, &config(2), &[listed("x")]);
    let mut hearer = Known::default();
    hearer.hear(&news(first, 5));
    reader.read(7, &config(2), &[]);
    let without_the_list = service::Update {
        digests: reader.marks(),
        ..news(service::Snapshot::default(), 7)
    };
    expect_false!(hearer.hear(&without_the_list).unwrap().is_whole);
    expect_that!(hearer.as_of(), eq(5));
    let whole = news(reader.whole(Arc::new(config(2)))(), 7);
    expect_true!(hearer.hear(&whole).unwrap().is_whole);
    expect_that!(hearer.as_of(), eq(7));
}

// Guards against an entry that relies on others who tell it a list that it cannot read.
#[gtest]
fn an_unreadable_list_does_not_count_as_known() {
    let mut reader = Known::default();
    let mut first = reader.read(5, &config(2), &[listed("x")]);
    if let Some(part) = &mut first.upstreams {
        part.bytes = "\u{ff}\u{ff}".into();
    }
    let mut hearer = Known::default();
    let told = hearer.hear(&news(first.clone(), 5)).unwrap();
    expect_that!(told.upstreams, none());
    expect_false!(told.is_whole);
    // Nor when nothing is told anew.
    let again = service::Update {
        digests: first.digests(),
        ..news(service::Snapshot::default(), 6)
    };
    expect_false!(hearer.hear(&again).unwrap().is_whole);
    expect_that!(hearer.as_of(), eq(0));
    // Its own read makes up for it.
    hearer.read(6, &config(2), &[listed("x")]);
    expect_that!(hearer.as_of(), eq(6));
}

// Guards against a list on a replica's disk that takes the place of a newer one.
#[gtest]
fn what_lies_on_a_disk_is_taken_only_if_it_is_newer() {
    let mut reader = Known::default();
    let old = reader.read(5, &config(2), &[listed("x")]);
    let new = reader.read(7, &config(3), &[]);
    let on_disk = |parts: service::Snapshot| service::Update {
        last_read: None,
        ..news(parts, 0)
    };
    let mut hearer = Known::default();
    expect_true!(hearer.hear(&on_disk(new)).is_some());
    expect_true!(hearer.hear(&on_disk(old)).is_none());
    // Nobody has said that all is known up to then.
    expect_that!(hearer.as_of(), eq(0));
}

// Guards against a reader that tells others to go on with an upstream which it keeps for itself.
#[gtest]
#[tokio::test]
async fn a_reader_that_was_cut_off_brings_nothing_back() {
    let gate = gate();
    let mut other = Known::default();
    let newer = other.read(5, &config(2), &[listed("x")]);
    let ago = Duration::from_secs(9);
    let old = service::Update {
        last_read: Some(service::LastRead {
            by: 1,
            as_of: 5,
            ago,
            asked: None,
        }),
        ..news(newer, 5)
    };
    gate.hear(&old, clock::since_boot());
    let nothing = Step::Whole {
        changes: vec![],
        as_of: 8,
    };
    gate.apply(nothing);
    expect_true!(is_used(&gate.fleet));
    expect_that!(gate.fleet.listing(), is_empty());
    // Others have read the store all the while.
    let known = Known::default();
    let steady = service::Update {
        reads: Some(service::ReadSpan {
            first: Duration::from_secs(60),
            last: Duration::from_millis(200),
        }),
        digests: known.marks(),
        ..news(service::Snapshot::default(), 8)
    };
    gate.hear(&steady, clock::since_boot());
    expect_false!(is_used(&gate.fleet));
}

// Guards against keys accepted by a configuration when a newer one is there that cannot be decoded.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_read_of_an_unreadable_configuration_proves_nothing() {
    let gate = Gate::new(gate::Options {
        keys_stale_after: Some(Duration::from_secs(60)),
        ..options()
    });
    let unproven = staleness::Outcome::Stale { age: None };
    let keys = async || gate.in_force_soon().await.unwrap().keys;
    gate.configure(config(1));
    gate.turn_to_read().await;
    gate.apply(read(4, vec![Change::UnreadableConfig]));
    expect_that!(keys().await, eq(unproven));
    gate.apply(read(5, vec![]));
    expect_that!(keys().await, eq(unproven));
    gate.apply(read(6, vec![Change::Config(Box::new(config(3)))]));
    expect_that!(keys().await, eq(staleness::Outcome::Fresh));
}
