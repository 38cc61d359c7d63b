//! Retries inside the system: whether a failed call is sent again, and when.
//!
//! *Load pattern:* an upstream fails or slows, and every call to it fails at once.
//!
//! *Without it:* each layer sends each failed call again a few times; the offered load becomes a
//! multiple of the real one exactly when there is least capacity, and stays there after the cause
//! is gone.
//!
//! *Rule:* retries spend a token bucket per service that is filled by first attempts, so that
//! they add at most [`Options::ratio`] to the load, plus a trickle that lets a quiet service retry
//! at all. Delays double and are drawn from the whole interval ("full jitter"), so that calls that
//! failed together do not come back together. Whether a call may be repeated follows from the
//! error table: one that did not run always may, one that may have run only if it is idempotent.
//!
//! *Grounds:* a ratio of 0.1 holds the extra load at a tenth; measured against no budget in
//! `docs/POLICY.md`.

use std::time::Duration;

use fw_base::error;
use rand::Rng;
use rand::RngExt;

/// How calls are retried.
#[derive(Clone, Debug)]
pub struct Options {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries earned each second whatever the traffic.
    pub refill_per_second: f64,
    /// Most retries saved up.
    pub burst: f64,
    /// Most attempts of one call, the first included.
    pub max_attempts: u32,
    /// Upper end of the delay before the second attempt; doubled for each further one.
    pub base_delay: Duration,
    /// Greatest upper end of a delay.
    pub max_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            refill_per_second: 1.0,
            burst: 20.0,
            max_attempts: 3,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// How it failed.
    pub kind: error::Kind,
    /// Which attempt of the call failed; the first is 1.
    pub attempt: u32,
    /// Whether the call may run twice.
    pub repeatable: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// When the refusing process asks to be tried again, if it said so.
    pub retry_after: Option<Duration>,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send it again.
    Retry {
        /// After this delay.
        after: Duration,
    },
    /// Answer the caller.
    GiveUp {
        /// Why it is not sent again.
        reason: Reason,
    },
}

/// Why a call is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The error table says that another attempt fails as well, or it is the caller's to repeat.
    NotRetried,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// It was tried often enough.
    Attempts,
    /// The deadline comes before the next attempt.
    Deadline,
    /// The service's retry budget is spent.
    Budget,
}

impl Reason {
    /// Value of the `reason` label on counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotRetried => "not_retried",
            Self::MayHaveRun => "may_have_run",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
        }
    }
}

/// The retry budget of one service.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    tokens: f64,
    refilled_at: Duration,
}

impl Budget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self {
            tokens: options.burst,
            refilled_at: Duration::ZERO,
            options,
        }
    }

    /// A call's first attempt is sent.
    pub fn deposit(&mut self) {
        self.add(self.options.ratio);
    }

    /// Decides about a failed attempt; a retry is paid for at once.
    pub fn decide(&mut self, now: Duration, failure: &Failure, rng: &mut impl Rng) -> Outcome {
        if let Some(reason) = self.refusal_reason(failure) {
            return Outcome::GiveUp { reason };
        }
        let after = self.backoff(failure, rng);
        if after >= failure.time_left {
            return Outcome::GiveUp {
                reason: Reason::Deadline,
            };
        }
        if !self.withdraw(now) {
            return Outcome::GiveUp {
                reason: Reason::Budget,
            };
        }
        Outcome::Retry { after }
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn refusal_reason(&self, failure: &Failure) -> Option<Reason> {
        let row = failure.kind.row();
        if !row.retry || is_for_the_caller(failure.kind) {
            return Some(Reason::NotRetried);
        }
        if row.ran != error::Ran::No && !failure.repeatable {
            return Some(Reason::MayHaveRun);
        }
        if failure.attempt >= self.options.max_attempts {
            return Some(Reason::Attempts);
        }
        None
    }

    fn backoff(&self, failure: &Failure, rng: &mut impl Rng) -> Duration {
        let doublings = failure.attempt.saturating_sub(1).min(16);
        let upper = (self.options.base_delay * (1 << doublings)).min(self.options.max_delay);
        let jittered = upper.mul_f64(rng.random::<f64>());
        failure.retry_after.unwrap_or_default() + jittered
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.options.refill_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.options.burst);
    }
}

/// Kinds by which the entry itself sheds load. Sending such a call again from within would undo
/// the refusal and hide from the caller that it should slow down.
fn is_for_the_caller(kind: error::Kind) -> bool {
    matches!(
        kind,
        error::Kind::Overloaded
            | error::Kind::ShareExceeded
            | error::Kind::DeadlineUnmeetable
            | error::Kind::DeadlineExceeded
            | error::Kind::RetryBudget
            | error::Kind::KeyInUse
            | error::Kind::StaleFence
            | error::Kind::KeeperLost
    )
}
