//! Retry budget: whether a failed call is sent again inside the system, and when.
//!
//! *Load pattern:* an upstream fails or slows, and every call to it fails at once.
//!
//! *Without it:* each layer sends each failed call again a few times; the offered load becomes a
//! multiple of the real one exactly when there is least capacity, and stays there after the cause
//! is gone.
//!
//! *Rule:* retries spend a token bucket per service that is filled by first attempts, so that they
//! add at most [`Options::ratio`] to the load, plus a small constant rate that lets a service with
//! little traffic retry at all. Delays double and are drawn from the whole interval ("full
//! jitter"), so that calls that failed together do not return together. Whether a call may be
//! repeated follows from the error table: one that did not run always may, one that may have run
//! only if it is idempotent.
//!
//! *Grounds:* a ratio of 0.1 limits the extra load to a tenth; `docs/POLICY.md` compares it with no
//! budget.

use std::time::Duration;

use fw_base::error;
use rand::Rng;
use rand::RngExt;

/// Limits of retries and their delays.
#[derive(Clone, Debug)]
pub struct Options {
    /// Tokens added by each first attempt.
    pub ratio: f64,
    /// Tokens added each second, independently of the traffic.
    pub refill_per_second: f64,
    /// Greatest number of tokens in the bucket.
    pub burst: f64,
    /// Greatest number of attempts of one call, including the first.
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
    /// Kind of the error.
    pub kind: error::Kind,
    /// Number of the attempt that failed; the first is 1.
    pub attempt: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Earliest time to retry that the refusing process gave, if any.
    pub retry_after: Option<Duration>,
}

/// Decision about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is sent again.
    Retry {
        /// Delay before the next attempt.
        after: Duration,
    },
    /// It is not sent again; the caller receives the error.
    GiveUp {
        /// Reason for it.
        reason: Reason,
    },
}

/// Reason why a call is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// By the error table another attempt would fail as well, or it is for the caller to retry.
    NotRetried,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// It has had the greatest number of attempts.
    Attempts,
    /// The deadline is before the next attempt.
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

    /// Adds tokens for a call's first attempt.
    pub fn deposit(&mut self) {
        self.add(self.options.ratio);
    }

    /// Decides about a failed attempt, and takes the token for a retry.
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

    /// Takes the token for one retry, if there is one.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    fn refusal_reason(&self, failure: &Failure) -> Option<Reason> {
        let row = failure.kind.row();
        if !row.retry || is_load_shedding(failure.kind) {
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

/// Kinds by which the entry itself sheds load. Repeating such a call inside the system would undo
/// the refusal and hide from the caller that it should slow down.
fn is_load_shedding(kind: error::Kind) -> bool {
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
