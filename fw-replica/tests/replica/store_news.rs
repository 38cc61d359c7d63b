//! Distribution of the platform store's contents from entries that read it to the others.

use std::time::Duration;

use fw_replica::member;
use fw_replica::server::{self, Shared};
use fw_replica::service::{
    ClockReading, KnownVersion, PartDigests, Publish, Snapshot, SnapshotPart,
};
use googletest::prelude::*;

fn part(as_of: u64) -> Option<SnapshotPart> {
    Some(SnapshotPart {
        as_of,
        bytes: format!("{as_of}").into(),
    })
}

fn publication(as_of: u64, digests: PartDigests, changed: Snapshot) -> Publish {
    Publish {
        entry: 1,
        as_of,
        requested_at: None,
        digests,
        changed,
    }
}

// Guards against a part that never reaches an entry. A replica misses the publication of a new
// configuration, and receives the next one, of a changed upstream. If it reported all parts as
// current up to that read, an entry that then read on from there would never receive the
// configuration.
#[gtest]
#[tokio::test]
async fn a_read_is_served_only_with_all_its_parts() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let whole = Snapshot {
        config: part(5),
        upstreams: part(6),
    };
    let digests = whole.digests();
    let upstreams = Snapshot {
        upstreams: part(6),
        ..Snapshot::default()
    };
    expect_false!(
        replica
            .publish(publication(6, digests, upstreams))
            .await
            .is_complete
    );
    let update = replica
        .poll_update(KnownVersion::default(), Duration::ZERO)
        .await;
    expect_that!(update.last_read, none());
    expect_true!(
        replica
            .publish(publication(6, digests, whole.clone()))
            .await
            .is_complete
    );
    let update = replica
        .poll_update(KnownVersion::default(), Duration::ZERO)
        .await;
    expect_that!(update.last_read.unwrap().as_of, eq(6));
    expect_that!(update.newer, eq(&whole));
    // A read without changes is reported too.
    let same = publication(9, digests, Snapshot::default());
    expect_true!(replica.publish(same).await.is_complete);
    let known = KnownVersion { as_of: 6, digests };
    let update = replica.poll_update(known, Duration::ZERO).await;
    expect_that!(update.last_read.unwrap().as_of, eq(9));
    expect_that!(update.newer, eq(&Snapshot::default()));
}

// Guards against requests to a member that has left. A member leaves, and its machine is removed.
// Entries that polled it for updates were not informed, and went on to request votes from it: turns
// waited for a second. It showed as `member list` at the replicas, and 0.6 s later `a replica does
// not answer` at all entries.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_changed_member_list_is_told_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let view = member::View {
        epoch: 7,
        list: member::List::default(),
    };
    let started = tokio::time::Instant::now();
    let poll = async {
        let update = replica
            .poll_update(KnownVersion::default(), Duration::from_secs(60))
            .await;
        (update, started.elapsed())
    };
    let ((update, waited), updated) = tokio::join!(poll, replica.update_view(view.clone()));
    expect_that!(updated, eq(true));
    expect_that!(update.view, eq(&view));
    expect_that!(waited, lt(Duration::from_secs(60)));
}

fn upstreams(as_of: u64, bytes: &'static str) -> Snapshot {
    let bytes = bytes.into();
    Snapshot {
        upstreams: Some(SnapshotPart { as_of, bytes }),
        ..Snapshot::default()
    }
}

// Guards against a list that its readers have in different versions at one revision and that never
// spreads.
#[gtest]
#[tokio::test]
async fn a_list_that_differs_at_the_same_revision_is_served() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let old = upstreams(6, "x, y");
    expect_true!(
        replica
            .publish(publication(6, old.digests(), old.clone()))
            .await
            .is_complete
    );
    let new = upstreams(6, "y");
    // A publication without changes does not prove a list that the replica lacks.
    let unchanged = publication(9, new.digests(), Snapshot::default());
    expect_false!(replica.publish(unchanged).await.is_complete);
    expect_true!(
        replica
            .publish(publication(6, new.digests(), new.clone()))
            .await
            .is_complete
    );
    let known = KnownVersion {
        as_of: 6,
        digests: old.digests(),
    };
    let update = replica.poll_update(known, Duration::ZERO).await;
    expect_that!(update.newer, eq(&new));
    expect_that!(update.digests, eq(new.digests()));
}

