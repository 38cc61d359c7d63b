//! Events during an outage of the store and after it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Error, Event, Options, PageRead, Read, Revision, Source, snapshot};
use googletest::prelude::*;
use parking_lot::Mutex;
use tokio::time::Instant;

#[derive(Clone, Default)]
struct FakeSource {
    unavailable: Arc<Mutex<bool>>,
    history_gone: Arc<Mutex<bool>>,
    calls: Arc<Mutex<u32>>,
}

impl FakeSource {
    fn read(&self, change: &'static str) -> std::result::Result<Read<&'static str>, Error> {
        *self.calls.lock() += 1;
        if *self.unavailable.lock() {
            let message = "away".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(Read {
            changes: vec![change],
            as_of: 5,
        })
    }
}

impl Source for FakeSource {
    type Change = &'static str;
    type Cursor = ();

    fn read_page(&self, (): ()) -> PageRead<'_, Self> {
        async {
            self.read("all").map(|read| snapshot::Page {
                changes: read.changes,
                as_of: read.as_of,
                next: None,
            })
        }
        .boxed()
    }

    fn read_changes(
        &self,
        after: Revision,
        _: Duration,
    ) -> BoxFuture<'_, std::result::Result<Read<&'static str>, Error>> {
        async move {
            if std::mem::take(&mut *self.history_gone.lock()) {
                return Err(Error::HistoryGone { after });
            }
            self.read("news")
        }
        .boxed()
    }
}

/// Time between two reads.
const INTERVAL: Duration = Duration::from_millis(900);

type Events = Arc<Mutex<Vec<(Duration, Event<&'static str>)>>>;

fn start(source: &FakeSource) -> Events {
    let events = Events::default();
    let started_at = Instant::now();
    let recorder = Arc::clone(&events);
    tokio::spawn(fw_follow::follow(
        source.clone(),
        Options {
            interval: INTERVAL,
            ..Options::default()
        },
        async || 0,
        move |event| recorder.lock().push((started_at.elapsed(), event)),
    ));
    events
}

// Guards against changes made during an outage that are never read because the history was dropped.
#[gtest]
#[tokio::test(start_paused = true)]
async fn all_is_read_once_the_store_is_back() {
    let source = FakeSource::default();
    let events = start(&source);
    tokio::time::sleep(Duration::from_secs(2)).await;
    *source.unavailable.lock() = true;
    tokio::time::sleep(Duration::from_secs(3)).await;
    *source.unavailable.lock() = false;
    let returned_at = Duration::from_secs(5);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let events = events.lock();
    expect_that!(events[0].1, matches_pattern!(Event::Snapshot { .. }));
    let outage = events
        .iter()
        .position(|(_, event)| *event == Event::Unavailable);
    let outage = outage.unwrap();
    let (at, event) = &events[outage + 1];
    expect_that!(event, matches_pattern!(Event::Snapshot { .. }));
    expect_that!(*at - returned_at, le(Duration::from_secs(1)));
    let later: Vec<_> = events[outage + 2..].iter().collect();
    expect_that!(later.is_empty(), eq(false));
    let is_update = |(_, event): &(Duration, Event<_>)| matches!(event, Event::Update { .. });
    expect_that!(later.iter().all(|entry| is_update(entry)), eq(true));
    // One event per outage, however long it lasts.
    let outages = events
        .iter()
        .filter(|(_, event)| *event == Event::Unavailable)
        .count();
    expect_that!(outages, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reads_all_when_history_is_gone_and_limits_its_calls() {
    let source = FakeSource::default();
    let events = start(&source);
    tokio::time::sleep(Duration::from_secs(9)).await;
    // One call per 0.9 s, however many changes there are.
    expect_that!(*source.calls.lock(), le(12));
    *source.history_gone.lock() = true;
    let before = events.lock().len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let events = events.lock();
    expect_that!(events[before].1, matches_pattern!(Event::Snapshot { .. }));
}
