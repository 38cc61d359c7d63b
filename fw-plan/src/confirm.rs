//! Whether a call may be sent by the list of upstreams as it is known, or waits for a newer read of it.
//!
//! *Load pattern:* upstreams leave while the only read that would tell hangs, while what a replica tells is held
//! up, or while the entry itself stands still for seconds with calls in its sockets.
//!
//! *Without it:* a list of any age is used, and calls reach upstreams long after they have left. A bound on
//! each hop does not help: delays follow each other, and no hop knows of the others.
//!
//! *Rule:* a call is sent by a list that is proven to be new. A newer proof is asked for some time before the list is
//! too old; if it is too old all the same, as after a standstill, calls wait for it. Where none is to be had, as at an
//! entry that is cut off, calls are sent without, and wait again only once there has been one.

use std::time::Duration;

/// How old a list may be, and how long a call waits for a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Age up to which a list is used without a question.
    pub max_age: Duration,
    /// Longest wait of a call for a newer proof: a read that hangs is asked again within it. As long before the
    /// list is too old, a newer proof is asked for.
    pub max_wait: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self::for_bound(Duration::from_secs(2))
    }
}

/// Reads in a row that are not answered in time before the entry counts as cut off: one may hang.
const MAX_UNANSWERED_READS: u32 = 2;

impl Options {
    /// Part of the time given that a list may be old; the rest is for the call's way to its upstream.
    const LIST_AGE_SHARE: f64 = 0.75;

    /// For changes that have to be in force `bound` after they are acknowledged.
    pub fn for_bound(bound: Duration) -> Self {
        Self {
            max_age: bound.mul_f64(Self::LIST_AGE_SHARE),
            max_wait: Duration::from_millis(600),
        }
    }
}

/// What is to happen with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is sent.
    Send,
    /// It waits for a newer proof, for this time at most.
    Wait(Duration),
}

/// How new the list is known to be. Times are those of a clock that goes on while the machine is
/// suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFreshness {
    opts: Options,
    confirmed_at: Option<Duration>,
    /// Reads in a row that were not answered in time.
    unanswered_reads: u32,
    is_cut_off: bool,
}

impl ListFreshness {
    /// Nothing is proven yet.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            confirmed_at: None,
            unanswered_reads: 0,
            is_cut_off: false,
        }
    }

    /// All changes are known at `now` that the store had acknowledged at `asked`. Returns whether calls that were
    /// sent without a proof have one again.
    ///
    /// What replicas tell of one read dates it a little differently each time, so only a proof by which the list is
    /// new ends the time without one.
    pub fn confirm(&mut self, asked: Duration, now: Duration) -> bool {
        self.confirmed_at = self.confirmed_at.max(Some(asked));
        if !self.is_fresh(now) {
            return false;
        }
        self.unanswered_reads = 0;
        std::mem::take(&mut self.is_cut_off)
    }

    /// A read that was asked at `asked` has failed at `now`.
    pub fn read_failed(&mut self, asked: Duration, now: Duration) {
        if self.is_conclusive(asked, now) {
            self.is_cut_off = true;
        }
    }

    /// A read that was asked at `asked` is not answered at `now`, and is asked again.
    pub fn read_unanswered(&mut self, asked: Duration, now: Duration) {
        if self.is_conclusive(asked, now) {
            self.unanswered_reads += 1;
            self.is_cut_off |= self.unanswered_reads >= MAX_UNANSWERED_READS;
        }
    }

    /// Whether the end of a read tells what another would bring now. One that was asked before a proof was
    /// wanted does not, nor one asked long ago: the entry may have stood still since.
    fn is_conclusive(&self, asked: Duration, now: Duration) -> bool {
        let is_recent = now.saturating_sub(asked) <= self.opts.max_wait;
        is_recent && !self.is_fresh(asked + self.opts.max_wait)
    }

    /// A call has waited in vain, and for so long, until `now`. If that is longer than it was to wait, the entry
    /// stood still and has not waited for an answer.
    pub fn wait_expired(&mut self, waited: Duration, now: Duration) {
        let stood_still = waited > self.opts.max_wait + self.opts.max_wait / 4;
        if !stood_still && !self.is_fresh(now) {
            self.is_cut_off = true;
        }
    }

    /// Whether no newer proof was to be had.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Time from the moment up to which all changes are known; `None` if nothing is proven.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|proven| now.saturating_sub(proven))
    }

    /// Whether a newer proof is wanted at `now`.
    pub fn needs_refresh(&self, now: Duration) -> bool {
        !self.is_cut_off && !self.is_fresh(now + self.opts.max_wait)
    }

    /// What is to happen with a call at `now`.
    pub fn decide(&self, now: Duration) -> Outcome {
        match self.is_cut_off || self.is_fresh(now) {
            true => Outcome::Send,
            false => Outcome::Wait(self.opts.max_wait),
        }
    }

    /// Time from `now` on until a newer proof is wanted; `None` if nothing is proven.
    pub fn refresh_due_in(&self, now: Duration) -> Option<Duration> {
        let from = (self.confirmed_at? + self.opts.max_age).saturating_sub(self.opts.max_wait);
        Some(from.saturating_sub(now))
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age <= self.opts.max_age)
    }
}
