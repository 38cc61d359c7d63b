//! Snapshots that take several pages.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Due, Error, Event, Options, PageRead, Read, Revision, Schedule, Source, snapshot};
use googletest::prelude::*;
use parking_lot::Mutex;
use tokio::time::Instant;

/// Returns the number of the next page, if there is one, for the number of a page.
type NextPage = fn(u32) -> Option<u32>;

/// A store whose pages have a change each, the number of the page.
#[derive(Clone)]
struct PagedSource {
    next_page: NextPage,
    /// Time until a page is answered.
    delay: Duration,
    /// The page whose next read is never answered.
    hangs_at: Arc<Mutex<Option<u32>>>,
    /// The pages that were read, in order.
    reads: Arc<Mutex<Vec<u32>>>,
}

impl PagedSource {
    fn new(next_page: NextPage) -> Self {
        Self {
            next_page,
            delay: Duration::from_millis(4),
            hangs_at: Arc::default(),
            reads: Arc::default(),
        }
    }

    /// Number of reads of `page`.
    fn reads_of(&self, page: u32) -> usize {
        let reads = self.reads.lock();
        reads.iter().filter(|read| **read == page).count()
    }
}

impl Source for PagedSource {
    type Change = u32;
    type Cursor = u32;

    fn read_page(&self, from: u32) -> PageRead<'_, Self> {
        self.reads.lock().push(from);
        let hangs = self.hangs_at.lock().take_if(|page| *page == from).is_some();
        async move {
            if hangs {
                return std::future::pending().await;
            }
            tokio::time::sleep(self.delay).await;
            Ok(snapshot::Page {
                changes: vec![from],
                as_of: u64::from(from) + 7,
                next: (self.next_page)(from),
            })
        }
        .boxed()
    }

    fn read_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, std::result::Result<Read<u32>, Error>> {
        async move {
            tokio::time::sleep(wait).await;
            Ok(Read {
                changes: Vec::new(),
                as_of: after,
            })
        }
        .boxed()
    }
}

/// A caller waits for each read.
struct Urgent;

impl Schedule for Urgent {
    async fn wait_due(&self) -> Due {
        Due {
            received_revision: 0,
            is_urgent: true,
        }
    }

    async fn wait_urgent(&self) {}
}

type Events = Arc<Mutex<Vec<(Duration, Event<u32>)>>>;

fn start(
    source: &PagedSource,
    snapshot: snapshot::Options,
    schedule: impl Schedule + 'static,
) -> Events {
    let events = Events::default();
    let started_at = Instant::now();
    let recorder = Arc::clone(&events);
    let opts = Options {
        snapshot,
        ..Options::default()
    };
    tokio::spawn(fw_follow::follow(
        source.clone(),
        opts,
        schedule,
        move |event| recorder.lock().push((started_at.elapsed(), event)),
    ));
    events
}

/// The time of the first snapshot, if there was one.
fn completed_at(events: &Events) -> Option<Duration> {
    let events = events.lock();
    let mut events = events.iter();
    let snapshot = events.find(|(_, event)| matches!(event, Event::Snapshot { .. }));
    snapshot.map(|(at, _)| *at)
}

// Guards against changes made while later pages are read that no watch reports.
#[gtest]
#[tokio::test(start_paused = true)]
async fn reflect_their_first_page() {
    let source = PagedSource::new(|page| (page < 4).then_some(page + 1));
    let events = start(&source, snapshot::Options::default(), async || 0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let expected = Event::Snapshot {
        changes: vec![0, 1, 2, 3, 4],
        as_of: 7,
    };
    expect_that!(events.lock()[0].1, eq(&expected));
}

// Guards against a page that is read again and again because it leads back to itself, or to one before it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_given_up_when_they_repeat() {
    let back: [NextPage; 2] = [|page| Some(page.max(1)), |page| Some((page + 1) % 3)];
    for next_page in back {
        let source = PagedSource::new(next_page);
        let events = start(&source, snapshot::Options::default(), async || 0);
        tokio::time::sleep(Duration::from_secs(5)).await;
        expect_that!(
            events.lock()[..],
            elements_are![(anything(), eq(&Event::Unavailable))]
        );
        // It is tried again, with a pause after each failure.
        expect_that!(source.reads.lock().len(), all!(ge(6), le(60)));
    }
}

// Guards against a store that always has another page.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_given_up_when_they_take_too_long() {
    let source = PagedSource::new(|page| Some(page + 1));
    let opts = snapshot::Options::default();
    let events = start(&source, opts.clone(), async || 0);
    tokio::time::sleep(opts.timeout - Duration::from_millis(50)).await;
    expect_that!(events.lock()[..], is_empty());
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(
        events.lock()[..],
        elements_are![(anything(), eq(&Event::Unavailable))]
    );
    expect_that!(source.reads_of(0), eq(2));
}

// Guards against a snapshot that fills the memory of the process.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_given_up_when_they_grow_too_large() {
    let source = PagedSource::new(|page| Some(page + 1));
    let opts = snapshot::Options {
        max_changes: 20,
        ..snapshot::Options::default()
    };
    let events = start(&source, opts, async || 0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    expect_that!(
        events.lock()[..],
        elements_are![(anything(), eq(&Event::Unavailable))]
    );
    expect_that!(source.reads.lock().iter().max(), some(eq(&20)));
}

// Guards against a snapshot of many pages, each in time, that begins again whenever a caller waits for it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_read_once_though_they_take_long() {
    let mut source = PagedSource::new(|page| (page < 9).then_some(page + 1));
    source.delay = Duration::from_millis(200);
    let events = start(&source, snapshot::Options::default(), Urgent);
    tokio::time::sleep(Duration::from_secs(5)).await;
    expect_that!(source.reads_of(0), eq(1));
    expect_that!(
        completed_at(&events),
        some(le(Duration::from_millis(2_010)))
    );
}

// Guards against a snapshot that begins again because one of its pages is not answered.
#[gtest]
#[tokio::test(start_paused = true)]
async fn go_on_after_a_page_without_an_answer() {
    let source = PagedSource::new(|page| (page < 9).then_some(page + 1));
    *source.hangs_at.lock() = Some(5);
    let events = start(&source, snapshot::Options::default(), Urgent);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let reads = [0, 5].map(|page| source.reads_of(page));
    expect_that!(reads, eq([1, 2]));
    expect_that!(completed_at(&events), some(le(Duration::from_millis(300))));
}