// Guards against a delayed publication that replaces a newer list by an older one.
#[gtest]
#[tokio::test]
async fn an_older_publication_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let (old, new) = (upstreams(6, "x, y"), upstreams(8, "y"));
    let first = replica.publish(publication(8, new.digests(), new.clone()));
    let second = replica.publish(publication(6, old.digests(), old.clone()));
    tokio::join!(first, second);
    expect_that!(replica.snapshot(), eq(&new));
    let update = replica
        .poll_update(KnownVersion::default(), Duration::ZERO)
        .await;
    expect_that!(update.last_read.unwrap().as_of, eq(8));
}

// Guards against two concurrent publications of which the older one reaches the disk last.
#[gtest]
#[tokio::test]
async fn the_newest_of_two_concurrent_publications_survives_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let (old, new) = (upstreams(6, "x, y"), upstreams(8, "y"));
    let first = replica.publish(publication(6, old.digests(), old.clone()));
    let second = replica.publish(publication(8, new.digests(), new.clone()));
    tokio::join!(first, second);
    expect_that!(replica.snapshot(), eq(&new));
    drop(replica);
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    expect_that!(replica.snapshot(), eq(&new));
}

// Guards against a requester that repeatedly receives, without waiting, parts that it rejects.
#[gtest]
#[tokio::test]
async fn parts_older_than_the_requesters_are_not_served() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let old = upstreams(6, "x, y");
    replica
        .publish(publication(6, old.digests(), old.clone()))
        .await;
    let known = KnownVersion {
        as_of: 7,
        digests: upstreams(7, "y").digests(),
    };
    let started = std::time::Instant::now();
    let wait = Duration::from_millis(30);
    let update = replica.poll_update(known, wait).await;
    expect_that!(update.newer, eq(&Snapshot::default()));
    expect_that!(started.elapsed(), ge(wait));
}

fn read(as_of: u64, requested_at: Option<ClockReading>) -> Publish {
    Publish {
        requested_at,
        ..publication(as_of, PartDigests::default(), Snapshot::default())
    }
}

async fn requested_ago(replica: &Shared) -> Option<Duration> {
    let update = replica
        .poll_update(KnownVersion::default(), Duration::ZERO)
        .await;
    update.last_read.unwrap().asked
}

// Guards against a delayed publication that counts as a new read on arrival: a key revoked in the
// meantime would be accepted.
#[gtest]
#[tokio::test]
async fn a_publication_is_as_old_as_the_clock_reading_before_its_read() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let before = replica.publish(read(5, None)).await.now;
    expect_that!(requested_ago(&replica).await, none());
    let late = ClockReading {
        at: before.at.saturating_sub(Duration::from_secs(9)),
        ..before
    };
    replica.publish(read(6, Some(late))).await;
    let age = requested_ago(&replica).await.unwrap();
    expect_that!(age, ge(Duration::from_secs(9)));
    replica.publish(read(7, Some(before))).await;
    let age = requested_ago(&replica).await.unwrap();
    expect_that!(age, lt(Duration::from_secs(9)));
    // A delayed older publication takes nothing back.
    replica.publish(read(6, Some(late))).await;
    let update = replica
        .poll_update(KnownVersion::default(), Duration::ZERO)
        .await;
    expect_that!(update.last_read.unwrap().as_of, eq(7));
    expect_that!(
        requested_ago(&replica).await.unwrap(),
        lt(Duration::from_secs(9))
    );
}

// A restarted replica must not accept a clock reading of its previous start as its own.
#[gtest]
#[tokio::test]
async fn a_clock_reading_of_an_earlier_start_proves_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let before = replica.publish(read(5, None)).await.now;
    let other = ClockReading { run: 2, ..before };
    replica.publish(read(6, Some(other))).await;
    expect_that!(requested_ago(&replica).await, none());
}

// Guards against a publication of unknown age that counts as read at its arrival.
#[gtest]
#[tokio::test]
async fn only_reads_of_known_age_count_against_an_outage() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let steady = async || {
        let update = replica
            .poll_update(KnownVersion::default(), Duration::ZERO)
            .await;
        update.reads
    };
    let now = replica.publish(read(5, None)).await.now;
    expect_that!(steady().await, none());
    let other_start = ClockReading { run: 2, ..now };
    replica.publish(read(6, Some(other_start))).await;
    expect_that!(steady().await, none());
    replica.publish(read(7, Some(now))).await;
    replica.publish(read(8, Some(now))).await;
    let reads = steady().await.unwrap();
    expect_that!(reads.first, ge(reads.last));
}
