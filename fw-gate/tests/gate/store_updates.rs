//! Reads of the platform's store by one entry, and updates that the others receive through the replicas.

use std::sync::Arc;
use std::time::Duration;

use fw_base::clock;
use fw_follow::Event;
use fw_gate::process::fleet::{self, Criteria};
use fw_gate::process::gate::{self, Change, Gate};
use fw_gate::process::snapshot::Cache;
use fw_gate::version::config::Config;
use fw_plan::staleness;
use fw_replica::{member, service};
use googletest::prelude::*;

use crate::startup::{gate, options};
use crate::upstream_list::{is_used, listed};

fn config(version: u64) -> Config {
    Config {
        version,
        ..Config::default()
    }
}

fn read(as_of: u64, changes: Vec<Change>) -> Event<Change> {
    Event::Update { changes, as_of }
}

fn update(newer: service::Snapshot, as_of: u64) -> service::Update {
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

// While an entry's read of the store is on its way back, a replica reports that an upstream is leaving. Guards
// against the older read, in which the upstream still takes work, making it get calls again.
#[gtest]
#[tokio::test]
async fn an_older_read_does_not_undo_an_update() {
    let gate = gate();
    let first = vec![
        Change::Config(Box::new(config(1))),
        Change::Upstream(fleet::Change::Put(listed("x"))),
    ];
    gate.apply(read(3, first));
    let mut other = Cache::default();
    let leaving = fleet::ListedUpstream {
        takes_work: false,
        ..listed("x")
    };
    let newer = other.record_read(5, &config(2), &[leaving]);
    gate.apply_update(&update(newer, 5), clock::since_boot());
    gate.apply(read(
        4,
        vec![Change::Upstream(fleet::Change::Put(listed("x")))],
    ));
    let chosen = gate.fleet.choose(&"s".into(), &Criteria::default());
    expect_that!(chosen.is_err(), eq(true));
    expect_that!(gate.config().unwrap().version, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_later_read_is_applied_again() {
    let gate = gate();
    let mut other = Cache::default();
    let newer = other.record_read(5, &config(2), &[listed("x")]);
    gate.apply_update(&update(newer, 5), clock::since_boot());
    gate.apply(read(
        6,
        vec![Change::Upstream(fleet::Change::Removed("x".into()))],
    ));
    let chosen = gate.fleet.choose(&"s".into(), &Criteria::default());
    expect_that!(chosen.is_err(), eq(true));
}

// An entry that becomes the reader does not publish unchanged parts again: a configuration of a thousand
// routes would be sent to all replicas, and from them to a hundred entries.
#[gtest]
fn unchanged_parts_are_not_published_again() {
    let mut reader = Cache::default();
    let newer = reader.record_read(5, &config(2), &[listed("x")]);
    expect_that!(newer.config, some(anything()));
    let mut next = Cache::default();
    expect_true!(next.apply_update(&update(newer, 5)).unwrap().is_complete);
    let nothing = service::Snapshot::default();
    expect_that!(
        next.record_read(7, &config(2), &[listed("x")]),
        eq(&nothing)
    );
    expect_that!(next.as_of(), eq(7));
    // Only the changed part is published.
    let changed = next.record_read(8, &config(2), &[listed("x"), listed("y")]);
    expect_that!(changed.config.is_none(), eq(true));
    expect_that!(changed.upstreams.unwrap().as_of, eq(8));
}

// Guards against an upstream that stays in use because its removal is delivered at a revision that the entry
// already has.
#[gtest]
#[tokio::test]
async fn a_list_of_the_same_revision_is_taken() {
    let gate = gate();
    let mut reader = Cache::default();
    let first = reader.record_read(5, &config(2), &[listed("x")]);
    expect_true!(gate.apply_update(&update(first, 5), clock::since_boot()));
    expect_true!(is_used(&gate.fleet));
    let second = service::Update {
        digests: {
            reader.record_read(5, &config(2), &[]);
            reader.digests()
        },
        ..update(reader.full_snapshot(Arc::new(config(2)))(), 5)
    };
    expect_true!(gate.apply_update(&second, clock::since_boot()));
    expect_false!(is_used(&gate.fleet));
}

// Guards against an entry that counts a revision as complete but lacks some of its content.
#[gtest]
fn a_revision_counts_only_with_its_content() {
    let mut reader = Cache::default();
    let first = reader.record_read(5, &config(2), &[listed("x")]);
    let mut follower = Cache::default();
    follower.apply_update(&update(first, 5));
    reader.record_read(7, &config(2), &[]);
    let without_the_list = service::Update {
        digests: reader.digests(),
        ..update(service::Snapshot::default(), 7)
    };
    expect_false!(
        follower
            .apply_update(&without_the_list)
            .unwrap()
            .is_complete
    );
    expect_that!(follower.as_of(), eq(5));
    let whole = update(reader.full_snapshot(Arc::new(config(2)))(), 7);
    expect_true!(follower.apply_update(&whole).unwrap().is_complete);
    expect_that!(follower.as_of(), eq(7));
}

// Guards against an entry that keeps following another one's reads although it cannot decode the list.
#[gtest]
fn an_undecodable_list_does_not_count_as_complete() {
    let mut reader = Cache::default();
    let mut first = reader.record_read(5, &config(2), &[listed("x")]);
    if let Some(part) = &mut first.upstreams {
        part.bytes = "\u{ff}\u{ff}".into();
    }
    let mut follower = Cache::default();
    let told = follower.apply_update(&update(first.clone(), 5)).unwrap();
    expect_that!(told.upstreams, none());
    expect_false!(told.is_complete);
    // Nor does an update without changes make it count.
    let again = service::Update {
        digests: first.digests(),
        ..update(service::Snapshot::default(), 6)
    };
    expect_false!(follower.apply_update(&again).unwrap().is_complete);
    expect_that!(follower.as_of(), eq(0));
    // The entry's own read replaces the list.
    follower.record_read(6, &config(2), &[listed("x")]);
    expect_that!(follower.as_of(), eq(6));
}

// Guards against a list from a replica's disk that replaces a newer one.
#[gtest]
fn parts_from_a_disk_are_applied_only_if_newer() {
    let mut reader = Cache::default();
    let old = reader.record_read(5, &config(2), &[listed("x")]);
    let new = reader.record_read(7, &config(3), &[]);
    let on_disk = |parts: service::Snapshot| service::Update {
        last_read: None,
        ..update(parts, 0)
    };
    let mut follower = Cache::default();
    expect_true!(follower.apply_update(&on_disk(new)).is_some());
    expect_true!(follower.apply_update(&on_disk(old)).is_none());
    // Without a read, no revision is known to be complete.
    expect_that!(follower.as_of(), eq(0));
}

// Guards against a reader that publishes an upstream as listed which only it still keeps in use.
#[gtest]
#[tokio::test]
async fn an_entry_that_was_cut_off_restores_no_removed_upstream() {
    let gate = gate();
    let mut other = Cache::default();
    let newer = other.record_read(5, &config(2), &[listed("x")]);
    let ago = Duration::from_secs(9);
    let old = service::Update {
        last_read: Some(service::LastRead {
            by: 1,
            as_of: 5,
            ago,
            asked: None,
        }),
        ..update(newer, 5)
    };
    gate.apply_update(&old, clock::since_boot());
    let nothing = Event::Snapshot {
        changes: vec![],
        as_of: 8,
    };
    gate.apply(nothing);
    expect_true!(is_used(&gate.fleet));
    expect_that!(gate.fleet.listing(), is_empty());
    // Other entries have read the store the whole time.
    let cache = Cache::default();
    let steady = service::Update {
        reads: Some(service::ReadSpan {
            first: Duration::from_secs(60),
            last: Duration::from_millis(200),
        }),
        digests: cache.digests(),
        ..update(service::Snapshot::default(), 8)
    };
    gate.apply_update(&steady, clock::since_boot());
    expect_false!(is_used(&gate.fleet));
}

// Guards against keys that are accepted by a configuration although there is a newer one, which cannot be
// decoded.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_read_of_an_undecodable_configuration_confirms_nothing() {
    let gate = Gate::new(gate::Options {
        keys_stale_after: Some(Duration::from_secs(60)),
        ..options()
    });
    let unproven = staleness::Outcome::Stale { age: None };
    let keys = async || gate.await_active_config().await.unwrap().key_freshness;
    gate.configure(config(1));
    gate.wait_read_due().await;
    gate.apply(read(4, vec![Change::UnreadableConfig]));
    expect_that!(keys().await, eq(unproven));
    gate.apply(read(5, vec![]));
    expect_that!(keys().await, eq(unproven));
    gate.apply(read(6, vec![Change::Config(Box::new(config(3)))]));
    expect_that!(keys().await, eq(staleness::Outcome::Fresh));
}
