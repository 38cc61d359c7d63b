//! How old the table of live entries is, and whether its watch brings news.

use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_store::error::Error;

/// Follows the outcomes of one watch.
pub(super) struct Freshness {
    entry: id::EntryId,
    heard: Instant,
    failures: u32,
}

impl Freshness {
    /// A table that was read just now.
    pub(super) fn new(entry: &id::EntryId) -> Self {
        Self {
            entry: entry.clone(),
            heard: Instant::now(),
            failures: 0,
        }
    }

    /// Notes that the table reflects `revision`.
    pub(super) fn heard(&mut self, revision: id::Revision) {
        let age = self.age();
        self.heard = Instant::now();
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            tracing::info!(entry = %self.entry, revision, failures, ?age, "the table of entries is followed again");
        }
    }

    /// Notes that the watch broke or could not be opened.
    pub(super) fn failed(&mut self, err: &Error) {
        let age = self.age();
        self.failures += 1;
        if self.failures == 1 {
            tracing::warn!(entry = %self.entry, %err, ?age, "the watch of the table of entries broke");
        }
    }

    fn age(&self) -> Duration {
        self.heard.elapsed()
    }
}
