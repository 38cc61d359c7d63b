//! Whether this entry reads the platform's store, or relies on another that does.

use std::time::{Duration, Instant};

use fw_plan::reader;
use parking_lot::Mutex;

/// Time between two reads while no replica tells of any: nobody else hears of them, and a whole fleet
/// that starts, or has lost its replicas, reads for itself.
const ALONE: Duration = Duration::from_millis(900);

/// What is known of who reads.
#[derive(Debug)]
pub struct Reading {
    me: reader::EntryNumber,
    patience: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    reads: bool,
    last: Option<(reader::EntryNumber, Instant)>,
    /// When this entry read last.
    own: Option<Instant>,
    /// When a replica last told of a read.
    told: Option<Instant>,
}

impl Reading {
    /// Nothing was heard yet by entry `me`.
    pub fn new(me: reader::EntryNumber) -> Self {
        Self {
            me,
            patience: reader::Options::default().takeover_timeout(rand::random()),
            state: Mutex::default(),
        }
    }

    /// This entry has read the store.
    pub fn has_read(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.own = Some(now);
        state.last = Some((self.me, now));
    }

    /// A replica tells that `by` read the store so long `ago`.
    pub fn heard(&self, by: reader::EntryNumber, ago: Duration) {
        let now = Instant::now();
        let Some(at) = now.checked_sub(ago) else {
            return;
        };
        let mut state = self.state.lock();
        state.told = Some(now);
        if state.last.is_none_or(|(_, known)| known < at) {
            state.last = Some((by, at));
        }
    }

    /// Waits until this entry has to read.
    pub async fn turn(&self) {
        loop {
            match self.decide() {
                reader::Outcome::Read => return self.alone().await,
                reader::Outcome::Follow(time) => tokio::time::sleep(time).await,
            }
        }
    }

    /// Waits for the slower pace of an entry that reads for itself alone.
    async fn alone(&self) {
        let next = {
            let state = self.state.lock();
            let is_alone = state.told.is_none_or(|at| at.elapsed() > ALONE);
            state.own.filter(|_| is_alone).map(|own| own + ALONE)
        };
        if let Some(next) = next {
            tokio::time::sleep_until(next.into()).await;
        }
    }

    fn decide(&self) -> reader::Outcome {
        let mut state = self.state.lock();
        let last = state.last.map(|(by, at)| reader::Last {
            by,
            ago: at.elapsed(),
        });
        let outcome = reader::decide(self.me, state.reads, self.patience, last);
        let reads = outcome == reader::Outcome::Read;
        if reads != state.reads {
            tracing::info!(reads, ?last, patience = ?self.patience, "reading of the platform's store");
        }
        state.reads = reads;
        outcome
    }
}
