//! The checker: evaluates each promise over a record of events.

use std::fmt;
use std::time::Duration;

use crate::event::Entry;
use crate::index;
use crate::promise;

/// An invariant of the system that the checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// The calls of one program stay in order.
    Order,
    /// A program's history is never lost and never mixed with another's.
    History,
    /// A program does not exceed its budget.
    Budget,
    /// No KV cache stays allocated for programs that have ended.
    Memory,
    /// A caller receives the complete answer to its own request.
    Answer,
    /// A request that an error reports as not run did not run.
    Refusal,
    /// A call that is not idempotent runs at most once.
    Once,
    /// A leaving upstream receives no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts off no request.
    Shutdown,
    /// An accepted record is in force everywhere within seconds and never reverts.
    Records,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 10] = [
        Self::Order,
        Self::History,
        Self::Budget,
        Self::Memory,
        Self::Answer,
        Self::Refusal,
        Self::Once,
        Self::Leaving,
        Self::Shutdown,
        Self::Records,
    ];

    /// The promise in one line.
    pub fn text(self) -> &'static str {
        match self {
            Self::Order => "calls of a program stay in order",
            Self::History => "histories are not lost and not mixed",
            Self::Budget => "budgets hold",
            Self::Memory => "engine memory of programs that are gone is freed",
            Self::Answer => "callers get the whole answer to their own request",
            Self::Refusal => "\"not run\" is true",
            Self::Once => "calls that are not idempotent run at most once",
            Self::Leaving => "leaving upstreams get no new work",
            Self::Shutdown => "graceful shutdowns cut off no request",
            Self::Records => "accepted records are in force everywhere and stay",
        }
    }
}

/// Time limits of the promises that hold only after a delay.
#[derive(Clone, Debug)]
pub struct Options {
    /// From a program's end until no engine holds KV cache for it.
    pub free_within: Duration,
    /// From the time an upstream starts to leave until it receives no new work.
    pub leave_within: Duration,
    /// From the acceptance of a record until it is in force everywhere.
    pub in_force_within: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            free_within: Duration::from_secs(20),
            leave_within: Duration::from_secs(3),
            in_force_within: Duration::from_secs(3),
        }
    }
}

/// A violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The entries of the record that show the violation, counted from 1.
    pub lines: Vec<usize>,
    /// The violation in one line.
    pub description: String,
}

/// The result of checking one promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It held in every case that exercised it.
    Held {
        /// Number of cases that exercised it.
        observations: usize,
        /// The cases that the record cannot decide.
        unknown: Vec<String>,
    },
    /// It did not hold.
    Violated {
        /// The violations found.
        evidence: Vec<Evidence>,
    },
    /// Nothing in the record exercised it.
    NotObserved {
        /// The cases that the record cannot decide.
        unknown: Vec<String>,
    },
}

/// A promise and its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// The verdict.
    pub verdict: Verdict,
}

/// The verdicts on all promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// One for each of [`Promise::ALL`], in that order.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether any promise was violated.
    pub fn is_violated(&self) -> bool {
        let is_violated = |f: &Finding| matches!(f.verdict, Verdict::Violated { .. });
        self.findings.iter().any(is_violated)
    }

    /// Whether every promise was exercised and held.
    pub fn is_held(&self) -> bool {
        let is_held = |f: &Finding| matches!(f.verdict, Verdict::Held { .. });
        self.findings.iter().all(is_held)
    }

    /// The verdict on `promise`.
    pub fn verdict(&self, promise: Promise) -> &Verdict {
        let found = self.findings.iter().find(|f| f.promise == promise);
        &found.expect("a report contains all promises").verdict
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.promise.text();
        let unknown = match &self.verdict {
            Verdict::Held {
                observations,
                unknown,
            } => {
                write!(f, "held       {text} ({observations} observed)")?;
                unknown
            }
            Verdict::NotObserved { unknown } => {
                write!(f, "not seen   {text}")?;
                unknown
            }
            Verdict::Violated { evidence } => {
                write!(f, "VIOLATED   {text}")?;
                for Evidence { lines, description } in evidence {
                    write!(f, "\n           - {description} (entries {lines:?})")?;
                }
                return Ok(());
            }
        };
        for cases in unknown {
            write!(f, "\n           - not known: {cases}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// Counts the cases of one promise while a record is checked.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    observations: usize,
    evidence: Vec<Evidence>,
    unknown: Vec<String>,
}

impl Tally {
    /// Adds a case in which the promise held.
    pub fn add_held(&mut self) {
        self.observations += 1;
    }

    /// Adds a violation, shown by the entries at `indices`.
    pub fn add_violation(&mut self, indices: &[usize], description: String) {
        let lines = indices.iter().map(|index| index + 1).collect();
        self.evidence.push(Evidence { lines, description });
    }

    /// Adds a case: held if `is_held`, otherwise a violation.
    pub fn expect(
        &mut self,
        is_held: bool,
        indices: &[usize],
        description: impl FnOnce() -> String,
    ) {
        match is_held {
            true => self.add_held(),
            false => self.add_violation(indices, description()),
        }
    }

    /// Adds `count` cases that the record cannot decide; nothing if `count` is 0.
    pub fn add_undecided(&mut self, count: usize, cases: &str) {
        if count > 0 {
            self.unknown.push(format!("{count} {cases}"));
        }
    }

    fn verdict(self) -> Verdict {
        if !self.evidence.is_empty() {
            return Verdict::Violated {
                evidence: self.evidence,
            };
        }
        let unknown = self.unknown;
        match self.observations {
            0 => Verdict::NotObserved { unknown },
            observations => Verdict::Held {
                observations,
                unknown,
            },
        }
    }
}

/// Checks all promises over `entries`.
pub fn verify(entries: &[Entry], opts: &Options) -> Report {
    let index = index::Index::new(entries);
    let finding = |promise| Finding {
        promise,
        verdict: tally(promise, entries, &index, opts).verdict(),
    };
    Report {
        findings: Promise::ALL.into_iter().map(finding).collect(),
    }
}

fn tally(promise: Promise, entries: &[Entry], index: &index::Index<'_>, opts: &Options) -> Tally {
    match promise {
        Promise::Order => promise::order::check(index),
        Promise::History => promise::history::check(entries, index),
        Promise::Budget => promise::budget::check(entries, index),
        Promise::Memory => promise::memory::check(entries, opts),
        Promise::Answer => promise::answer::check(index),
        Promise::Refusal => promise::refusal::check(index),
        Promise::Once => promise::once::check(index),
        Promise::Leaving => promise::leaving::check(entries, opts),
        Promise::Shutdown => promise::shutdown::check(entries, index),
        Promise::Records => promise::records::check(entries, opts),
    }
}
