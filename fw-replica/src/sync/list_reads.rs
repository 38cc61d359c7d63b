//! Repeated reads of the member list from the platform's store.
//!
//! *Failure:* a member with an empty disk waited for the records of one that had retired. That one had changed the list
//! and was gone, and the members that were asked for the list had an older one, so that the wait never ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::member;

/// Interval between two reads.
const INTERVAL: Duration = Duration::from_secs(1);

/// What a read returns.
pub type Loaded = Result<member::Stored, member::Error>;

/// Reads the list in the background, since the store may take long to answer.
#[derive(Debug)]
pub struct ListReads {
    running: JoinSet<Loaded>,
    begun_at: Instant,
}

impl ListReads {
    /// The first read is due after [`INTERVAL`].
    pub fn new() -> Self {
        Self {
            running: JoinSet::new(),
            begun_at: Instant::now(),
        }
    }

    /// Returns the result of a read that has ended, and begins one if it is due.
    pub fn poll(&mut self, registry: &member::SharedRegistry) -> Option<Loaded> {
        let ended = self.running.try_join_next();
        if self.running.is_empty() && self.begun_at.elapsed() >= INTERVAL {
            self.begun_at = Instant::now();
            let registry = Arc::clone(registry);
            self.running.spawn(async move { registry.load().await });
        }
        let failed = |err: &tokio::task::JoinError| tracing::error!(%err, "a read of the member list has failed");
        ended?.inspect_err(failed).ok()
    }
}

impl Default for ListReads {
    fn default() -> Self {
        Self::new()
    }
}
