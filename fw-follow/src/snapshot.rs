//! Assembles a snapshot from its pages, and gives up one that does not come to an end.
//!
//! *Load pattern:* a snapshot takes as many calls as the store has pages, and the store decides how many
//! these are: it also holds items of other writers, whose keys and number nobody bounds.
//!
//! *Without it:* a page that is sent again and again is read for ever, and nothing that was confirmed
//! since then is ever put in force.
//!
//! *Rule:* each page has to begin where none before it did. A snapshot may take [`Options::timeout`] and
//! hold [`Options::max_changes`]; beyond that it is given up as a failed read, and what is known stays.

use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;
use std::time::Duration;

use crate::{Read, Revision};

/// One page of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<C, P> {
    /// One change for each item on it.
    pub changes: Vec<C>,
    /// The store's revision.
    pub as_of: Revision,
    /// Where the next page begins; `None` after the last one.
    pub next: Option<P>,
}

/// Limits of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time from the request of the first page to the answer with the last one.
    pub timeout: Duration,
    /// Highest number of changes in it.
    pub max_changes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // Two dozen pages, as of 12,000 upstreams, from a store that takes 200 ms for each.
            timeout: Duration::from_secs(10),
            max_changes: 100_000,
        }
    }
}

/// Why a snapshot is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A page begins where an earlier one did.
    Repeats,
    /// It takes too long.
    TooLong,
    /// It has too many changes.
    TooLarge,
}

impl Reason {
    /// Label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Repeats => "repeats",
            Self::TooLong => "too_long",
            Self::TooLarge => "too_large",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Repeats => "a page begins where an earlier one did",
            Self::TooLong => "it takes too long",
            Self::TooLarge => "it has too many changes",
        })
    }
}

/// The pages of a snapshot that were read so far.
#[derive(Debug)]
pub struct Assembly<C, P> {
    max_changes: usize,
    changes: Vec<C>,
    /// Revision of the first page. The pages together are no snapshot; with it, a watch reports
    /// everything that changed while the later ones were read.
    as_of: Option<Revision>,
    cursor: P,
    earlier_cursors: HashSet<P>,
}

impl<C, P: Clone + Default + Eq + Hash> Assembly<C, P> {
    /// A snapshot of which no page was read.
    pub fn new(opts: &Options) -> Self {
        Self {
            max_changes: opts.max_changes,
            changes: Vec::new(),
            as_of: None,
            cursor: P::default(),
            earlier_cursors: HashSet::new(),
        }
    }

    /// Where the next page begins.
    pub fn cursor(&self) -> &P {
        &self.cursor
    }

    /// Number of pages read.
    pub fn pages(&self) -> usize {
        self.earlier_cursors.len()
    }

    /// Number of changes on these.
    pub fn changes(&self) -> usize {
        self.changes.len()
    }

    /// Adds the page that begins at [`Self::cursor`]; returns whether it is the last one.
    ///
    /// # Errors
    ///
    /// When the snapshot has to be given up.
    pub fn add(&mut self, page: Page<C, P>) -> Result<bool, Reason> {
        self.as_of.get_or_insert(page.as_of);
        self.changes.extend(page.changes);
        if self.changes.len() > self.max_changes {
            return Err(Reason::TooLarge);
        }
        let next = page.next.clone().unwrap_or_default();
        let cursor = std::mem::replace(&mut self.cursor, next);
        self.earlier_cursors.insert(cursor);
        let is_last = page.next.is_none();
        match !is_last && self.earlier_cursors.contains(&self.cursor) {
            true => Err(Reason::Repeats),
            false => Ok(is_last),
        }
    }

    /// The snapshot, once its last page was added.
    pub fn into_read(self) -> Read<C> {
        Read {
            changes: self.changes,
            as_of: self.as_of.unwrap_or_default(),
        }
    }
}
