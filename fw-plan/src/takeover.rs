//! Whether a shard that was taken a moment ago may serve.
//!
//! *Load pattern:* the store is away, and programs go on: a keeper gives its callers answers that only
//! it and the side beside the engine hold. Then the keeper dies, or its lease lapses while it is cut
//! off or waits for processor time, and another entry takes its shards from a journal without those
//! answers.
//!
//! *Without it:* the successor refuses the next turn of a program as unknown or out of order, or runs
//! it on a history that lacks what its caller holds.
//!
//! *Rule:* the shard serves once everyone who may hold such answers was asked for them since it was
//! taken: each side, and each other entry, since the keeper before may live. A process that is gone
//! holds nothing. One that is silent is waited for, up to [`Options::grace`]; silence for as long before
//! counts as gone. Missing one heartbeat does not: a busy side is late with it. A silent entry is not
//! waited for if all sides are known for long and have told what they hold: each answer has two
//! holders, and a side is one of them.
//!
//! *Grounds:* the grace is the lease of a keeper with its default settings. A caller waits that long for
//! a dead keeper anyway; a holder that is silent for longer is most likely lost.

use std::time::Duration;
use std::time::Instant;

/// How long holders are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest wait for holders that are silent, and time of silence after which one counts as gone.
    pub grace: Duration,
    /// Time since its first answer after which a side is known for long: it has not lost, by starting
    /// anew, what it held when the keeper before gave out its last answer.
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

/// What is known of a process that may hold answered turns which the journal lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    /// When this start of the process was first heard.
    pub first_seen: Option<Instant>,
    /// When the last question that it answered was sent.
    pub last_answered: Option<Instant>,
    /// Since when it does not answer.
    pub unresponsive_since: Option<Instant>,
    /// No process listens at its address.
    pub gone: bool,
    /// It told of turns that were not taken over yet.
    pub has_pending_turns: bool,
}

/// Who may hold answered turns of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// Whether the list of sides is known at all.
    pub sides_known: bool,
    /// The sides.
    pub sides: Vec<Holder>,
    /// The other entries, those included whose lease lapsed lately.
    pub entries: Vec<Holder>,
}

/// Whether the shard may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Everyone was heard.
    Serve,
    /// It may, without what this many holders may hold.
    ServeWithout(usize),
    /// This many holders are to be heard first; none if no list of sides is known.
    Wait(usize),
}

impl Outcome {
    /// Whether turns are taken.
    pub fn serves(self) -> bool {
        !matches!(self, Self::Wait(_))
    }
}

/// Decides about a shard that was taken at `since`.
pub fn decide(now: Instant, since: Instant, holders: &Holders, options: &Options) -> Outcome {
    let sides_cover =
        holders.sides_known && holders.sides.iter().all(|s| s.covers(now, since, options));
    let awaited = |holder: &&Holder| holder.is_awaited(now, since, options);
    let sides = holders.sides.iter().filter(awaited).count();
    let entries = holders.entries.iter().filter(awaited);
    let entries = entries.filter(|entry| entry.unresponsive_since.is_none() || !sides_cover);
    let missing = sides + entries.count();
    let is_over = now.saturating_duration_since(since) > options.grace;
    match (missing, holders.sides_known, is_over) {
        (0, true, _) => Outcome::Serve,
        (missing, _, true) => Outcome::ServeWithout(missing),
        (missing, _, false) => Outcome::Wait(missing),
    }
}

impl Holder {
    /// The process answered a question that was sent at `at`.
    pub fn answered(&mut self, at: Instant) {
        self.first_seen.get_or_insert(at);
        self.last_answered = Some(at);
        self.unresponsive_since = None;
        self.gone = false;
    }

    /// The process did not answer; `gone` if none listens at its address.
    pub fn missed(&mut self, now: Instant, gone: bool) {
        self.unresponsive_since.get_or_insert(now);
        self.gone = gone;
    }

    /// Whether it told, since `since`, all that it holds.
    fn has_told(&self, since: Instant) -> bool {
        self.last_answered.is_some_and(|heard| heard > since) && !self.has_pending_turns
    }

    fn is_awaited(&self, now: Instant, since: Instant, options: &Options) -> bool {
        let lost = |silent: Instant| now.saturating_duration_since(silent) > options.grace;
        let is_gone = self.gone || self.unresponsive_since.is_some_and(lost);
        !is_gone && !self.has_told(since)
    }

    fn covers(&self, now: Instant, since: Instant, options: &Options) -> bool {
        let settled = |known: Instant| now.saturating_duration_since(known) > options.min_uptime;
        self.has_told(since) && self.first_seen.is_some_and(settled)
    }
}
