//! Faults of one port of the store, which can be changed while it runs.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// How calls fail while the store is unavailable. No call takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are answered with the gRPC status "unavailable"; open watches end.
    Refuse,
    /// Calls are never answered; open watches stall permanently.
    Hang,
}

/// The faults of one port.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Outage of the store, if any.
    pub outage: Option<Outage>,
    /// Delay before a call is processed.
    pub delay: Duration,
    /// Number of subsequent write transactions whose answer is lost after they take effect.
    pub lose_answers: u32,
    /// Probability that the answer to a write transaction is lost after it takes effect.
    pub lose_probability: f64,
    /// Number of subsequent lease calls whose answer is lost after they take effect.
    pub lose_lease_answers: u32,
    /// Probability that the answer to a lease call is lost after it takes effect.
    pub lose_lease_probability: f64,
    /// Whether new watches are never answered while all other calls are served.
    pub hang_watches: bool,
    /// Whether progress notifications are suppressed.
    pub no_progress: bool,
}

/// Kinds of answers that can be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Write,
    Lease,
}

/// Faults of a port and the random generator for probabilistic ones.
#[derive(Debug)]
pub(crate) struct Port {
    pub faults: Faults,
    /// Watches opened in an earlier epoch are stalled.
    pub epoch: u64,
    rng: Pcg64,
}

impl Port {
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            epoch: 0,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Decides whether this answer is lost.
    pub fn draw_loss(&mut self, answer: Answer) -> bool {
        let faults = &mut self.faults;
        let (left, probability) = match answer {
            Answer::Write => (&mut faults.lose_answers, faults.lose_probability),
            Answer::Lease => (
                &mut faults.lose_lease_answers,
                faults.lose_lease_probability,
            ),
        };
        if *left > 0 {
            *left -= 1;
            return true;
        }
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }
}
