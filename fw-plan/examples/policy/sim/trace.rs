//! Programs to be run, drawn before the run so that every policy meets the same ones.

use std::time::Duration;

use fw_base::id;
use fw_plan::cache_retention;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::engine;

/// The shape of one user's load.
#[derive(Clone, Debug)]
pub struct Shape {
    pub name: &'static str,
    /// Model engines.
    pub engines: usize,
    /// Upstreams of the plain service.
    pub plain: usize,
    /// Part of the programs that are long, and the mean turns of short and long ones.
    pub long_part: f64,
    pub short_turns: f64,
    pub long_turns: f64,
    /// Mean tokens of the first prompt, of each later one, and of each answer.
    pub first: f64,
    pub input: f64,
    pub output: f64,
    /// Mean tool pause, most and few.
    pub pause: f64,
    pub long_pause: f64,
    /// Chance that a pause is a sub-agent's run.
    pub child: f64,
    pub teams: usize,
    /// What the user's records weigh more.
    pub weight: cache_retention::Weight,
}

/// Suratwala: many small conversations that share engines.
pub const SURATWALA: Shape = Shape {
    name: "Suratwala",
    engines: 9,
    plain: 9,
    long_part: 0.2,
    short_turns: 3.0,
    long_turns: 15.0,
    first: 700.0,
    input: 150.0,
    output: 60.0,
    pause: 0.4,
    long_pause: 4.0,
    child: 0.05,
    teams: 24,
    weight: cache_retention::Weight::Cache,
};

/// Fairground: fewer, longer programs with long submissions.
pub const FAIRGROUND: Shape = Shape {
    name: "Fairground",
    engines: 9,
    plain: 7,
    long_part: 0.3,
    short_turns: 3.0,
    long_turns: 20.0,
    first: 1_500.0,
    input: 250.0,
    output: 100.0,
    pause: 0.4,
    long_pause: 5.0,
    child: 0.1,
    teams: 12,
    weight: cache_retention::Weight::Latency,
};

/// One turn.
#[derive(Clone, Debug)]
pub struct Turn {
    pub input: id::Tokens,
    pub output: id::Tokens,
    /// Tool pause after it.
    pub pause: Duration,
    /// Sub-agent that runs instead of the pause.
    pub child: Option<Vec<Turn>>,
}

/// One program.
#[derive(Clone, Debug)]
pub struct Spec {
    pub at: Duration,
    pub team: usize,
    pub turns: Vec<Turn>,
}

impl Shape {
    /// Programs from the start until `end`, at `load` times the capacity of all engines.
    pub fn programs(&self, load: f64, end: Duration, seed: u64) -> Vec<Spec> {
        let rate = load * self.capacity();
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut programs = Vec::new();
        let mut at = exponential(1.0 / rate, &mut rng);
        while at < end.as_secs_f64() {
            programs.push(Spec {
                at: Duration::from_secs_f64(at),
                team: self.team(&mut rng),
                turns: self.turns(&mut rng),
            });
            at += exponential(1.0 / rate, &mut rng);
        }
        programs
    }

    /// Programs a second that keep every engine busy with full batches if no token that was
    /// cached is ever computed again: an upper bound for any policy.
    pub fn capacity(&self) -> f64 {
        let mut rng = Pcg64::seed_from_u64(7);
        let samples = 20_000;
        let work: f64 = (0..samples)
            .map(|_| self.turns(&mut rng).iter().map(turn_work).sum::<f64>())
            .sum();
        self.engines as f64 * samples as f64 / work
    }

    fn turns(&self, rng: &mut impl Rng) -> Vec<Turn> {
        let mean = if rng.random_bool(self.long_part) {
            self.long_turns
        } else {
            self.short_turns
        };
        let count = 1 + exponential(mean - 1.0, rng).round() as usize;
        let first = self.turn(self.first, true, rng);
        let later = (1..count.min(100)).map(|_| self.turn(self.input, true, rng));
        std::iter::once(first).chain(later).collect()
    }

    fn turn(&self, input: f64, may_have_child: bool, rng: &mut impl Rng) -> Turn {
        let pause = if rng.random_bool(0.85) {
            self.pause
        } else {
            self.long_pause
        };
        let child = may_have_child && rng.random_bool(self.child);
        let child = child.then(|| self.child_turns(rng));
        Turn {
            input: spread(input, rng),
            output: spread(self.output, rng),
            pause: Duration::from_secs_f64(exponential(pause, rng)),
            child,
        }
    }

    fn child_turns(&self, rng: &mut impl Rng) -> Vec<Turn> {
        let count = rng.random_range(1..=4);
        let first = self.turn(self.first * 0.5, false, rng);
        let later = (1..count).map(|_| self.turn(self.input, false, rng));
        std::iter::once(first).chain(later).collect()
    }

    /// Teams are of unequal size: the n-th sends 1/n of what the first does.
    fn team(&self, rng: &mut impl Rng) -> usize {
        let total: f64 = (1..=self.teams).map(|n| 1.0 / n as f64).sum();
        let mut left = rng.random::<f64>() * total;
        for team in 0..self.teams {
            left -= 1.0 / (team + 1) as f64;
            if left <= 0.0 {
                return team;
            }
        }
        self.teams - 1
    }
}

/// Engine seconds of a turn in a full batch, without anything computed twice.
fn turn_work(turn: &Turn) -> f64 {
    let prefill = turn.input as f64 * engine::PER_PREFILL_TOKEN;
    let decode = turn.output as f64 * engine::step_seconds(engine::BATCH, 0) / engine::BATCH as f64;
    let child = turn.child.iter().flatten().map(turn_work).sum::<f64>();
    prefill + decode + child
}

pub fn exponential(mean: f64, rng: &mut impl Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A size around `mean`: a part that is always there and an exponential one.
fn spread(mean: f64, rng: &mut impl Rng) -> id::Tokens {
    (mean * 0.4 + exponential(mean * 0.6, rng)).ceil() as id::Tokens
}
