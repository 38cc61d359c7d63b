//! What an entry has read from the platform's store, told to the others.

use std::time::Duration;

use fw_replica::server::Shared;
use fw_replica::service::{Bulletin, Bulletins, Marks, Post};
use fw_replica::{journal, member};
use googletest::prelude::*;

fn part(as_of: u64) -> Option<Bulletin> {
    Some(Bulletin {
        as_of,
        bytes: format!("{as_of}").into(),
    })
}

fn post(as_of: u64, marks: Marks, changed: Bulletins) -> Post {
    Post {
        by: 1,
        as_of,
        marks,
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
    let replica = Shared::open(dir.path(), journal::Options::default(), 1).unwrap();
    let marks = Marks {
        config: 5,
        upstreams: 6,
    };
    let upstreams = Bulletins {
        upstreams: part(6),
        ..Bulletins::default()
    };
    expect_that!(replica.post(post(6, marks, upstreams)).await, eq(false));
    let news = replica.news(Marks::default(), Duration::ZERO).await;
    expect_that!(news.last, none());
    let whole = Bulletins {
        config: part(5),
        upstreams: part(6),
    };
    expect_that!(replica.post(post(6, marks, whole.clone())).await, eq(true));
    let news = replica.news(Marks::default(), Duration::ZERO).await;
    expect_that!(news.last.unwrap().as_of, eq(6));
    expect_that!(news.newer, eq(&whole));
    // That nothing has changed is news too.
    let same = post(9, marks, Bulletins::default());
    expect_that!(replica.post(same).await, eq(true));
    let news = replica.news(marks, Duration::ZERO).await;
    expect_that!(news.last.unwrap().as_of, eq(9));
    expect_that!(news.newer, eq(&Bulletins::default()));
}

// A member leaves, and its machine is taken away. Entries that waited for news at it were not told, and
// went on to ask it for votes: turns waited for a second. What showed it: `member list` at the replicas,
// and 0.6 s later `a replica does not answer` at all entries.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_changed_member_list_is_told_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let replica = Shared::open(dir.path(), journal::Options::default(), 1).unwrap();
    let view = member::View {
        epoch: 7,
        list: member::List::default(),
    };
    let begun = tokio::time::Instant::now();
    let waits = async {
        let news = replica
            .news(Marks::default(), Duration::from_secs(60))
            .await;
        (news, begun.elapsed())
    };
    let ((news, waited), learned) = tokio::join!(waits, replica.learn(view.clone()));
    expect_that!(learned, eq(true));
    expect_that!(news.view, eq(&view));
    expect_that!(waited, lt(Duration::from_secs(60)));
}
