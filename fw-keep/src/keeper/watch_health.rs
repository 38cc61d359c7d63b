//! Logs when the watch of the entry table fails and when it recovers.

use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_store::error::Error;

/// State of the watch across its reconnections.
pub(super) struct WatchHealth {
    entry: id::EntryId,
    /// Number of consecutive failures, and the time of the first one.
    failures: u32,
    failing_since: Instant,
}

impl WatchHealth {
    /// Creates the state of a watch without failures.
    pub(super) fn new(entry: &id::EntryId) -> Self {
        Self {
            entry: entry.clone(),
            failures: 0,
            failing_since: Instant::now(),
        }
    }

    /// Records that the watch has delivered all changes up to `revision`.
    pub(super) fn record_progress(&mut self, revision: id::Revision) {
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            let failing_for = self.failing_since.elapsed();
            tracing::info!(entry = %self.entry, revision, failures, ?failing_for, "the watch of the entry table has recovered");
        }
    }

    /// Records that the watch failed or could not be opened; `age` is the time since the table was current.
    pub(super) fn record_failure(&mut self, err: &Error, age: Duration) {
        self.failures += 1;
        if self.failures == 1 {
            self.failing_since = Instant::now();
            tracing::warn!(entry = %self.entry, %err, ?age, "the watch of the entry table failed");
        } else {
            tracing::debug!(entry = %self.entry, %err, ?age, "the watch of the entry table cannot be reopened");
        }
    }
}
