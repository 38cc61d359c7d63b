//! Faults of one port of the store, to be set while it runs.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// How calls fail while the store is away. Nothing is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are answered with "unavailable"; open watches end.
    Refuse,
    /// Calls get no answer; open watches fall silent for good.
    Hang,
}

/// The faults of one port.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether and how the store is away.
    pub outage: Option<Outage>,
    /// Wait before a call is looked at.
    pub delay: Duration,
    /// Answers to the next so many transactions that can write are lost after they took effect.
    pub lose_answers: u32,
    /// Chance that the answer to a transaction that can write is lost after it took effect.
    pub lose_probability: f64,
    /// Answers to the next so many lease calls are lost after they took effect.
    pub lose_lease_answers: u32,
    /// Chance that the answer to a lease call is lost after it took effect.
    pub lose_lease_probability: f64,
    /// Whether new watches get no answer while all else is served.
    pub hang_watches: bool,
    /// Whether progress notifications are left out.
    pub no_progress: bool,
}

/// Which sort of answer may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Write,
    Lease,
}

/// Faults of a port with what they need to draw lots.
#[derive(Debug)]
pub(crate) struct Port {
    pub faults: Faults,
    /// Watches opened in an earlier epoch stay silent.
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

    /// Whether to lose the answer at hand.
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
