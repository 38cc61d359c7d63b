//! Logs when the watch of the table of live entries fails, and when it brings news again.

use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_store::error::Error;

/// The outcomes of the watch, over all its openings.
pub(super) struct WatchHealth {
    entry: id::EntryId,
    /// Failures in a row, and when the first of them was.
    failures: u32,
    failing_since: Instant,
}

impl WatchHealth {
    /// Nothing has failed yet.
    pub(super) fn new(entry: &id::EntryId) -> Self {
        Self {
            entry: entry.clone(),
            failures: 0,
            failing_since: Instant::now(),
        }
    }

    /// Notes that the watch has told of all changes up to `revision`.
    pub(super) fn record_progress(&mut self, revision: id::Revision) {
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            let failing_for = self.failing_since.elapsed();
            tracing::info!(entry = %self.entry, revision, failures, ?failing_for, "the table of entries is followed again");
        }
    }

    /// Notes that the watch broke or could not be opened, with a table of this `age`.
    pub(super) fn record_failure(&mut self, err: &Error, age: Duration) {
        self.failures += 1;
        if self.failures == 1 {
            self.failing_since = Instant::now();
            tracing::warn!(entry = %self.entry, %err, ?age, "the watch of the table of entries broke");
        } else {
            tracing::debug!(entry = %self.entry, %err, ?age, "the table of entries cannot be watched");
        }
    }
}
