//! Position in another member's list, and which turns are copied from there on.
//!
//! *Failure:* a replica that retires leaves the list once `f + 1` others have stored all of its
//! records. A reader that leaves out turns has read to the end without storing them, so the position
//! of such a reader states nothing: it reads by other requests, and again from the beginning once the
//! member retires.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::{member, service};

/// Time before and after a change of the member list whose records are all copied. A turn stored then
/// may count a replica that is no longer a member; the others know a new list within a second.
const CHANGE_SPAN: Duration = Duration::from_secs(3);

/// Which records are copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reading {
    /// All, from the beginning on, as long as no turn is left out. The position then states that all
    /// records before it are stored.
    #[default]
    Full,
    /// All, from a position before the member list changed.
    Recent,
    /// All but turns that are stored on a write quorum only.
    Settled,
}

/// Position in a member's list.
#[derive(Debug, Default)]
pub struct Cursor {
    position: service::Position,
    reading: Reading,
    /// Whether turns were left out before `position`.
    has_gaps: bool,
    /// Positions at the beginning of earlier passes: the newest that is older than [`CHANGE_SPAN`],
    /// and all after it.
    earlier: VecDeque<(Instant, service::Position)>,
    /// Epoch of the member list in the last pass.
    epoch: Option<member::Epoch>,
    changed_at: Option<Instant>,
    /// Whether the member list changed less than [`CHANGE_SPAN`] before this pass.
    is_recent: bool,
    /// Whether this pass copies all records.
    copies_all: bool,
}

impl Cursor {
    /// Position of the next read.
    pub fn position(&self) -> service::Position {
        self.position
    }

    /// Which records the pass copies.
    pub fn reading(&self) -> Reading {
        self.reading
    }

    /// Moves the position to the next page.
    pub fn advance(&mut self, next: service::Position) {
        self.position = next;
    }

    /// Begins a pass with the member list of `epoch`. `copies_all` is set while all records are to be
    /// copied.
    pub fn begin_pass(&mut self, copies_all: bool, epoch: member::Epoch, now: Instant) {
        if self.epoch.replace(epoch).is_some_and(|old| old != epoch) {
            self.changed_at = Some(now);
            if self.has_gaps
                && let Some((_, position)) = self.earlier.front()
            {
                self.position = *position;
            }
        }
        self.copies_all = copies_all;
        let changed = self.changed_at;
        self.is_recent = changed.is_some_and(|at| now.duration_since(at) < CHANGE_SPAN);
        if copies_all {
            self.read_in_full();
        } else if self.has_gaps {
            self.reading = match self.is_recent {
                true => Reading::Recent,
                false => Reading::Settled,
            };
        }
        self.earlier.push_back((now, self.position));
        let is_old = |at: Instant| now.duration_since(at) >= CHANGE_SPAN;
        while self.earlier.get(1).is_some_and(|(at, _)| is_old(*at)) {
            self.earlier.pop_front();
        }
    }

    /// Whether turns on a page that are stored on a write quorum only are copied. If not, the next pages
    /// are read without them.
    pub fn copies_quorum_turns(&mut self) -> bool {
        if self.copies_all || self.is_recent {
            return true;
        }
        self.has_gaps = true;
        self.reading = Reading::Settled;
        false
    }

    /// Copies all records from now on. Returns whether the list has to be read from its beginning, as
    /// turns were left out.
    pub fn read_in_full(&mut self) -> bool {
        self.copies_all = true;
        self.reading = Reading::Full;
        let restarts = std::mem::take(&mut self.has_gaps);
        if restarts {
            self.position = service::Position::default();
        }
        restarts
    }
}
