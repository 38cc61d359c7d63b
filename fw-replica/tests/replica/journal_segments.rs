//! A journal's use of the disk.

use std::path::Path;
use std::time::Duration;

use fw_replica::{journal, member, record, server, service};
use googletest::prelude::*;

/// So small that a few turns fill a segment.
const SEGMENT: u32 = 4096;
/// All records of these tests begin then, by a clock of their own.
const START: record::UnixMs = 1_000_000;
/// By then, whatever began at the start has been kept long enough.
const LATER: record::UnixMs = START + 300_000;

fn opts() -> server::Options {
    server::Options {
        journal: journal::Options { segment: SEGMENT },
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
        turn: turn.into(),
        tokens: 10,
        settled: true,
        made,
    })
}

/// Bytes in the folder.
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

/// Each look removes one segment at most.
async fn expire(replica: &server::Shared, now: record::UnixMs) {
    for _ in 0..100 {
        replica.expire(now).await;
    }
}

#[gtest]
#[tokio::test]
async fn does_not_grow_for_ever() {
    // A disk of 390 MB was full after an hour of twenty turns a second, as nothing was ever
    // removed from it; from then on no turn could be stored.
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
    // A replica ran for long and was restarted. Had the segment with its member list and with the
    // note that it may vote been removed, it would accept reservations from entries with older
    // lists, or be silent until it had copied everything again.
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let view = member::View {
        epoch: 7,
        list: member::List::default(),
    };
    let bulletin = service::SnapshotPart {
        as_of: 3,
        bytes: "b".into(),
    };
    assert!(replica.learn(view.clone()).await);
    assert!(replica.mark_synced(true).await);
    let bulletins = service::Snapshot {
        config: Some(bulletin.clone()),
        upstreams: Some(bulletin),
    };
    replica.keep(bulletins.clone()).await;
    store_turns(&replica, 0..20, START).await;
    expire(&replica, LATER).await;
    expect_that!(dir.path().join("records-00000001.log").exists(), eq(false));
    drop(replica);
    let replica = open(dir.path());
    expect_that!(*replica.view().borrow(), eq(&view));
    expect_that!(replica.is_synced(), eq(true));
    expect_that!(replica.bulletins(), eq(&bulletins));
}

#[gtest]
#[tokio::test]
async fn keeps_all_charges_of_a_program_that_goes_on() {
    // A program ran for longer than a charge is kept, and its replica was restarted. Its first
    // charge went with an old segment, so that it could spend those tokens twice.
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
        known.iter().filter(|line| line.turn == "first").count(),
        eq(1)
    );
    expect_that!(
        known.iter().filter(|line| line.turn == "later").count(),
        eq(1)
    );
}

#[gtest]
#[tokio::test]
async fn begins_a_segment_whole_or_not_at_all() {
    // Power fails while a new segment is made. What is left of it has no name that counts, and the
    // replica goes on in the segment before.
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
