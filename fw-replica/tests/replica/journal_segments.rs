//! Disk usage of a journal.

use std::path::Path;
use std::time::Duration;

use fw_replica::{journal, member, record, server, service};
use googletest::prelude::*;

/// Small enough for a few turns to fill a segment.
const SEGMENT: u32 = 4096;
/// Start time of the tests' records, on a clock of their own.
const START: record::UnixMs = 1_000_000;
/// A time at which the retention of records from `START` is over.
const LATER: record::UnixMs = START + 300_000;

fn opts() -> server::Options {
    server::Options {
        journal: journal::Options {
            segment_bytes: SEGMENT,
        },
        ..server::Options::default()
    }
}

fn open(dir: &Path) -> std::sync::Arc<server::Shared> {
    server::Shared::open(dir, opts()).unwrap()
}

fn turn(id: usize, ended: record::UnixMs) -> record::Record {
    record::Record::Turn(record::Turn {
        id: id.to_string().into(),
        parent: None,
        input: vec![b'i'; 1_000].into(),
        output: "o".into(),
        ended,
        retention: Duration::from_secs(60),
    })
}

fn charge(turn: &str, made: record::UnixMs) -> record::Record {
    record::Record::Charge(record::Charge {
        program: "p".into(),
        id: turn.into(),
        tokens: 10,
        settled: true,
        made,
    })
}

/// Bytes in the directory.
fn used(dir: &Path) -> u64 {
    let entries = std::fs::read_dir(dir).unwrap();
    entries
        .map(|entry| entry.unwrap().metadata().unwrap().len())
        .sum()
}

async fn store_turns(replica: &server::Shared, ids: std::ops::Range<usize>, ended: record::UnixMs) {
    for id in ids {
        assert!(replica.store(turn(id, ended)).await);
    }
}

/// Each call removes one segment at most.
async fn expire(replica: &server::Shared, now: record::UnixMs) {
    for _ in 0..100 {
        replica.expire(now).await;
    }
}

#[gtest]
#[tokio::test]
async fn does_not_grow_for_ever() {
    // Guards against a full disk. A disk of 390 MB was full after an hour of twenty turns a second,
    // as nothing was ever removed from it; from then on no turn could be stored.
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    store_turns(&replica, 0..100, START).await;
    store_turns(&replica, 100..110, LATER).await;
    let before = used(dir.path());
    expire(&replica, LATER).await;
    expect_that!(before, gt(100_000));
    expect_that!(used(dir.path()), lt(20_000));
    expect_that!(replica.has(&"109".into()), eq(true));
    expect_that!(replica.has(&"0".into()), eq(false));
}

#[gtest]
#[tokio::test]
async fn keeps_what_never_lapses() {
    // Guards against the loss of records that never expire. A long-running replica is restarted. If
    // the segment with its member list and its permission to vote had been removed, it would accept
    // reservations from entries with older lists, or not respond until it had copied everything
    // again.
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let view = member::View {
        epoch: 7,
        list: member::List::default(),
    };
    let part = service::SnapshotPart {
        as_of: 3,
        bytes: "b".into(),
    };
    assert!(replica.update_view(view.clone()).await);
    assert!(replica.mark_synced(true).await);
    let snapshot = service::Snapshot {
        config: Some(part.clone()),
        upstreams: Some(part),
    };
    replica.store_snapshot(snapshot.clone()).await;
    store_turns(&replica, 0..20, START).await;
    expire(&replica, LATER).await;
    expect_that!(dir.path().join("records-00000001.log").exists(), eq(false));
    drop(replica);
    let replica = open(dir.path());
    expect_that!(*replica.view().borrow(), eq(&view));
    expect_that!(replica.is_synced(), eq(true));
    expect_that!(replica.snapshot(), eq(&snapshot));
}

#[gtest]
#[tokio::test]
async fn keeps_all_charges_of_a_program_that_goes_on() {
    // Guards against an expired charge of a live program. A program ran for longer than the
    // retention of a charge, and its replica was restarted. Its first charge was removed with an
    // old segment, so that it could spend those tokens twice.
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    assert!(
        replica
            .store(charge("first", server::unix_ms() - 190_000))
            .await
    );
    store_turns(&replica, 0..20, START).await;
    assert!(replica.store(charge("later", server::unix_ms())).await);
    expire(&replica, server::unix_ms() + 170_000).await;
    expect_that!(dir.path().join("records-00000001.log").exists(), eq(false));
    drop(replica);
    let replica = open(dir.path());
    let known = replica.ledger(&"p".into());
    expect_that!(
        known.iter().filter(|line| line.charge == "first").count(),
        eq(1)
    );
    expect_that!(
        known.iter().filter(|line| line.charge == "later").count(),
        eq(1)
    );
}

#[gtest]
#[tokio::test]
async fn begins_a_segment_whole_or_not_at_all() {
    // Power fails while a new segment is created. The remnant has a temporary name, and the replica
    // continues in the segment before.
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    assert!(replica.mark_synced(true).await);
    store_turns(&replica, 0..3, server::unix_ms()).await;
    drop(replica);
    std::fs::write(dir.path().join("records.new"), "torn").unwrap();
    let replica = open(dir.path());
    expect_that!(replica.is_synced(), eq(true));
    store_turns(&replica, 3..20, server::unix_ms()).await;
    drop(replica);
    let replica = open(dir.path());
    for id in 0..20 {
        expect_that!(replica.has(&id.to_string().into()), eq(true), "turn {id}");
    }
}
