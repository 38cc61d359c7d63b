//! What is told while the store is away, and after.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Error, Event, Options, Read, Revision, Source};
use googletest::prelude::*;
use parking_lot::Mutex;
use tokio::time::Instant;

#[derive(Clone, Default)]
struct Fake {
    away: Arc<Mutex<bool>>,
    gone: Arc<Mutex<bool>>,
    calls: Arc<Mutex<u32>>,
}

impl Fake {
    fn read(&self, what: &'static str) -> std::result::Result<Read<&'static str>, Error> {
        *self.calls.lock() += 1;
        if *self.away.lock() {
            let message = "away".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(Read {
            changes: vec![what],
            as_of: 5,
        })
    }
}

impl Source for Fake {
    type Change = &'static str;

    fn read_all(&self) -> BoxFuture<'_, std::result::Result<Read<&'static str>, Error>> {
        async { self.read("all") }.boxed()
    }

    fn read_changes(
        &self,
        after: Revision,
        _: Duration,
    ) -> BoxFuture<'_, std::result::Result<Read<&'static str>, Error>> {
        async move {
            if std::mem::take(&mut *self.gone.lock()) {
                return Err(Error::HistoryGone { after });
            }
            self.read("news")
        }
        .boxed()
    }
}

/// Time between two reads.
const PACE: Duration = Duration::from_millis(900);

type Told = Arc<Mutex<Vec<(Duration, Event<&'static str>)>>>;

fn start(fake: &Fake) -> Told {
    let told = Told::default();
    let begun = Instant::now();
    let note = Arc::clone(&told);
    tokio::spawn(fw_follow::follow(
        fake.clone(),
        Options {
            interval: PACE,
            ..Options::default()
        },
        async || 0,
        move |step| note.lock().push((begun.elapsed(), step)),
    ));
    told
}

// Guards against changes of an outage that are never read, as the history may have been dropped.
#[gtest]
#[tokio::test(start_paused = true)]
async fn all_is_read_once_the_store_is_back() {
    let fake = Fake::default();
    let told = start(&fake);
    tokio::time::sleep(Duration::from_secs(2)).await;
    *fake.away.lock() = true;
    tokio::time::sleep(Duration::from_secs(3)).await;
    *fake.away.lock() = false;
    let back = Duration::from_secs(5);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let told = told.lock();
    expect_that!(told[0].1, matches_pattern!(Event::Snapshot { .. }));
    let lost = told
        .iter()
        .position(|(_, step)| *step == Event::Unavailable);
    let lost = lost.unwrap();
    let (at, step) = &told[lost + 1];
    expect_that!(step, matches_pattern!(Event::Snapshot { .. }));
    expect_that!(*at - back, le(Duration::from_secs(1)));
    let later: Vec<_> = told[lost + 2..].iter().collect();
    expect_that!(later.is_empty(), eq(false));
    let news = |(_, step): &(Duration, Event<_>)| matches!(step, Event::Update { .. });
    expect_that!(later.iter().all(|told| news(told)), eq(true));
    // One word of the outage, however long it lasts.
    let losses = told
        .iter()
        .filter(|(_, step)| *step == Event::Unavailable)
        .count();
    expect_that!(losses, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reads_all_when_history_is_gone_and_paces_its_calls() {
    let fake = Fake::default();
    let told = start(&fake);
    tokio::time::sleep(Duration::from_secs(9)).await;
    // A call each 0.9 s, however much changes.
    expect_that!(*fake.calls.lock(), le(12));
    *fake.gone.lock() = true;
    let before = told.lock().len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let told = told.lock();
    expect_that!(told[before].1, matches_pattern!(Event::Snapshot { .. }));
}
