//! Whether a recently acquired shard may serve.
//!
//! *Load pattern:* the store is unavailable while programs continue. A keeper gives its callers
//! answers that only it and the side beside the engine hold. Then the keeper dies, or its lease
//! lapses while it is partitioned or gets no processor time, and another entry acquires its shards
//! from a journal without those answers.
//!
//! *Without it:* the successor refuses the next turn of a program as unknown or out of order, or
//! runs it on a history that lacks answers which its caller has.
//!
//! *Rule:* the shard serves once every process that may hold such answers has been queried since
//! the shard was acquired: each side, and each other entry, since the previous keeper may be alive.
//! A process that is gone holds nothing. One that does not respond is waited for, up to
//! [`Options::grace`]; one that had not responded for that long before counts as gone. A single
//! missed heartbeat does not count as gone, because a busy side answers late. An entry that does
//! not respond is not waited for if all sides have been up for long and have reported what they
//! hold: each answer has two holders, one of which is a side.
//!
//! *Grounds:* the grace period is the lease of a keeper with default settings. A caller waits that
//! long for a dead keeper anyway, and a holder that does not respond for longer is most likely
//! lost.

use std::time::Duration;
use std::time::Instant;

/// How long holders are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest wait for holders that do not respond, and time without a response after which one
    /// counts as gone.
    pub grace: Duration,
    /// Time since its first response after which a side counts as up for long: it has not lost, by
    /// a restart, what it held when the previous keeper gave its last answer.
    pub min_uptime: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(5),
            min_uptime: Duration::from_secs(60),
        }
    }
}

/// State of a process that may hold answered turns missing from the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    /// When the first query answered since the current start of the process was sent.
    pub first_seen: Option<Instant>,
    /// When the last query that it answered was sent.
    pub last_answered: Option<Instant>,
    /// Time of the first missed response since the last answer; `None` while it responds.
    pub unresponsive_since: Option<Instant>,
    /// No process listens at its address.
    pub gone: bool,
    /// It has reported turns that are not recovered yet.
    pub has_pending_turns: bool,
}

/// Processes that may hold answered turns of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// Whether the list of sides has been received.
    pub sides_known: bool,
    /// The sides.
    pub sides: Vec<Holder>,
    /// The other entries, including those whose lease lapsed recently.
    pub entries: Vec<Holder>,
}

/// Whether the shard may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may: all holders have reported.
    Serve,
    /// It may, without the turns that this many holders may have.
    ServeWithout(usize),
    /// Not before this many holders have reported; 0 if only the list of sides is missing.
    Wait(usize),
}

impl Outcome {
    /// Whether the shard accepts turns.
    pub fn serves(self) -> bool {
        !matches!(self, Self::Wait(_))
    }
}

/// Decides about a shard that was acquired at `since`.
pub fn decide(now: Instant, since: Instant, holders: &Holders, options: &Options) -> Outcome {
    let sides_suffice = holders.sides_known
        && holders
            .sides
            .iter()
            .all(|s| s.suffices(now, since, options));
    let awaited = |holder: &&Holder| holder.is_awaited(now, since, options);
    let sides = holders.sides.iter().filter(awaited).count();
    let entries = holders.entries.iter().filter(awaited);
    let entries = entries.filter(|entry| entry.unresponsive_since.is_none() || !sides_suffice);
    let missing = sides + entries.count();
    let grace_is_over = now.saturating_duration_since(since) > options.grace;
    match (missing, holders.sides_known, grace_is_over) {
        (0, true, _) => Outcome::Serve,
        (missing, _, true) => Outcome::ServeWithout(missing),
        (missing, _, false) => Outcome::Wait(missing),
    }
}

impl Holder {
    /// Records that the process answered a query sent at `at`.
    pub fn answered(&mut self, at: Instant) {
        self.first_seen.get_or_insert(at);
        self.last_answered = Some(at);
        self.unresponsive_since = None;
        self.gone = false;
    }

    /// Records that the process did not answer; `gone` if no process listens at its address.
    pub fn missed(&mut self, now: Instant, gone: bool) {
        self.unresponsive_since.get_or_insert(now);
        self.gone = gone;
    }

    /// Whether it has reported all that it holds since `since`.
    fn has_reported(&self, since: Instant) -> bool {
        self.last_answered.is_some_and(|sent| sent > since) && !self.has_pending_turns
    }

    fn is_awaited(&self, now: Instant, since: Instant, options: &Options) -> bool {
        let exceeds_grace = |since: Instant| now.saturating_duration_since(since) > options.grace;
        let is_gone = self.gone || self.unresponsive_since.is_some_and(exceeds_grace);
        !is_gone && !self.has_reported(since)
    }

    fn suffices(&self, now: Instant, since: Instant, options: &Options) -> bool {
        let is_long_enough =
            |start: Instant| now.saturating_duration_since(start) > options.min_uptime;
        self.has_reported(since) && self.first_seen.is_some_and(is_long_enough)
    }
}
