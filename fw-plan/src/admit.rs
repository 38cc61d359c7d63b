//! Admission control at the entry: decides whether a call may start.
//!
//! *Load pattern:* for minutes, more programs arrive than the engines can finish, often most of
//! them from one team, while plain requests continue beside them.
//!
//! *Without it:* every program is accepted and each turn waits behind all others. Nothing finishes
//! before its caller gives up, and the engine time of abandoned programs is lost. A fixed limit on
//! calls in flight has the same effect whenever the engines are slower than when the limit was set.
//!
//! *Rule:* the limit on turns in flight follows the queueing delay that finished turns report.
//! While the mean delay exceeds the target, the limit shrinks in proportion to the excess, by at
//! most [`Options::shrink`] per interval; otherwise it grows if it is in use. New programs may use
//! only a fraction of the limit. Turns of running programs may exceed it to some extent, because
//! refusing one discards the work of the turns before it. Plain requests have a limit of their own,
//! adapted in the same way to their own delays. Once a lane is nearly full, a team that holds more
//! than its weighted share is refused in favour of the others; below that point, any team may use
//! idle capacity.
//!
//! *Grounds:* `docs/POLICY.md` has the parameter sweep behind the target and the fractions.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;

use crate::ewma;

/// Class of a call, which selects the limit that applies to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// A plain request: not part of a program.
    Plain,
    /// A turn of a program that has committed turns.
    Turn,
    /// The first turn of a program.
    NewProgram,
}

/// A call to be admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Class of the call.
    pub lane: Lane,
    /// The team.
    pub team: id::TeamId,
    /// Weight of the team's share relative to other teams; 1.0 by default.
    pub share: f64,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
}

/// Result of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call may start. Report its start with [`Controller::started`] and its end with
    /// [`Controller::finished`].
    Admitted,
    /// The call is refused and does not run.
    Refused {
        /// Reason for the refusal.
        kind: error::Kind,
        /// Time after which a similar call is expected to be admitted.
        retry_after: Duration,
    },
}

/// Parameters of the adaptive limits.
#[derive(Clone, Debug)]
pub struct Options {
    /// Target for the mean queueing delay of turns.
    pub target: Duration,
    /// Target for the mean queueing delay of plain requests.
    pub plain_target: Duration,
    /// Interval at which the limits are adapted.
    pub interval: Duration,
    /// Initial limit on turns in flight.
    pub initial: f64,
    /// Initial limit on plain requests in flight.
    pub plain_initial: f64,
    /// Lower bound of both limits.
    pub min: f64,
    /// Upper bound of both limits.
    pub max: f64,
    /// Largest decrease of a limit per interval, as a fraction of it.
    pub shrink: f64,
    /// Increase of a limit per interval, as a fraction of it.
    pub grow: f64,
    /// Fraction of the limit that new programs may use.
    pub new_program_fraction: f64,
    /// Multiple of the limit up to which turns of running programs are admitted.
    pub turn_multiple: f64,
    /// Fraction of a lane's bound from which shares are enforced. The rest is reserved for teams
    /// within their share; it must exceed the random variation of the calls in flight, or a team
    /// that sends little is refused together with the one that fills the lane. Because the limit is
    /// adapted by delay, the reserve does not leave capacity unused.
    pub contention_threshold: f64,
    /// Time after which a team without calls no longer counts in the sum of shares.
    pub idle_timeout: Duration,
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
            new_program_fraction: 0.8,
            turn_multiple: 1.5,
            contention_threshold: 0.7,
            idle_timeout: Duration::from_secs(2),
        }
    }
}

/// Admission controller of one entry.
#[derive(Debug)]
pub struct Controller {
    options: Options,
    turns: Limit,
    plain: Limit,
    teams: HashMap<id::TeamId, Team>,
    total_share: f64,
    last_sweep: Duration,
}

/// One team's calls in flight.
#[derive(Debug)]
struct Team {
    share: f64,
    turns: u32,
    plain: u32,
    last_seen: Duration,
}

impl Controller {
    /// Creates a controller with no calls in flight.
    pub fn new(options: Options) -> Self {
        Self {
            turns: Limit::new(options.initial, options.target),
            plain: Limit::new(options.plain_initial, options.plain_target),
            teams: HashMap::new(),
            total_share: 0.0,
            last_sweep: Duration::ZERO,
            options,
        }
    }

    /// Decides whether `req` may start now.
    pub fn decide(&mut self, now: Duration, req: &Request) -> Outcome {
        self.adapt(now);
        self.track_team(now, req);
        let expected = self.limit(req.lane).delay;
        if expected > req.deadline {
            return self.refuse(error::Kind::DeadlineUnmeetable, req.lane);
        }
        let bound = self.bound(req.lane);
        let in_flight = f64::from(self.limit(req.lane).in_flight);
        if in_flight >= bound {
            return self.refuse(error::Kind::Overloaded, req.lane);
        }
        if in_flight >= bound * self.options.contention_threshold
            && !self.has_share_left(req, bound)
        {
            return self.refuse(error::Kind::ShareExceeded, req.lane);
        }
        Outcome::Admitted
    }

    /// Records that an admitted call has started.
    pub fn started(&mut self, now: Duration, lane: Lane, team: &id::TeamId) {
        self.limit_mut(lane).start();
        let Some(team) = self.teams.get_mut(team) else {
            return;
        };
        team.last_seen = now;
        let in_flight = team.in_flight_mut(lane);
        *in_flight = in_flight.saturating_add(1);
    }

