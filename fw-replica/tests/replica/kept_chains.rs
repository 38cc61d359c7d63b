//! Chains whose first turns are older than their own retention.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fw_replica::service::Replica;
use fw_replica::{journal, record, server, service};
use googletest::prelude::*;
use tarpc::context;

/// Small enough for a few turns to fill a segment.
const SEGMENT: u32 = 4096;
const RETENTION: Duration = Duration::from_secs(15);
/// Time between two turns of a program, well below the retention.
const PAUSE: record::UnixMs = 6_000;
/// Number of turns after which the retention of the first one is over.
const TURNS: u64 = 20;

fn open(dir: &Path) -> Arc<server::Shared> {
    let opts = server::Options {
        journal: journal::Options {
            segment_bytes: SEGMENT,
        },
        ..server::Options::default()
    };
    let shared = server::Shared::open(dir, opts).unwrap();
    shared.set_voting(true);
    shared
}

fn turn(id: &str, parent: Option<&str>, ended: record::UnixMs) -> record::Turn {
    record::Turn {
        id: id.into(),
        parent: parent.map(Into::into),
        input: vec![b'i'; 500].into(),
        output: "o".into(),
        ended,
        retention: RETENTION,
    }
}

/// Id of the turn with this number in the chain of `program`.
fn id(program: &str, number: u64) -> String {
    format!("{program}-{number}")
}

/// Stores a chain of which the newest turn ended at `ended`, and lets records expire after each turn.
async fn store_chain(replica: &server::Shared, program: &str, ended: record::UnixMs) {
    for number in 0..TURNS {
        let at = ended - (TURNS - 1 - number) * PAUSE;
        let parent = number.checked_sub(1).map(|parent| id(program, parent));
        let turn = turn(&id(program, number), parent.as_deref(), at);
        assert!(replica.store(record::Record::Turn(turn)).await);
        replica.expire(at).await;
    }
}

/// Number of turns that the replica finds of the chain that ends with turn `newest`.
async fn found(replica: &Arc<server::Shared>, newest: &str) -> usize {
    let server = server::Server(Arc::clone(replica));
    let chain = server.chain(context::current(), 0, newest.into()).await;
    assert_eq!(chain.certain, chain.missing.is_some());
    chain.turns.len()
}

/// Ids of all listed turns.
async fn listed(replica: &Arc<server::Shared>) -> Vec<record::TurnId> {
    let mut ids = Vec::new();
    let mut after = service::Position::default();
    loop {
        let server = server::Server(Arc::clone(replica));
        let browsed = server.browse(context::current(), after, service::Scope::All);
        let page = browsed.await;
        for record in page.records {
            if let service::ListedRecord::Turn(id) = record {
                ids.push(id);
            }
        }
        if !page.more {
            return ids;
        }
        after = page.next;
    }
}

/// Removes segments whose retention is over at `now`.
async fn expire(replica: &server::Shared, now: record::UnixMs) {
    for _ in 0..100 {
        replica.expire(now).await;
    }
}

fn segments(dir: &Path) -> usize {
    std::fs::read_dir(dir).unwrap().count()
}

// Guards against a program that goes on and is answered 404, as its first turns were dropped by their own age.
#[gtest]
#[tokio::test]
async fn outlive_their_first_turns() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    store_chain(&replica, "p", now).await;
    expect_that!(found(&replica, &id("p", TURNS - 1)).await, eq(20));
}

// Guards against first turns that go with their journal segment, at once or at the next start of the replica.
#[gtest]
#[tokio::test]
async fn outlive_their_segments() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    store_chain(&replica, "p", now).await;
    let now = now + PAUSE;
    expire(&replica, now).await;
    expect_false!(dir.path().join("records-00000001.log").exists());
    expect_that!(found(&replica, &id("p", TURNS - 1)).await, eq(20));
    drop(replica);
    let replica = open(dir.path());
    expect_that!(found(&replica, &id("p", TURNS - 1)).await, eq(20));
}

