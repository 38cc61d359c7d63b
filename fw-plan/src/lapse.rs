//! Lapsed store entries: whether an upstream that is missing from the list has left, or only its
//! entry in the platform's store has lapsed.
//!
//! *Load pattern:* the platform's store is unavailable for seconds, and entries of live upstreams
//! lapse; they are back about two seconds after the store. Other upstreams leave during the same
//! seconds.
//!
//! *Without it:* a service is left empty if all missing upstreams are taken for gone, and upstreams
//! get calls after they have left if all are kept for a while.
//!
//! *Rule:* an outage shows as a gap between reads, whichever entry makes them. An upstream that a
//! read after the last gap has listed, and that is missing now, has left. One that no such read has
//! listed is kept until lapsed entries have had time to come back, if most are missing with it. A
//! gap has other causes too, such as readers that were unavailable themselves; but an outage takes
//! most entries with it, and upstreams that leave take few.

use std::time::Duration;

/// How outages are detected, and how long their effects last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Shortest time without a read in which an entry can lapse.
    pub outage_gap: Duration,
    /// Time after the store's return for which lapsed entries may still be missing.
    pub settle_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            outage_gap: Duration::from_millis(2_400),
            settle_time: Duration::from_millis(2_200),
        }
    }
}

impl Options {
    /// An entry that is renewed once in each `heartbeat` lapses after three intervals without a
    /// renewal.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            outage_gap: heartbeat * 2,
            ..Self::default()
        }
    }
}

/// Reads that follow each other without a gap. Times are those of the owner's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Time of the first one.
    pub first: Duration,
    /// Time of the last one.
    pub last: Duration,
}

impl Span {
    /// A single read.
    pub fn single(at: Duration) -> Self {
        Self {
            first: at,
            last: at,
        }
    }

    /// The union of both, if there is no gap between them; otherwise the later one.
    fn join(self, other: Self, gap: Duration) -> Self {
        if self.first > other.last + gap {
            return self;
        }
        if other.first > self.last + gap {
            return other;
        }
        Self {
            first: self.first.min(other.first),
            last: self.last.max(other.last),
        }
    }
}

/// Decision about an upstream that is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has left.
    Gone,
    /// Its entry may have lapsed: it remains in use.
    Kept,
}

/// Whether entries have lapsed, when `missing` of `listed` upstreams are listed by no read since
/// the last gap.
pub fn has_lapsed(listed: usize, missing: usize) -> bool {
    missing * 2 > listed
}

/// The known reads of the store, by any entry.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    opts: Options,
    span: Option<Span>,
}

impl Reads {
    /// Without any read.
    pub fn new(opts: Options) -> Self {
        Self { opts, span: None }
    }

    /// Adds reads that this or another entry made.
    pub fn add_span(&mut self, reads: Span) {
        let current = self.span;
        self.span = Some(current.map_or(reads, |span| span.join(reads, self.opts.outage_gap)));
    }

    /// Adds a read that was requested and answered at these times.
    ///
    /// A call that hangs through the end of an outage was requested during it: the store is back
    /// only when it answers.
    pub fn add_read(&mut self, requested_at: Duration, answered_at: Duration) {
        let gap = self.opts.outage_gap;
        match &mut self.span {
            Some(span) if requested_at <= span.last + gap => {
                span.last = span.last.max(requested_at)
            }
            _ => self.span = Some(Span::single(answered_at)),
        }
    }

    /// The reads since the last gap.
    pub fn span(&self) -> Option<Span> {
        self.span
    }

    /// Decides about an upstream that is missing from the last read; `listed` is the time of the
    /// last read that listed it.
    pub fn decide(&self, listed: Option<Duration>) -> Outcome {
        let Some(span) = self.span else {
            return Outcome::Kept;
        };
        let has_left = listed.is_some_and(|listed| listed >= span.first);
        let is_settled = span.last >= span.first + self.opts.settle_time;
        if has_left || is_settled {
            Outcome::Gone
        } else {
            Outcome::Kept
        }
    }
}
