//! Budget of the bytes that an entry holds for callers that read slowly: whose answer is ended.
//!
//! *Load pattern:* callers stop reading in the middle of their answers, or read a few kilobytes a
//! second, while upstreams answer at full speed.
//!
//! *Without it:* each such answer holds all that is buffered between upstream and caller. Some
//! hundred of them fill an instance's memory, and the system ends the process with all its calls.
//!
//! *Rule:* bytes are held only within a budget. If there is no room for more, the answers of the
//! slowest readers are ended, one after the other, until there is: of those that have not read for
//! [`Options::slow_after`], the one that has not for the longest time. Until a reader is that slow,
//! answers wait for room.
//!
//! *Grounds:* [`Options::slow_after`] is several times the pause between events that callers
//! accept, so a caller that reads as it should is never the one.

use std::time::Duration;

/// Limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bytes that may be held for all callers together.
    pub max_bytes: usize,
    /// Time without reading, while bytes are held, after which a caller counts as slow.
    pub slow_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_bytes: 16 << 20,
            slow_after: Duration::from_millis(750),
        }
    }
}

/// A caller's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// Bytes held for it.
    pub held: usize,
    /// Time since the caller last read any.
    pub idle: Duration,
}

impl Options {
    /// The budget of an instance with this much memory: a fifth of it. The rest is for the code,
    /// connections and prompts.
    pub fn for_memory(memory: u64) -> Self {
        Self {
            max_bytes: usize::try_from(memory / 5).unwrap_or(usize::MAX),
            ..Self::default()
        }
    }

    /// Whether `more` bytes may be held in addition to `held`. A single answer always finds room.
    pub fn has_room(&self, held: usize, more: usize) -> bool {
        held == 0 || held.saturating_add(more) <= self.max_bytes
    }

    /// The index of the answer that is ended because there is no room, if a reader is slow enough.
    pub fn slowest(&self, readers: &[Reader]) -> Option<usize> {
        let slow = readers.iter().enumerate();
        let slow = slow.filter(|(_, reader)| reader.held > 0 && reader.idle >= self.slow_after);
        let slowest = slow.max_by_key(|(_, reader)| (reader.idle, reader.held));
        slowest.map(|(at, _)| at)
    }
}
