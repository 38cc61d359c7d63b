//! When plain calls of a service are also sent to a second upstream, and how many are.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fw_plan::{admit, hedge, retry};
use parking_lot::Mutex;

use super::{Fleet, Lease, Service};

/// Fraction of calls that may be sent twice.
const BUDGET: f64 = 0.05;
/// Calls that may be sent twice at once, after a time without any.
const BURST: f64 = 3.0;

/// The times of a service's calls, and the budget of its second calls.
#[derive(Debug)]
pub(super) struct Hedges {
    times: hedge::Hedge,
    budget: retry::Budget,
}

impl Default for Hedges {
    fn default() -> Self {
        Self {
            times: hedge::Hedge::new(hedge::Options::default()),
            budget: retry::Budget::new(retry::Options {
                ratio: BUDGET,
                refill_per_second: 0.0,
                burst: BURST,
                ..retry::Options::default()
            }),
        }
    }
}

/// The time of one call that may be sent twice.
#[derive(Debug)]
pub struct CallTimer {
    fleet: Arc<Fleet>,
    service: Arc<Mutex<Service>>,
    started_at: Instant,
    /// The expected factor of the upstream: a call to one that is known to be slow is not late.
    factor: f64,
}

impl Lease {
    /// Starts the timer of the call.
    pub fn call_timer(&self) -> CallTimer {
        CallTimer {
            fleet: Arc::clone(&self.fleet),
            service: Arc::clone(&self.service),
            started_at: Instant::now(),
            factor: self.candidate.speed.map_or(1.0, |expected| expected.factor),
        }
    }
}

impl CallTimer {
    /// Counts the call as one that may be sent twice; returns the time after which it is, unless too few calls
    /// were measured.
    pub fn hedge_after(&self) -> Option<Duration> {
        let mut service = self.service.lock();
        service.hedges.budget.deposit();
        let after = service.hedges.times.decide(admit::Lane::Plain, true)?;
        Some(after.mul_f64(self.factor))
    }

    /// Takes the right to send a second call, if the budget has one.
    pub fn withdraw_hedge(&self) -> bool {
        let now = self.fleet.now();
        self.service.lock().hedges.budget.withdraw(now)
    }

    /// Records the time that the call has taken. Also a call that is given up for the second one is recorded:
    /// without the longest times the usual one would seem shorter and shorter.
    pub fn record(&self) {
        let took = self.started_at.elapsed().div_f64(self.factor);
        self.service.lock().hedges.times.observe(took);
    }
}
