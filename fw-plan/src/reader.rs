//! Which entries read the platform's store.
//!
//! *Load pattern:* a hundred entries follow one store; each call is paid for, and its rates grow more
//! slowly than the fleet. An entry that reads dies, freezes, or is alone cut off from the store.
//!
//! *Without it:* every entry reads for itself, and the calls grow with the fleet.
//!
//! *Rule:* whoever reads tells all others by way of the replicas, also that nothing has changed. An
//! entry reads only while what it hears is older than its patience. Each draws its own, so that one
//! takes over when the reader falls silent, and the others hear of it in time. Of two that read, the one
//! with the higher number stops.
//!
//! *Grounds:* [`Options::takeover_timeout`] is above the time between two reads, and well below the
//! two seconds in which a change has to be in force.

use std::ops::Range;
use std::time::Duration;

/// Names an entry; drawn at its start.
pub type EntryNumber = u32;

/// How long an entry relies on others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bounds of the patience that each entry draws.
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
    /// The patience of an entry that drew `draw`, uniform in `0.0..1.0`.
    pub fn takeover_timeout(&self, draw: f64) -> Duration {
        let Range { start, end } = &self.takeover_timeout;
        *start + end.saturating_sub(*start).mul_f64(draw)
    }
}

/// The last read that an entry has heard of, its own included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Last {
    /// Who read.
    pub by: EntryNumber,
    /// How long ago.
    pub ago: Duration,
}

/// What an entry does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It reads the store.
    Read,
    /// It relies on others, and looks again after this time.
    Follow(Duration),
}

/// Whether entry `me` reads the store next; `reads` if it was the one to read so far.
pub fn decide(me: EntryNumber, reads: bool, patience: Duration, last: Option<Last>) -> Outcome {
    let Some(last) = last else {
        return Outcome::Read;
    };
    if last.ago >= patience {
        return Outcome::Read;
    }
    if reads && me <= last.by {
        return Outcome::Read;
    }
    Outcome::Follow(patience - last.ago)
}
