//! Admission at the entry: whether a call starts at all.
//!
//! *Load pattern:* more programs arrive than the engines can finish, for minutes, often most of
//! them from one team, while plain requests go on beside them.
//!
//! *Without it:* every program is taken, each turn waits behind all others, nothing finishes
//! before its caller gives up, and the engine time of abandoned programs is lost. A fixed count
//! has the same effect whenever the engines are slower than on the day it was chosen.
//!
//! *Rule:* a limit on turns in flight follows the queueing delay that finished turns report.
//! While the mean delay of a window exceeds the target, the limit shrinks in proportion to the
//! excess, at most by [`Options::shrink`]; while it does not and the limit is in use, the limit
//! grows. New programs may use a part of the limit only, and turns of programs under way may
//! exceed it somewhat, because refusing them throws away the turns before. The plain lane has a
//! limit of its own, adapted in the same way to its own delays. Once a lane is nearly full, a
//! team that holds more than its weighted share of it is refused in favour of the others; below
//! that, anyone may use what is idle.
//!
//! *Grounds:* `docs/POLICY.md` has the sweep behind the target and the fractions.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;

use crate::ewma;

/// The sort of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// A plain request: not part of a program.
    Plain,
    /// A turn of a program that has committed turns.
    Turn,
    /// The first turn of a program.
    NewProgram,
}

/// A call that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// The sort of call.
    pub lane: Lane,
    /// The team.
    pub team: id::TeamId,
    /// The team's share relative to others; 1.0 is usual.
    pub share: f64,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may start; report [`Controller::started`] and later [`Controller::finished`].
    Admitted,
    /// It does not run.
    Refused {
        /// Why.
        kind: error::Kind,
        /// When a call like this is expected to be admitted, from now.
        retry_after: Duration,
    },
}

/// How admission adapts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Mean queueing delay of turns that is aimed at.
    pub target: Duration,
    /// Mean queueing delay of plain requests that is aimed at.
    pub plain_target: Duration,
    /// How often the limits are adapted.
    pub interval: Duration,
    /// Turns in flight at first.
    pub initial: f64,
    /// Plain requests in flight at first.
    pub plain_initial: f64,
    /// Least limit of either lane.
    pub min: f64,
    /// Greatest limit of either lane.
    pub max: f64,
    /// Most that a limit shrinks in one interval, as a part of it.
    pub shrink: f64,
    /// What a limit grows in one interval, as a part of it.
    pub grow: f64,
    /// Part of the limit that new programs may use.
    pub new_part: f64,
    /// Multiple of the limit up to which turns of programs under way are admitted.
    pub turn_part: f64,
    /// Part of a lane's bound from which shares are enforced. What lies above is left to teams
    /// within their share; it must exceed the chance variation of the calls in flight, or a team
    /// that sends little is refused together with the one that fills the lane. The limit grows
    /// by delay, so nothing stays unused for it.
    pub contended: f64,
    /// How long a team that asks for nothing still counts in the sum of shares.
    pub idle_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            target: Duration::from_millis(80),
            plain_target: Duration::from_millis(8),
            interval: Duration::from_millis(250),
            initial: 256.0,
            plain_initial: 64.0,
            min: 4.0,
            max: 100_000.0,
            shrink: 0.2,
            grow: 0.03,
            new_part: 0.8,
            turn_part: 1.5,
            contended: 0.7,
            idle_after: Duration::from_secs(2),
        }
    }
}

/// Admission of one entry.
#[derive(Debug)]
pub struct Controller {
    options: Options,
    turns: Limit,
    plain: Limit,
    teams: HashMap<id::TeamId, Team>,
    shares: f64,
    swept: Duration,
}

/// One team's calls in flight.
#[derive(Debug)]
struct Team {
    share: f64,
    turns: u32,
    plain: u32,
    seen: Duration,
}

impl Controller {
    /// Admission with nothing in flight.
    pub fn new(options: Options) -> Self {
        Self {
            turns: Limit::new(options.initial, options.target),
            plain: Limit::new(options.plain_initial, options.plain_target),
            teams: HashMap::new(),
            shares: 0.0,
            swept: Duration::ZERO,
            options,
        }
    }

    /// Decides whether `req` may start now.
    pub fn decide(&mut self, now: Duration, req: &Request) -> Outcome {
        self.adapt(now);
        self.seen(now, req);
        let expected = self.limit(req.lane).delay;
        if expected > req.deadline {
            return self.refuse(error::Kind::DeadlineUnmeetable, req.lane);
        }
        let bound = self.bound(req.lane);
        let in_flight = f64::from(self.limit(req.lane).in_flight);
        if in_flight >= bound {
            return self.refuse(error::Kind::Overloaded, req.lane);
        }
        if in_flight >= bound * self.options.contended && !self.has_share_left(req, bound) {
            return self.refuse(error::Kind::ShareExceeded, req.lane);
        }
        Outcome::Admitted
    }

    /// An admitted call starts.
    pub fn started(&mut self, now: Duration, lane: Lane, team: &id::TeamId) {
        self.limit_mut(lane).start();
        let Some(team) = self.teams.get_mut(team) else {
            return;
        };
        team.seen = now;
        let held = team.held_mut(lane);
        *held = held.saturating_add(1);
    }

    /// A started call ended, after losing `queue_delay` to other calls: its wait in queues, and,
    /// where the caller of this knows it, the prefill of history that had been cached before.
    /// The latter makes the limit answer to engines whose cache is too small for the programs
    /// under way as well. Every started call must be reported, however it ended.
    pub fn finished(
        &mut self,
        now: Duration,
        lane: Lane,
        team: &id::TeamId,
        queue_delay: Duration,
    ) {
        let limit = self.limit_mut(lane);
        limit.in_flight = limit.in_flight.saturating_sub(1);
        limit.observe(queue_delay);
        if let Some(team) = self.teams.get_mut(team) {
            let held = team.held_mut(lane);
            *held = held.saturating_sub(1);
        }
        self.adapt(now);
    }

