//! Whether a call may be sent by the list of upstreams as it is known, or waits for a newer read of it.
//!
//! *Load pattern:* upstreams leave while the only read that would tell hangs, while what a replica tells is held
//! up, or while the entry itself stands still for seconds with calls in its sockets.
//!
//! *Without it:* a list of any age is used, and calls reach upstreams long after they have left. A bound on
//! each hop does not help: delays follow each other, and no hop knows of the others.
//!
//! *Rule:* a call is sent by a list that is proven to be new. Otherwise it waits for a newer proof, which is asked for
//! at once. Where none is to be had, as at an entry that is cut off, calls are sent without, and wait again
//! only once there has been one.

use std::time::Duration;

/// How old a list may be, and how long a call waits for a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Age up to which a list is used without a question.
    pub fresh: Duration,
    /// Longest wait of a call for a newer proof: a read that hangs is asked again within it.
    pub wait: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self::within(Duration::from_secs(2))
    }
}

impl Options {
    /// Part of the time given that a list may be old; the rest is for the call's way to its upstream.
    const PART: f64 = 0.75;

    /// For changes that have to be in force `bound` after they are acknowledged.
    pub fn within(bound: Duration) -> Self {
        Self {
            fresh: bound.mul_f64(Self::PART),
            wait: Duration::from_millis(600),
        }
    }
}

/// What is to happen with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is sent.
    Send,
    /// It waits for a newer proof, for this time at most.
    Await(Duration),
}

/// How new the list is known to be. Times are those of a clock that goes on while the machine is
/// suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Knowledge {
    opts: Options,
    proven: Option<Duration>,
    is_cut_off: bool,
}

impl Knowledge {
    /// Nothing is proven yet.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            proven: None,
            is_cut_off: false,
        }
    }

    /// Up to which moment all changes are known.
    pub fn proven(&self) -> Option<Duration> {
        self.proven
    }

    /// All changes are known that the store had acknowledged at `asked`. Returns whether that is new.
    pub fn prove(&mut self, asked: Duration) -> bool {
        let is_new = self.proven.is_none_or(|known| known < asked);
        if is_new {
            self.proven = Some(asked);
            self.is_cut_off = false;
        }
        is_new
    }

    /// A read that was asked at `asked` has failed at `now`. One that was asked while the list was new, or long
    /// ago, says nothing of what a read would bring now: the entry may have stood still since.
    pub fn failed(&mut self, asked: Duration, now: Duration) {
        let is_recent = now.saturating_sub(asked) <= self.opts.wait;
        if is_recent && !self.is_fresh(asked) {
            self.is_cut_off = true;
        }
    }

    /// A call has waited in vain since `proven` was the newest proof.
    pub fn waited(&mut self, proven: Option<Duration>) {
        if self.proven == proven {
            self.is_cut_off = true;
        }
    }

    /// Whether no newer proof was to be had.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Time from the moment up to which all changes are known; `None` if nothing is proven.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }

    /// Whether calls wait for a proof at `now`.
    pub fn is_wanted(&self, now: Duration) -> bool {
        !self.is_cut_off && !self.is_fresh(now)
    }

    /// What is to happen with a call at `now`.
    pub fn decide(&self, now: Duration) -> Outcome {
        match self.is_wanted(now) {
            true => Outcome::Await(self.opts.wait),
            false => Outcome::Send,
        }
    }

    /// Time from `now` on until the list is too old; `None` if nothing is proven.
    pub fn fresh_for(&self, now: Duration) -> Option<Duration> {
        let until = self.proven? + self.opts.fresh;
        Some(until.saturating_sub(now))
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age <= self.opts.fresh)
    }
}
