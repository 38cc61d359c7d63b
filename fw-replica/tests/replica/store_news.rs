//! What an entry has read from the platform's store, told to the others.

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

fn post(as_of: u64, marks: PartDigests, changed: Snapshot) -> Publish {
    Publish {
        entry: 1,
        as_of,
        requested_at: None,
        digests: marks,
        changed,
    }
}

// A replica missed the post of a new configuration, and gets the next one, of a changed upstream. Told
// that all is known up to that read, an entry that then read on from there would never hear of the
// configuration.
#[gtest]
#[tokio::test]
async fn a_read_is_told_only_with_all_its_parts() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let whole = Snapshot {
        config: part(5),
        upstreams: part(6),
    };
    let marks = whole.digests();
    let upstreams = Snapshot {
        upstreams: part(6),
        ..Snapshot::default()
    };
    expect_false!(replica.post(post(6, marks, upstreams)).await.is_complete);
    let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
    expect_that!(news.last_read, none());
    expect_true!(
        replica
            .post(post(6, marks, whole.clone()))
            .await
            .is_complete
    );
    let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
    expect_that!(news.last_read.unwrap().as_of, eq(6));
    expect_that!(news.newer, eq(&whole));
    // That nothing has changed is news too.
    let same = post(9, marks, Snapshot::default());
    expect_true!(replica.post(same).await.is_complete);
    let known = KnownVersion {
        as_of: 6,
        digests: marks,
    };
    let news = replica.news(known, Duration::ZERO).await;
    expect_that!(news.last_read.unwrap().as_of, eq(9));
    expect_that!(news.newer, eq(&Snapshot::default()));
}

// A member leaves, and its machine is taken away. Entries that waited for news at it were not told, and
// went on to ask it for votes: turns waited for a second. What showed it: `member list` at the replicas,
// and 0.6 s later `a replica does not answer` at all entries.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_changed_member_list_is_told_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let view = member::View {
        epoch: 7,
        list: member::List::default(),
    };
    let begun = tokio::time::Instant::now();
    let waits = async {
        let news = replica
            .news(KnownVersion::default(), Duration::from_secs(60))
            .await;
        (news, begun.elapsed())
    };
    let ((news, waited), learned) = tokio::join!(waits, replica.learn(view.clone()));
    expect_that!(learned, eq(true));
    expect_that!(news.view, eq(&view));
    expect_that!(waited, lt(Duration::from_secs(60)));
}

fn upstreams(as_of: u64, bytes: &'static str) -> Snapshot {
    let bytes = bytes.into();
    Snapshot {
        upstreams: Some(SnapshotPart { as_of, bytes }),
        ..Snapshot::default()
    }
}

// Guards against a list that its readers know differently at one revision and that never spreads.
#[gtest]
#[tokio::test]
async fn a_list_that_differs_at_the_same_revision_is_told() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let old = upstreams(6, "x, y");
    expect_true!(
        replica
            .post(post(6, old.digests(), old.clone()))
            .await
            .is_complete
    );
    let new = upstreams(6, "y");
    // A post that says only that nothing has changed does not prove another list.
    let unchanged = post(9, new.digests(), Snapshot::default());
    expect_false!(replica.post(unchanged).await.is_complete);
    expect_true!(
        replica
            .post(post(6, new.digests(), new.clone()))
            .await
            .is_complete
    );
    let known = KnownVersion {
        as_of: 6,
        digests: old.digests(),
    };
    let news = replica.news(known, Duration::ZERO).await;
    expect_that!(news.newer, eq(&new));
    expect_that!(news.digests, eq(new.digests()));
}

// Guards against a held-up post that puts an older list in the place of a newer one.
#[gtest]
#[tokio::test]
async fn an_older_post_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let (old, new) = (upstreams(6, "x, y"), upstreams(8, "y"));
    let first = replica.post(post(8, new.digests(), new.clone()));
    let second = replica.post(post(6, old.digests(), old.clone()));
    tokio::join!(first, second);
    expect_that!(replica.bulletins(), eq(&new));
    let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
    expect_that!(news.last_read.unwrap().as_of, eq(8));
}