    /// A queueing delay of turns learnt otherwise, such as from a side's load report.
    pub fn observe(&mut self, delay: Duration) {
        self.turns.observe(delay);
    }

    /// Turns that may be in flight at present.
    pub fn turn_limit(&self) -> f64 {
        self.turns.limit
    }

    /// Plain requests that may be in flight at present.
    pub fn plain_limit(&self) -> f64 {
        self.plain.limit
    }

    fn limit(&self, lane: Lane) -> &Limit {
        match lane {
            Lane::Plain => &self.plain,
            Lane::Turn | Lane::NewProgram => &self.turns,
        }
    }

    fn limit_mut(&mut self, lane: Lane) -> &mut Limit {
        match lane {
            Lane::Plain => &mut self.plain,
            Lane::Turn | Lane::NewProgram => &mut self.turns,
        }
    }

    fn bound(&self, lane: Lane) -> f64 {
        let part = match lane {
            Lane::Plain => 1.0,
            Lane::Turn => self.options.turn_part,
            Lane::NewProgram => self.options.new_part,
        };
        self.limit(lane).limit * part
    }

    fn has_share_left(&self, req: &Request, bound: f64) -> bool {
        let Some(team) = self.teams.get(&req.team) else {
            return true;
        };
        let fair = bound * team.share / self.shares.max(team.share);
        f64::from(team.held(req.lane)) < fair.max(1.0)
    }

    fn refuse(&self, kind: error::Kind, lane: Lane) -> Outcome {
        let limit = self.limit(lane);
        Outcome::Refused {
            kind,
            retry_after: limit.delay.max(self.options.interval),
        }
    }

    fn seen(&mut self, now: Duration, req: &Request) {
        if let Some(team) = self.teams.get_mut(&req.team) {
            team.seen = now;
            self.shares += req.share - team.share;
            team.share = req.share;
            return;
        }
        self.shares += req.share;
        let team = Team {
            share: req.share,
            turns: 0,
            plain: 0,
            seen: now,
        };
        self.teams.insert(req.team.clone(), team);
    }

    fn adapt(&mut self, now: Duration) {
        let options = &self.options;
        self.turns.adapt(now, options);
        self.plain.adapt(now, options);
        if now >= self.swept + options.idle_after {
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Duration) {
        self.swept = now;
        let idle_after = self.options.idle_after;
        self.teams.retain(|_, team| {
            let idle = team.turns == 0 && team.plain == 0;
            !idle || now < team.seen + idle_after
        });
        // Summing afresh keeps rounding errors of the running sum from piling up.
        self.shares = self.teams.values().map(|team| team.share).sum();
    }
}

impl Team {
    fn held(&self, lane: Lane) -> u32 {
        match lane {
            Lane::Plain => self.plain,
            Lane::Turn | Lane::NewProgram => self.turns,
        }
    }

    fn held_mut(&mut self, lane: Lane) -> &mut u32 {
        match lane {
            Lane::Plain => &mut self.plain,
            Lane::Turn | Lane::NewProgram => &mut self.turns,
        }
    }
}

/// Part of what may be used at which a limit counts as in use.
const IN_USE: f64 = 0.9;

/// A limit on calls in flight that follows their queueing delay.
#[derive(Debug)]
struct Limit {
    limit: f64,
    target: Duration,
    in_flight: u32,
    /// Most in flight during the present interval.
    peak: u32,
    /// Mean delay, smoothed over intervals.
    delay: Duration,
    sum: Duration,
    count: u32,
    adapted: Duration,
}

impl Limit {
    fn new(limit: f64, target: Duration) -> Self {
        Self {
            limit,
            target,
            in_flight: 0,
            peak: 0,
            delay: Duration::ZERO,
            sum: Duration::ZERO,
            count: 0,
            adapted: Duration::ZERO,
        }
    }

    fn start(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    fn observe(&mut self, delay: Duration) {
        self.sum = self.sum.saturating_add(delay);
        self.count += 1;
    }

    fn adapt(&mut self, now: Duration, options: &Options) {
        if now < self.adapted + options.interval {
            return;
        }
        self.adapted = now;
        let peak = std::mem::replace(&mut self.peak, self.in_flight);
        if self.count == 0 {
            // Nothing finished: no news. An idle lane must not keep refusing on an old delay.
            if self.in_flight == 0 {
                self.delay = Duration::ZERO;
            }
            return;
        }
        let mean = self.sum / self.count;
        self.sum = Duration::ZERO;
        self.count = 0;
        let smoothed = ewma(self.delay.as_secs_f64(), mean.as_secs_f64(), 0.5);
        self.delay = Duration::from_secs_f64(smoothed);
        self.limit = self.next(peak, options).clamp(options.min, options.max);
    }

    fn next(&self, peak: u32, options: &Options) -> f64 {
        let excess = self.delay.as_secs_f64() / self.target.as_secs_f64();
        if excess > 1.0 {
            let shrink = ((excess - 1.0) * options.shrink).min(options.shrink);
            // From what is in use, so that a limit that was never reached bites at once.
            return self.limit.min(f64::from(peak)) * (1.0 - shrink);
        }
        // Teams above their share leave this much to the others.
        let held_to = self.limit * options.new_part * options.contended;
        let in_use = f64::from(peak) >= held_to * IN_USE;
        if in_use {
            self.limit + (self.limit * options.grow).max(1.0)
        } else {
            self.limit
        }
    }
}