    /// Records that a started call has ended. Every started call must be reported, however it
    /// ended.
    ///
    /// `queue_delay` is the time that the call lost to other calls: its wait in queues and, where
    /// the caller of this method knows it, the prefill of history that had been cached before.
    /// Including the latter makes the limit also respond to engines whose cache is too small for
    /// the running programs.
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
            let in_flight = team.in_flight_mut(lane);
            *in_flight = in_flight.saturating_sub(1);
        }
        self.adapt(now);
    }

    /// Records a queueing delay of turns from another source, such as a side's load report.
    pub fn observe(&mut self, delay: Duration) {
        self.turns.observe(delay);
    }

    /// Current limit on turns in flight.
    pub fn turn_limit(&self) -> f64 {
        self.turns.limit
    }

    /// Current limit on plain requests in flight.
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
            Lane::Turn => self.options.turn_multiple,
            Lane::NewProgram => self.options.new_program_fraction,
        };
        self.limit(lane).limit * part
    }

    fn has_share_left(&self, req: &Request, bound: f64) -> bool {
        let Some(team) = self.teams.get(&req.team) else {
            return true;
        };
        let fair = bound * team.share / self.total_share.max(team.share);
        f64::from(team.in_flight(req.lane)) < fair.max(1.0)
    }

    fn refuse(&self, kind: error::Kind, lane: Lane) -> Outcome {
        let limit = self.limit(lane);
        Outcome::Refused {
            kind,
            retry_after: limit.delay.max(self.options.interval),
        }
    }

    fn track_team(&mut self, now: Duration, req: &Request) {
        if let Some(team) = self.teams.get_mut(&req.team) {
            team.last_seen = now;
            self.total_share += req.share - team.share;
            team.share = req.share;
            return;
        }
        self.total_share += req.share;
        let team = Team {
            share: req.share,
            turns: 0,
            plain: 0,
            last_seen: now,
        };
        self.teams.insert(req.team.clone(), team);
    }

    fn adapt(&mut self, now: Duration) {
        let options = &self.options;
        self.turns.adapt(now, options);
        self.plain.adapt(now, options);
        if now >= self.last_sweep + options.idle_timeout {
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: Duration) {
        self.last_sweep = now;
        let idle_timeout = self.options.idle_timeout;
        self.teams.retain(|_, team| {
            let idle = team.turns == 0 && team.plain == 0;
            !idle || now < team.last_seen + idle_timeout
        });
        // Recomputing the sum keeps rounding errors from accumulating.
        self.total_share = self.teams.values().map(|team| team.share).sum();
    }
}

impl Team {
    fn in_flight(&self, lane: Lane) -> u32 {
        match lane {
            Lane::Plain => self.plain,
            Lane::Turn | Lane::NewProgram => self.turns,
        }
    }

    fn in_flight_mut(&mut self, lane: Lane) -> &mut u32 {
        match lane {
            Lane::Plain => &mut self.plain,
            Lane::Turn | Lane::NewProgram => &mut self.turns,
        }
    }
}

/// Fraction of the usable limit from which the limit counts as in use.
const IN_USE_FRACTION: f64 = 0.9;

/// A limit on calls in flight that follows their queueing delay.
#[derive(Debug)]
struct Limit {
    limit: f64,
    target: Duration,
    in_flight: u32,
    /// Maximum in flight during the current interval.
    peak: u32,
    /// Mean delay, smoothed over intervals.
    delay: Duration,
    delay_sum: Duration,
    delay_count: u32,
    last_adapted: Duration,
}

impl Limit {
    fn new(limit: f64, target: Duration) -> Self {
        Self {
            limit,
            target,
            in_flight: 0,
            peak: 0,
            delay: Duration::ZERO,
            delay_sum: Duration::ZERO,
            delay_count: 0,
            last_adapted: Duration::ZERO,
        }
    }

    fn start(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    fn observe(&mut self, delay: Duration) {
        self.delay_sum = self.delay_sum.saturating_add(delay);
        self.delay_count += 1;
    }

    fn adapt(&mut self, now: Duration, options: &Options) {
        if now < self.last_adapted + options.interval {
            return;
        }
        self.last_adapted = now;
        let peak = std::mem::replace(&mut self.peak, self.in_flight);
        if self.delay_count == 0 {
            // No call finished, so there is no new measurement. An idle lane must not keep refusing
            // calls because of an old delay.
            if self.in_flight == 0 {
                self.delay = Duration::ZERO;
            }
            return;
        }
        let mean = self.delay_sum / self.delay_count;
        self.delay_sum = Duration::ZERO;
        self.delay_count = 0;
        let smoothed = ewma(self.delay.as_secs_f64(), mean.as_secs_f64(), 0.5);
        self.delay = Duration::from_secs_f64(smoothed);
        self.limit = self
            .next_limit(peak, options)
            .clamp(options.min, options.max);
    }

    fn next_limit(&self, peak: u32, options: &Options) -> f64 {
        let excess = self.delay.as_secs_f64() / self.target.as_secs_f64();
        if excess > 1.0 {
            let shrink = ((excess - 1.0) * options.shrink).min(options.shrink);
            // Shrink from the concurrency in use, so that a limit that was never reached takes
            // effect at once.
            return self.limit.min(f64::from(peak)) * (1.0 - shrink);
        }
        // The rest is reserved for teams within their share.
        let usable = self.limit * options.new_program_fraction * options.contention_threshold;
        let in_use = f64::from(peak) >= usable * IN_USE_FRACTION;
        if in_use {
            self.limit + (self.limit * options.grow).max(1.0)
        } else {
            self.limit
        }
    }
}
