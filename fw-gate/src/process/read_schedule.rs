//! When this entry reads the platform's store: it is a reader itself, or follows the reads of another
//! entry.

use std::time::{Duration, Instant};

use fw_plan::reader;
use parking_lot::Mutex;

/// Interval between reads while no replica reports one: reads then reach no other entry, so that in a fleet
/// that starts, or has lost its replicas, every entry reads for itself.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Decides whether this entry is a reader, from the reads that it made or that replicas reported.
#[derive(Debug)]
pub struct ReadSchedule {
    entry: reader::EntryNumber,
    takeover_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    is_reader: bool,
    last_read: Option<(reader::EntryNumber, Instant)>,
    /// When this entry made its last read.
    last_own_read: Option<Instant>,
    /// When a replica last reported a read.
    last_report: Option<Instant>,
}

impl ReadSchedule {
    /// Creates the schedule of `entry`, to which no read was reported yet.
    pub fn new(entry: reader::EntryNumber) -> Self {
        Self {
            entry,
            takeover_timeout: reader::Options::default().takeover_timeout(rand::random()),
            state: Mutex::default(),
        }
    }

    /// Records that this entry has read the store.
    pub fn note_own_read(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.last_own_read = Some(now);
        state.last_read = Some((self.entry, now));
    }

    /// Records a replica's report that entry `by` read the store `ago`.
    pub fn note_reported_read(&self, by: reader::EntryNumber, ago: Duration) {
        let now = Instant::now();
        let Some(at) = now.checked_sub(ago) else {
            return;
        };
        let mut state = self.state.lock();
        state.last_report = Some(now);
        if state.last_read.is_none_or(|(_, newest)| newest < at) {
            state.last_read = Some((by, at));
        }
    }

    /// Waits until this entry has to read the store.
    pub async fn wait_due(&self) {
        loop {
            match self.decide() {
                reader::Outcome::Read => return self.wait_fallback_interval().await,
                reader::Outcome::Follow(time) => tokio::time::sleep(time).await,
            }
        }
    }

    /// Waits for the rest of the longer interval that applies while no replica reports reads.
    async fn wait_fallback_interval(&self) {
        let next = {
            let state = self.state.lock();
            let is_alone = state
                .last_report
                .is_none_or(|at| at.elapsed() > FALLBACK_READ_INTERVAL);
            state
                .last_own_read
                .filter(|_| is_alone)
                .map(|last| last + FALLBACK_READ_INTERVAL)
        };
        if let Some(next) = next {
            tokio::time::sleep_until(next.into()).await;
        }
    }

    fn decide(&self) -> reader::Outcome {
        let mut state = self.state.lock();
        let last = state.last_read.map(|(by, at)| reader::Last {
            by,
            ago: at.elapsed(),
        });
        let outcome = reader::decide(self.entry, state.is_reader, self.takeover_timeout, last);
        let reads = outcome == reader::Outcome::Read;
        if reads != state.is_reader {
            tracing::info!(reads, ?last, patience = ?self.takeover_timeout, "reader role for the platform's store changed");
        }
        state.is_reader = reads;
        outcome
    }
}
