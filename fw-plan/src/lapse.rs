//! Whether an upstream that is missing from the list has left, or only its entry has lapsed.
//!
//! *Load pattern:* the platform's store is away for seconds, and entries of live upstreams lapse; they
//! are back about two seconds after the store. Other upstreams leave in those very seconds.
//!
//! *Without it:* a service is left empty if all that are missing are taken for gone, and upstreams get
//! calls after they have left if all are kept for a while.
//!
//! *Rule:* an outage shows as a gap between reads, whichever entry makes them. An upstream that a read
//! after the last gap has listed, and that is missing now, has left. One that no such read has listed is
//! kept until lapsed entries have had time to come back, if most are missing with it. A gap has other causes
//! too: the readers were away themselves. An outage takes most entries with it, and leaving takes few.

use std::time::Duration;

/// How outages are told, and how long their traces last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Shortest time without a read in which an entry can lapse.
    pub outage_gap: Duration,
    /// How long after the store's return lapsed entries may be missing.
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
    /// An entry that is renewed once in each `heartbeat` lapses after three without a renewal.
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
    /// When the first was made.
    pub first: Duration,
    /// When the last was made.
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

    /// Both, if there is no gap between them; the later one if there is.
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

/// What to do with an upstream that is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has left.
    Gone,
    /// Its entry may have lapsed: it is used on.
    Kept,
}

/// Whether entries have lapsed, where so many upstreams were listed, and so many of them are missing that no read
/// since the last gap has listed.
pub fn has_lapsed(listed: usize, missing: usize) -> bool {
    missing * 2 > listed
}

/// The reads of the store that are known, by whichever entry.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    opts: Options,
    span: Option<Span>,
}

impl Reads {
    /// None is known yet.
    pub fn new(opts: Options) -> Self {
        Self { opts, span: None }
    }

    /// Reads were made, or are told of.
    pub fn add_span(&mut self, reads: Span) {
        let known = self.span;
        self.span = Some(known.map_or(reads, |known| known.join(reads, self.opts.outage_gap)));
    }

    /// A read was made that was asked and answered at these times.
    ///
    /// A call that hangs through the end of an outage was asked in it: the store is back only when it
    /// answers.
    pub fn add_read(&mut self, asked: Duration, answered: Duration) {
        let gap = self.opts.outage_gap;
        match &mut self.span {
            Some(span) if asked <= span.last + gap => span.last = span.last.max(asked),
            _ => self.span = Some(Span::single(answered)),
        }
    }

    /// The reads since the last gap.
    pub fn span(&self) -> Option<Span> {
        self.span
    }

    /// What to do with an upstream that is missing from the last read; `listed` is the time of the last
    /// read that listed it.
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