// Guards against two posts at once of which the older one reaches the disk last.
#[gtest]
#[tokio::test]
async fn the_newest_of_two_posts_at_once_is_kept_over_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let (old, new) = (upstreams(6, "x, y"), upstreams(8, "y"));
    let first = replica.post(post(6, old.digests(), old.clone()));
    let second = replica.post(post(8, new.digests(), new.clone()));
    tokio::join!(first, second);
    expect_that!(replica.bulletins(), eq(&new));
    drop(replica);
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    expect_that!(replica.bulletins(), eq(&new));
}

// Guards against an asker that is told at once, again and again, what it does not take.
#[gtest]
#[tokio::test]
async fn parts_older_than_what_the_asker_knows_are_not_told() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let old = upstreams(6, "x, y");
    replica.post(post(6, old.digests(), old.clone())).await;
    let known = KnownVersion {
        as_of: 7,
        digests: upstreams(7, "y").digests(),
    };
    let begun = std::time::Instant::now();
    let wait = Duration::from_millis(30);
    let news = replica.news(known, wait).await;
    expect_that!(news.newer, eq(&Snapshot::default()));
    expect_that!(begun.elapsed(), ge(wait));
}

fn read(as_of: u64, asked: Option<ClockReading>) -> Publish {
    Publish {
        requested_at: asked,
        ..post(as_of, PartDigests::default(), Snapshot::default())
    }
}

async fn asked_ago(replica: &Shared) -> Option<Duration> {
    let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
    news.last_read.unwrap().asked
}

// A post that was held up on its way must not count as a new read when it comes: a key that was taken
// away meanwhile would be accepted.
#[gtest]
#[tokio::test]
async fn a_post_is_as_old_as_the_moment_before_its_read() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let before = replica.post(read(5, None)).await.now;
    expect_that!(asked_ago(&replica).await, none());
    let late = ClockReading {
        at: before.at.saturating_sub(Duration::from_secs(9)),
        ..before
    };
    replica.post(read(6, Some(late))).await;
    let age = asked_ago(&replica).await.unwrap();
    expect_that!(age, ge(Duration::from_secs(9)));
    replica.post(read(7, Some(before))).await;
    let age = asked_ago(&replica).await.unwrap();
    expect_that!(age, lt(Duration::from_secs(9)));
    // An older one that comes after it takes nothing back.
    replica.post(read(6, Some(late))).await;
    let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
    expect_that!(news.last_read.unwrap().as_of, eq(7));
    expect_that!(
        asked_ago(&replica).await.unwrap(),
        lt(Duration::from_secs(9))
    );
}

// A replica that started anew does not take a moment of its former start for one of its own.
#[gtest]
#[tokio::test]
async fn a_moment_of_a_former_start_proves_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let before = replica.post(read(5, None)).await.now;
    let other = ClockReading { run: 2, ..before };
    replica.post(read(6, Some(other))).await;
    expect_that!(asked_ago(&replica).await, none());
}

// Guards against a post of unknown age that counts as a read of the moment in which it came.
#[gtest]
#[tokio::test]
async fn only_reads_of_known_age_count_against_an_outage() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), server::Options::default()).unwrap();
    let steady = async || {
        let news = replica.news(KnownVersion::default(), Duration::ZERO).await;
        news.reads
    };
    let now = replica.post(read(5, None)).await.now;
    expect_that!(steady().await, none());
    let other_start = ClockReading { run: 2, ..now };
    replica.post(read(6, Some(other_start))).await;
    expect_that!(steady().await, none());
    replica.post(read(7, Some(now))).await;
    replica.post(read(8, Some(now))).await;
    let reads = steady().await.unwrap();
    expect_that!(reads.first, ge(reads.last));
}
