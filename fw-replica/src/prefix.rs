//! The prompt prefixes that engines have cached, as a replica knows them by the reports of turns.
//!
//! Reservations name the parts of a turn's prompt, and the nearest replica's reply names engines that
//! hold them; the report of a finished turn names its engine. `fw_plan::prefix` has the model of the
//! caches. The table is lost with the process: it fills again within the time that parts stay cached.

use std::time::{Duration, Instant};

use fw_plan::prefix;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Most engines named in a reply. A session's context is at one or two; a prefix that many programs
/// share may be at all of them, and then any of them will do.
const MAX_HOLDERS: usize = 4;

/// The parts of a prompt that an engine has read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine; the default if it is not known which broke the turn.
    pub engine: prefix::Engine,
    /// Tokens that the engine's cache has room for; 0 if unknown.
    pub capacity: prefix::Tokens,
    /// The parts, the last one with the tokens that were generated.
    pub parts: Vec<prefix::Part>,
}

/// The index of a replica.
#[derive(Debug)]
pub struct Table {
    started: Instant,
    index: Mutex<prefix::Index>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            index: Mutex::default(),
        }
    }
}

impl Table {
    /// Records the report of a turn; `broke` if its engine did not finish it.
    pub fn record(&self, report: &Report, broke: bool) {
        let mut index = self.index.lock();
        if broke {
            return index.forget(report.engine, &report.parts);
        }
        index.record(
            report.engine,
            &report.parts,
            report.capacity,
            self.started.elapsed(),
        );
    }

    /// Engines that hold the beginning of a prompt, those with most of it first. Among engines with
    /// the same tokens the order differs from session to session, so that a shared prefix does not
    /// draw all programs to the same few.
    pub fn holders(&self, parts: &[prefix::Part]) -> Vec<prefix::Holder> {
        let Some(last) = parts.last() else {
            return Vec::new();
        };
        let index = self.index.lock();
        let holders = index.holders(parts, Duration::MAX, self.started.elapsed());
        let mut holders: Vec<_> = holders.collect();
        drop(index);
        holders.sort_by_cached_key(|holder| {
            let order = prefix::preference(last.digest, holder.engine);
            std::cmp::Reverse((holder.tokens, order))
        });
        holders.truncate(MAX_HOLDERS);
        holders
    }
}
