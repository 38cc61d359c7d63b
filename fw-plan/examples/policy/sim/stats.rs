//! Statistics of the answers that callers receive.

use std::time::Duration;

use fw_base::id;
use hdrhistogram::Histogram;

/// Largest value that the histograms record exactly.
const MAX_VALUE: u64 = 1_000_000_000;

/// Totals over the measured part of one run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Latency of finished programs in milliseconds, tool pauses included.
    pub programs: Histogram<u64>,
    /// The same without the tool pauses, which no policy can shorten.
    pub without_pauses: Histogram<u64>,
    /// Programs of the cohort that were still running at the end. Their latency until then is
    /// recorded with the others.
    pub unfinished: u64,
    /// Finished programs.
    pub finished: u64,
    /// Turns of finished programs, without those of their sub-agents.
    pub finished_turns: u64,
    /// Finished programs by team.
    pub finished_by_team: Vec<u64>,
    /// Latency of answered plain requests in microseconds.
    pub plain: Histogram<u64>,
    pub plain_refused: u64,
    /// New programs whose caller gave up after refusals.
    pub refused: u64,
    /// Running programs lost to their caller because a turn was not answered in time.
    pub lost: u64,
    /// Refusals sent, to new programs and to turns.
    pub new_refusals: u64,
    pub turn_refusals: u64,
    /// Longest time from a call to its refusal.
    pub slowest_refusal: Duration,
    /// Attempts sent to sides.
    pub attempts: u64,
    /// Admitted turns.
    pub turns: u64,
    /// History tokens that had been cached somewhere before.
    pub reusable: id::Tokens,
    /// Reusable tokens that were computed again.
    pub recomputed: id::Tokens,
    /// Attempts sent to each upstream.
    pub by_upstream: Vec<u64>,
    pub measured_time: Duration,
}

impl Stats {
    pub fn new(teams: usize, upstreams: usize) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_VALUE, 3).expect("sound bounds");
        Self {
            programs: histogram(),
            without_pauses: histogram(),
            unfinished: 0,
            finished: 0,
            finished_turns: 0,
            finished_by_team: vec![0; teams],
            plain: histogram(),
            plain_refused: 0,
            refused: 0,
            lost: 0,
            new_refusals: 0,
            turn_refusals: 0,
            slowest_refusal: Duration::ZERO,
            attempts: 0,
            turns: 0,
            reusable: 0,
            recomputed: 0,
            by_upstream: vec![0; upstreams],
            measured_time: Duration::ZERO,
        }
    }

    /// Records a program's latency, with and without its tool pauses.
    pub fn record_program(&mut self, latency: Duration, without_pauses: Duration) {
        self.programs.saturating_record(latency.as_millis() as u64);
        self.without_pauses
            .saturating_record(without_pauses.as_millis() as u64);
    }

    /// Adds another run's totals.
    pub fn merge(&mut self, other: &Self) {
        let same = "histograms of one shape";
        self.programs.add(&other.programs).expect(same);
        self.without_pauses.add(&other.without_pauses).expect(same);
        self.plain.add(&other.plain).expect(same);
        let teams = other.finished_by_team.iter();
        for (sum, part) in self.finished_by_team.iter_mut().zip(teams) {
            *sum += part;
        }
        for (sum, part) in self.by_upstream.iter_mut().zip(&other.by_upstream) {
            *sum += part;
        }
        self.unfinished += other.unfinished;
        self.finished += other.finished;
        self.finished_turns += other.finished_turns;
        self.plain_refused += other.plain_refused;
        self.refused += other.refused;
        self.lost += other.lost;
        self.new_refusals += other.new_refusals;
        self.turn_refusals += other.turn_refusals;
        self.slowest_refusal = self.slowest_refusal.max(other.slowest_refusal);
        self.attempts += other.attempts;
        self.turns += other.turns;
        self.reusable += other.reusable;
        self.recomputed += other.recomputed;
        self.measured_time += other.measured_time;
    }

    /// Program latency at a quantile, in seconds.
    pub fn program_latency(&self, quantile: f64) -> f64 {
        self.programs.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Program latency without tool pauses at a quantile, in seconds.
    pub fn latency_without_pauses(&self, quantile: f64) -> f64 {
        self.without_pauses.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Turns of finished programs per second.
    pub fn finished_turns(&self) -> f64 {
        self.finished_turns as f64 / self.measured_time.as_secs_f64()
    }

    /// Latency of plain requests at a quantile, in milliseconds.
    pub fn plain_latency(&self, quantile: f64) -> f64 {
        self.plain.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Finished programs per second.
    pub fn goodput(&self) -> f64 {
        self.finished as f64 / self.measured_time.as_secs_f64()
    }

    /// Attempts sent per admitted turn.
    pub fn attempts_per_turn(&self) -> f64 {
        self.attempts as f64 / self.turns.max(1) as f64
    }

    /// Fraction of the reusable history that was computed again.
    pub fn wasted_fraction(&self) -> f64 {
        self.recomputed as f64 / self.reusable.max(1) as f64
    }

    /// Fraction of the programs whose caller gave up after refusals.
    pub fn refused_fraction(&self) -> f64 {
        fraction(self.refused, self.programs.len() + self.lost)
    }

    /// Fraction of the started programs that were lost.
    pub fn lost_fraction(&self) -> f64 {
        fraction(self.lost, self.programs.len())
    }

    /// Fraction of the plain requests that were refused.
    pub fn plain_refused_fraction(&self) -> f64 {
        fraction(self.plain_refused, self.plain.len())
    }
}

fn fraction(some: u64, others: u64) -> f64 {
    some as f64 / (some + others).max(1) as f64
}
