//! Reads that somebody waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Due, Error, Options, Read, Revision, Schedule, Source};
use googletest::prelude::*;
use tokio::sync::watch;

type Answer = std::result::Result<Read<()>, Error>;

/// A store whose watches wait as long as they are told, or hang.
#[derive(Clone, Default)]
struct Fake {
    hangs: Arc<AtomicBool>,
    reads: Arc<AtomicU32>,
}

impl Fake {
    fn answer(&self) -> Answer {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(Read {
            changes: Vec::new(),
            as_of: 1,
        })
    }
}

impl Source for Fake {
    type Change = ();

    fn read_all(&self) -> BoxFuture<'_, Answer> {
        async { self.answer() }.boxed()
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

/// Reads are wanted while the value is true.
#[derive(Clone)]
struct Wanted(watch::Receiver<bool>);

impl Schedule for Wanted {
    async fn wait_due(&self) -> Due {
        Due {
            received_revision: 0,
            is_urgent: *self.0.borrow(),
        }
    }

    async fn wait_urgent(&self) {
        let mut rx = self.0.clone();
        // It ends with the test.
        let _ = rx.wait_for(|wanted| *wanted).await;
    }
}

const PACE: Duration = Duration::from_millis(900);

fn start(fake: &Fake) -> watch::Sender<bool> {
    let (tx, rx) = watch::channel(false);
    let opts = Options {
        interval: PACE,
        ..Options::default()
    };
    tokio::spawn(fw_follow::follow(fake.clone(), opts, Wanted(rx), |_| {}));
    tx
}

// Guards against a call that waits through the pause between two reads, or until something changes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_made_at_once() {
    let fake = Fake::default();
    let wanted = start(&fake);
    for at in [PACE * 2, PACE + PACE / 2] {
        tokio::time::sleep(at).await;
        let before = fake.reads.load(Ordering::Relaxed);
        wanted.send_replace(true);
        tokio::time::sleep(Options::default().urgent_timeout).await;
        expect_that!(fake.reads.load(Ordering::Relaxed), gt(before));
        wanted.send_replace(false);
    }
}

// Guards against a call that waits for an answer which never comes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_asked_again_when_they_hang() {
    let fake = Fake::default();
    let wanted = start(&fake);
    tokio::time::sleep(PACE).await;
    fake.hangs.store(true, Ordering::Relaxed);
    tokio::time::sleep(PACE * 3).await;
    expect_false!(fake.hangs.load(Ordering::Relaxed));
    let before = fake.reads.load(Ordering::Relaxed);
    wanted.send_replace(true);
    tokio::time::sleep(Options::default().urgent_timeout).await;
    expect_that!(fake.reads.load(Ordering::Relaxed), gt(before));
}

// Guards against a store that is asked without a pause for as long as calls wait.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_paced() {
    let fake = Fake::default();
    let wanted = start(&fake);
    tokio::time::sleep(PACE).await;
    let before = fake.reads.load(Ordering::Relaxed);
    wanted.send_replace(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(fake.reads.load(Ordering::Relaxed) - before, le(21));
}
