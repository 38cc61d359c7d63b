//! Revisions, transactions, compaction and leases of the store's state.

use std::time::Duration;
use std::time::Instant;

use fw_fake::store::mvcc;
use googletest::prelude::*;

fn put(key: &str, value: &str, lease: i64) -> mvcc::Op {
    mvcc::Op::Put {
        key: key.into(),
        value: value.into(),
        lease,
    }
}

fn everything() -> mvcc::Span {
    mvcc::Span {
        key: vec![0],
        end: vec![0],
    }
}

#[gtest]
fn failed_comparison_takes_the_other_branch() {
    let mut state = mvcc::Mvcc::default();
    let create = [mvcc::Compare::Create(b"a".to_vec(), 0)];
    let first = state.txn(&create, vec![put("a", "1", 0)], vec![]).unwrap();
    let second = state.txn(&create, vec![put("a", "2", 0)], vec![]).unwrap();
    expect_true!(first.succeeded);
    expect_false!(second.succeeded);
    expect_eq!(first.revision, second.revision);
}

#[gtest]
fn reads_see_the_requested_revision() {
    let mut state = mvcc::Mvcc::default();
    let at = state
        .txn(&[], vec![put("a", "1", 0)], vec![])
        .unwrap()
        .revision;
    state.txn(&[], vec![put("a", "2", 0)], vec![]).unwrap();
    let read = mvcc::Read {
        span: everything(),
        revision: at,
        limit: 0,
    };
    let mvcc::Reply::Range { kvs, .. } = state.read(&read).unwrap() else {
        panic!("a read returns keys");
    };
    expect_eq!(kvs[0].value, b"1");
}

#[gtest]
fn compaction_keeps_live_keys_and_drops_changes() {
    let mut state = mvcc::Mvcc::default();
    state.txn(&[], vec![put("a", "1", 0)], vec![]).unwrap();
    state.txn(&[], vec![put("b", "2", 0)], vec![]).unwrap();
    let newest = state.revision();
    state.compact(newest);
    let compacted = mvcc::Refusal::Compacted(newest + 1);
    expect_that!(state.changes(&everything(), newest), err(eq(&compacted)));
    let read = mvcc::Read {
        span: everything(),
        ..mvcc::Read::default()
    };
    let got = state.read(&read).unwrap();
    expect_that!(
        got,
        matches_pattern!(mvcc::Reply::Range {
            kvs: len(eq(2)),
            ..
        })
    );
}

#[gtest]
fn an_expired_lease_deletes_its_keys() {
    let mut state = mvcc::Mvcc::default();
    let start = Instant::now();
    let lease = state.grant(Duration::from_secs(1), start);
    state.txn(&[], vec![put("a", "1", lease)], vec![]).unwrap();
    let before = state.revision();
    state.expire(start + Duration::from_secs(2));
    let changes = state.changes(&everything(), before + 1).unwrap();
    expect_that!(changes, len(eq(1)));
    expect_true!(changes[0].is_deletion());
    expect_eq!(state.keep_alive(lease, start), None);
}
