//! What is told while the store is away, and after.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use fw_follow::{Area, Error, Options, Read, Revision, Step};
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

impl Area for Fake {
    type Change = &'static str;

    fn whole(&self) -> BoxFuture<'_, std::result::Result<Read<&'static str>, Error>> {
        async { self.read("all") }.boxed()
    }

    fn changes(
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

type Told = Arc<Mutex<Vec<(Duration, Step<&'static str>)>>>;

fn start(fake: &Fake) -> Told {
    let told = Told::default();
    let begun = Instant::now();
    let note = Arc::clone(&told);
    tokio::spawn(fw_follow::follow(
        fake.clone(),
        Options {
            pace: PACE,
            ..Options::default()
        },
        async || 0,
        move |step| note.lock().push((begun.elapsed(), step)),
    ));
    told
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn is_settled_only_once_lapsed_entries_are_back() {
    // The store is away for three seconds, and the entries of live upstreams lapse. The first
    // list after its return lacks them; taken at its word it would leave a service empty.
    let fake = Fake::default();
    let told = start(&fake);
    tokio::time::sleep(Duration::from_secs(2)).await;
    *fake.away.lock() = true;
    tokio::time::sleep(Duration::from_secs(3)).await;
    *fake.away.lock() = false;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let told = told.lock();
    let steps: Vec<_> = told.iter().map(|(_, step)| step).collect();
    expect_that!(
        steps[0],
        matches_pattern!(Step::Whole {
            settled: eq(&true),
            ..
        })
    );
    let lost = steps.iter().position(|step| **step == Step::Lost).unwrap();
    expect_that!(
        steps[lost + 1],
        matches_pattern!(Step::Whole {
            settled: eq(&false),
            ..
        })
    );
    let later: Vec<_> = told[lost + 2..].iter().collect();
    let second = later
        .iter()
        .find(|(_, step)| matches!(step, Step::Whole { .. }));
    let (at, step) = second.unwrap();
    expect_that!(
        step,
        matches_pattern!(Step::Whole {
            settled: eq(&true),
            ..
        })
    );
    let back = told[lost + 1].0;
    expect_that!(*at - back, ge(Duration::from_secs(2)));
    expect_that!(*at - back, le(Duration::from_secs(4)));
    // One word of the outage, however long it lasts.
    let losses = steps.iter().filter(|step| ***step == Step::Lost).count();
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
    expect_that!(
        told[before].1,
        matches_pattern!(Step::Whole {
            settled: eq(&true),
            ..
        })
    );
}
