//! Reader election: which entries read the platform's store.
//!
//! *Load pattern:* a hundred entries follow one store; each call is paid for, and the permitted
//! rates grow more slowly than the fleet. An entry that reads dies, freezes, or alone is cut off
//! from the store.
//!
//! *Without it:* every entry reads for itself, and the calls grow with the fleet.
//!
//! *Rule:* an entry that reads publishes the result to all others through the replicas, even if
//! nothing has changed. An entry reads only while the last read that it received is older than its
//! takeover timeout. Each entry draws its own timeout, so that a single one takes over when the
//! reader stops, and the others receive its reads in time. Of two readers, the one with the higher
//! number stops.
//!
//! *Grounds:* [`Options::takeover_timeout`] is above the time between two reads, and well below the
//! two seconds in which a change has to be in force.

use std::ops::Range;
use std::time::Duration;

/// Number of an entry, drawn at random at its start.
pub type EntryNumber = u32;

/// How long an entry relies on the reads of others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Range from which each entry draws its takeover timeout.
    pub takeover_timeout: Range<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            takeover_timeout: Duration::from_millis(800)..Duration::from_millis(1_200),
        }
    }
}

impl Options {
    /// The takeover timeout for `draw`, which is uniform in `0.0..1.0`.
    pub fn takeover_timeout(&self, draw: f64) -> Duration {
        let Range { start, end } = &self.takeover_timeout;
        *start + end.saturating_sub(*start).mul_f64(draw)
    }
}

/// The last read that an entry has received, including its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Last {
    /// Entry that made the read.
    pub by: EntryNumber,
    /// Time since the read.
    pub ago: Duration,
}

/// Decision of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It reads the store.
    Read,
    /// It relies on others, and checks again after this time.
    Follow(Duration),
}

/// Whether entry `own` reads the store next; `is_reader` if it made the previous read.
pub fn decide(
    own: EntryNumber,
    is_reader: bool,
    takeover_timeout: Duration,
    last: Option<Last>,
) -> Outcome {
    let Some(last) = last else {
        return Outcome::Read;
    };
    if last.ago >= takeover_timeout {
        return Outcome::Read;
    }
    if is_reader && own <= last.by {
        return Outcome::Read;
    }
    Outcome::Follow(takeover_timeout - last.ago)
}