// Guards against a replica with an empty disk that copies no first turns, as the list no longer has them.
#[gtest]
#[tokio::test]
async fn are_listed_as_a_whole() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    store_chain(&replica, "p", now).await;
    let now = now + PAUSE;
    expire(&replica, now).await;
    let listed = listed(&replica).await;
    for number in 0..TURNS {
        expect_that!(listed, contains(eq(&id("p", number))));
    }
}

// Guards against a full disk: a chain goes as a whole once the retention of its newest turn is over, and what
// is kept is not written again and again.
#[gtest]
#[tokio::test]
async fn expire_as_a_whole() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    store_chain(&replica, "p", now).await;
    let now = now + PAUSE;
    expire(&replica, now).await;
    let kept = segments(dir.path());
    expire(&replica, now).await;
    expect_that!(segments(dir.path()), eq(kept));
    let over = turn("p", None, now - PAUSE).retain_until();
    expire(&replica, over - 1).await;
    expect_that!(found(&replica, &id("p", TURNS - 1)).await, eq(20));
    expire(&replica, over).await;
    expect_that!(found(&replica, &id("p", TURNS - 1)).await, eq(0));
    expect_that!(found(&replica, &id("p", 0)).await, eq(0));
    expect_that!(listed(&replica).await, is_empty());
    expect_that!(segments(dir.path()), eq(1));
}

// Guards against a chain that goes with the first of two turns that continue it, or with one that is retained for
// less time than those before.
#[gtest]
#[tokio::test]
async fn last_as_long_as_any_turn() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    let short = record::Turn {
        retention: Duration::ZERO,
        ..turn("short", Some("first"), now + 1)
    };
    for turn in [
        turn("first", None, now),
        turn("early", Some("first"), now + 1_000),
        turn("late", Some("first"), now + 30_000),
        short,
    ] {
        assert!(replica.store(record::Record::Turn(turn)).await);
    }
    expire(&replica, turn("early", None, now + 1_000).retain_until()).await;
    expect_that!(found(&replica, "late").await, eq(2));
    expect_that!(found(&replica, "early").await, eq(0));
    expect_that!(found(&replica, "short").await, eq(0));
    expire(&replica, turn("late", None, now + 30_000).retain_until()).await;
    expect_that!(found(&replica, "first").await, eq(0));
}

async fn finish(replica: &Arc<server::Shared>, turn: record::Turn) -> service::Finished {
    let req = service::Finish {
        turn: Some(turn),
        ..service::Finish::default()
    };
    let server = server::Server(Arc::clone(replica));
    let finished = server.finish_with_chain(context::current(), None, req);
    finished.await
}

// Guards against a turn that is stored after a long run, when the retention of its chain is over.
#[gtest]
#[tokio::test]
async fn are_stored_before_a_turn_that_continues_them() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    let chain = [
        turn("first", None, now - 1_000_000),
        turn("second", Some("first"), now - 900_000),
    ];
    let third = turn("third", Some("second"), now);
    let finished = finish(&replica, third.clone()).await;
    let missing = "second".into();
    expect_that!(finished, eq(&service::Finished::LacksChain { missing }));
    let req = service::StoreChain {
        quorum: None,
        turns: chain.into(),
        until: third.retain_until(),
    };
    let server = server::Server(Arc::clone(&replica));
    expect_true!(server.store_chain(context::current(), req).await);
    replica.expire(now).await;
    let finished = finish(&replica, third).await;
    expect_that!(finished, eq(&service::Finished::Stored));
    replica.expire(now + 1_000).await;
    expect_that!(found(&replica, "third").await, eq(3));
}

// Guards against a chain of which the newest turn was copied first: the others are kept as long as it is.
#[gtest]
#[tokio::test]
async fn are_kept_in_any_order() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    let now = server::unix_ms();
    let old = now - 1_000_000;
    for turn in [
        turn("third", Some("second"), now),
        turn("first", None, old),
        turn("second", Some("first"), old + 1),
    ] {
        assert!(replica.store(record::Record::Turn(turn)).await);
    }
    replica.expire(now).await;
    expect_that!(found(&replica, "third").await, eq(3));
}
