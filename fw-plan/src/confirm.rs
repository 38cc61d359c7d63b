//! Freshness check of the list of upstreams: whether a call may be sent by the cached list, or
//! waits for a newer read.
//!
//! *Load pattern:* upstreams leave while the only read that would show it hangs, while updates from
//! a replica are delayed, or while the entry itself is suspended for seconds with calls in its
//! sockets.
//!
//! *Without it:* a list of any age is used, and calls reach upstreams long after they have left. A
//! bound on each hop does not help: delays add up, and no hop sees those of the others.
//!
//! *Rule:* a call is sent by a list that is confirmed to be recent. A newer confirmation is
//! requested some time before the list becomes too old; if it becomes too old all the same, as
//! after a suspension, calls wait for the confirmation. If none can be had, as at an entry that is
//! cut off, calls are sent without one, and wait again only after the next confirmation.

use std::time::Duration;

/// Limits on the age of the list and on the wait of a call for a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Age up to which a list is used without a check.
    pub max_age: Duration,
    /// Longest wait of a call for a newer confirmation; a read that hangs is repeated within it. A
    /// newer confirmation is requested this long before the list becomes too old.
    pub max_wait: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self::for_bound(Duration::from_secs(2))
    }
}

/// Reads in a row that are not answered in time, after which the entry counts as cut off: a single
/// one may hang.
const MAX_UNANSWERED_READS: u32 = 2;

impl Options {
    /// Share of the bound that the list's age may take; the rest is for the call's way to its
    /// upstream.
    const LIST_AGE_SHARE: f64 = 0.75;

    /// For changes that have to be in force `bound` after they are acknowledged.
    pub fn for_bound(bound: Duration) -> Self {
        Self {
            max_age: bound.mul_f64(Self::LIST_AGE_SHARE),
            max_wait: Duration::from_millis(600),
        }
    }
}

/// Decision about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is sent.
    Send,
    /// It waits for a newer confirmation, at most this long.
    Wait(Duration),
}

/// Up to which time the list includes all changes. Times are those of a clock that keeps running
/// while the machine is suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFreshness {
    opts: Options,
    confirmed_at: Option<Duration>,
    /// Reads in a row that were not answered in time.
    unanswered_reads: u32,
    is_cut_off: bool,
}

impl ListFreshness {
    /// Without a confirmation.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            confirmed_at: None,
            unanswered_reads: 0,
            is_cut_off: false,
        }
    }

    /// A read confirms at `now` that the list includes all changes that the store had acknowledged
    /// at `requested_at`. Returns whether this ends a time in which calls were sent without a
    /// confirmation.
    ///
    /// Replicas date the same read slightly differently each time, so only a confirmation by which
    /// the list is recent ends that time.
    pub fn confirm(&mut self, requested_at: Duration, now: Duration) -> bool {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        if !self.is_fresh(now) {
            return false;
        }
        self.unanswered_reads = 0;
        std::mem::take(&mut self.is_cut_off)
    }

    /// A read that was requested at `requested_at` has failed at `now`.
    pub fn read_failed(&mut self, requested_at: Duration, now: Duration) {
        if self.is_conclusive(requested_at, now) {
            self.is_cut_off = true;
        }
    }

    /// A read that was requested at `requested_at` is not answered at `now`, and is repeated.
    pub fn read_unanswered(&mut self, requested_at: Duration, now: Duration) {
        if self.is_conclusive(requested_at, now) {
            self.unanswered_reads += 1;
            self.is_cut_off |= self.unanswered_reads >= MAX_UNANSWERED_READS;
        }
    }

    /// Whether the end of a read predicts the result of another read now. A read that was requested
    /// before a confirmation was needed does not, nor does one requested long ago: the entry may
    /// have been suspended since.
    fn is_conclusive(&self, requested_at: Duration, now: Duration) -> bool {
        let is_recent = now.saturating_sub(requested_at) <= self.opts.max_wait;
        is_recent && !self.is_fresh(requested_at + self.opts.max_wait)
    }

    /// A call has waited for `waited`, until `now`, without a confirmation. If that is longer than
    /// the longest wait, the entry was suspended rather than waiting for an answer.
    pub fn wait_expired(&mut self, waited: Duration, now: Duration) {
        let was_suspended = waited > self.opts.max_wait + self.opts.max_wait / 4;
        if !was_suspended && !self.is_fresh(now) {
            self.is_cut_off = true;
        }
    }

    /// Whether no newer confirmation could be had.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Age of the list: time since the request of the last read that confirmed it; `None` without a
    /// confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a newer confirmation is to be requested at `now`.
    pub fn needs_refresh(&self, now: Duration) -> bool {
        !self.is_cut_off && !self.is_fresh(now + self.opts.max_wait)
    }

    /// Decides about a call at `now`.
    pub fn decide(&self, now: Duration) -> Outcome {
        match self.is_cut_off || self.is_fresh(now) {
            true => Outcome::Send,
            false => Outcome::Wait(self.opts.max_wait),
        }
    }

    /// Time from `now` until a newer confirmation is to be requested; `None` without a
    /// confirmation.
    pub fn refresh_due_in(&self, now: Duration) -> Option<Duration> {
        let due = (self.confirmed_at? + self.opts.max_age).saturating_sub(self.opts.max_wait);
        Some(due.saturating_sub(now))
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age <= self.opts.max_age)
    }
}
