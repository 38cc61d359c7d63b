//! Reads for which a caller waits.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Due, Error, Options, PageRead, Read, Revision, Schedule, Source, snapshot};
use googletest::prelude::*;
use tokio::sync::watch;

type Answer = std::result::Result<Read<()>, Error>;

/// A store whose long polls wait for the requested time, or hang.
#[derive(Clone, Default)]
struct FakeSource {
    hangs: Arc<AtomicBool>,
    reads: Arc<AtomicU32>,
}

impl FakeSource {
    fn answer(&self) -> Answer {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(Read {
            changes: Vec::new(),
            as_of: 1,
        })
    }
}

impl Source for FakeSource {
    type Change = ();
    type Cursor = ();

    fn read_page(&self, (): ()) -> PageRead<'_, Self> {
        async {
            self.answer().map(|read| snapshot::Page {
                changes: read.changes,
                as_of: read.as_of,
                next: None,
            })
        }
        .boxed()
    }

    fn read_changes(&self, _: Revision, wait: Duration) -> BoxFuture<'_, Answer> {
        async move {
            if self.hangs.swap(false, Ordering::Relaxed) {
                return std::future::pending().await;
            }
            tokio::time::sleep(wait).await;
            self.answer()
        }
        .boxed()
    }
}

/// Reads are urgent while the value is true.
#[derive(Clone)]
struct SwitchedSchedule(watch::Receiver<bool>);

impl Schedule for SwitchedSchedule {
    async fn wait_due(&self) -> Due {
        Due {
            received_revision: 0,
            is_urgent: *self.0.borrow(),
        }
    }

    async fn wait_urgent(&self) {
        let mut rx = self.0.clone();
        // An error means that the sender was dropped at the end of the test.
        let _ = rx.wait_for(|urgent| *urgent).await;
    }
}

const INTERVAL: Duration = Duration::from_millis(900);

fn start(source: &FakeSource) -> watch::Sender<bool> {
    let (tx, rx) = watch::channel(false);
    let opts = Options {
        interval: INTERVAL,
        ..Options::default()
    };
    tokio::spawn(fw_follow::follow(
        source.clone(),
        opts,
        SwitchedSchedule(rx),
        |_| {},
    ));
    tx
}

// Guards against a call that waits for the whole interval between two reads, or until a change.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_made_at_once() {
    let source = FakeSource::default();
    let urgent = start(&source);
    for pause in [INTERVAL * 2, INTERVAL + INTERVAL / 2] {
        tokio::time::sleep(pause).await;
        let before = source.reads.load(Ordering::Relaxed);
        urgent.send_replace(true);
        tokio::time::sleep(Options::default().urgent_timeout).await;
        expect_that!(source.reads.load(Ordering::Relaxed), gt(before));
        urgent.send_replace(false);
    }
}

// Guards against a call that waits for an answer that never arrives.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_repeated_when_they_hang() {
    let source = FakeSource::default();
    let urgent = start(&source);
    tokio::time::sleep(INTERVAL).await;
    source.hangs.store(true, Ordering::Relaxed);
    tokio::time::sleep(INTERVAL * 3).await;
    expect_false!(source.hangs.load(Ordering::Relaxed));
    let before = source.reads.load(Ordering::Relaxed);
    urgent.send_replace(true);
    tokio::time::sleep(Options::default().urgent_timeout).await;
    expect_that!(source.reads.load(Ordering::Relaxed), gt(before));
}

// Guards against reads without a pause for as long as calls wait.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_paced() {
    let source = FakeSource::default();
    let urgent = start(&source);
    tokio::time::sleep(INTERVAL).await;
    let before = source.reads.load(Ordering::Relaxed);
    urgent.send_replace(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(source.reads.load(Ordering::Relaxed) - before, le(21));
}
