//! Quarantined requests on a replica's disk.

use std::sync::Arc;
use std::time::Duration;

use fw_base::digest;
use fw_plan::quarantine;
use fw_replica::service::{self, Replica};
use fw_replica::{journal, record, server};
use googletest::prelude::*;

fn open(dir: &std::path::Path) -> Arc<server::Shared> {
    let opts = server::Options {
        journal: journal::Options {
            segment_bytes: 1_024,
        },
        ..server::Options::default()
    };
    server::Shared::open(dir, opts).unwrap()
}

fn suspect(evidence: quarantine::Evidence) -> quarantine::Suspect {
    quarantine::Suspect {
        fingerprint: digest::Digest::of_bytes(b"request"),
        owner: 0,
        evidence,
        age: Duration::ZERO,
    }
}

/// Evidence of three crashes, one after the other.
fn three_crashes() -> quarantine::Evidence {
    let mut evidence = quarantine::Evidence::default();
    for id in 1..=3 {
        evidence.record(id, quarantine::Failure::crash(evidence.weight()));
    }
    evidence
}

async fn report(replica: &Arc<server::Shared>, evidence: quarantine::Evidence) {
    let server = server::Server(Arc::clone(replica));
    let suspect = suspect(evidence);
    let release = None;
    let report = service::ReportAttempt { suspect, release };
    server
        .report_attempt(tarpc::context::current(), report)
        .await;
}

/// Weight of the evidence that the replica holds.
async fn weight(replica: &Arc<server::Shared>) -> quarantine::Weight {
    let server = server::Server(Arc::clone(replica));
    let from = service::Position::default();
    let page = server
        .poll_suspects(tarpc::context::current(), from, Duration::ZERO)
        .await;
    let suspects = page.suspects.iter();
    suspects.map(|suspect| suspect.evidence.weight()).sum()
}

/// Fills segments with records that expire, until the first segment is removed.
async fn remove_first_segment(replica: &server::Shared, dir: &std::path::Path) {
    for id in 0..40 {
        let turn = record::Turn {
            id: id.to_string().into(),
            parent: None,
            input: vec![b'i'; 200].into(),
            output: "o".into(),
            ended: 1_000_000,
            retention: Duration::from_secs(60),
        };
        assert!(replica.store(record::Record::Turn(turn)).await);
    }
    for _ in 0..40 {
        replica.expire(server::unix_ms()).await;
    }
    assert!(!dir.join("records-00000001.log").exists());
}

// Guards against a quarantine that is removed with an expired segment of the journal.
#[gtest]
#[tokio::test]
async fn outlives_its_segment() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    report(&replica, three_crashes()).await;
    remove_first_segment(&replica, dir.path()).await;
    drop(replica);
    expect_that!(weight(&open(dir.path())).await, eq(6));
}

// Guards against a quarantine that comes back with a restart after a completed run has lifted it.
#[gtest]
#[tokio::test]
async fn stays_lifted() {
    let dir = tempfile::tempdir().unwrap();
    let replica = open(dir.path());
    report(&replica, three_crashes()).await;
    let mut disproved = three_crashes();
    disproved.disprove();
    report(&replica, disproved).await;
    drop(replica);
    expect_that!(weight(&open(dir.path())).await, eq(0));
}
