//! Whether a program begins: limits by load, stretch, urgency and fair share, and the time at which
//! a refused caller returns.
//!
//! *Load pattern:* a burst of less urgent programs, in part from one team, fills the engines. Each
//! program that begins sends several calls, and all calls slow each other down.
//!
//! *Without it:* programs begin until the slots are taken. Calls take twice their time long before
//! that, so nearly all programs are late, urgent ones too, and refusals fall on all teams. Refused
//! callers return at random times, compete with those who come for the first time, and are refused
//! up to ten times.
//!
//! *Rule:* a program begins while the load is below a limit. The limit is the load at which the
//! program would just end in time: its time left implies how much longer its calls may take, and
//! the present load and stretch imply the load for that. It is lower for less urgent programs and
//! for teams above their fair share, and higher for callers who return. Below
//! [`Options::free_load`] every program begins. A refused caller is told to return when the excess
//! has drained and the callers refused before it have had their turn.
//!
//! *Grounds:* the stretch follows the load with the delay of a few calls, while the load follows
//! the programs that begin at once. A limit on the load set by the stretch therefore settles, where
//! a limit on the stretch alone would admit too many and then none. The stretch grows faster than
//! the load, so its excess is taken to grow with the square. [`Options`] gives the figures.

use std::time::Duration;

use crate::{share, stretch, wait_queue};

/// Limits for programs that begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Calls a slot below which every program begins.
    pub free_load: f64,
    /// Least limit, whatever the stretch, for the usual programs: somewhat above
    /// [`Options::free_load`], so that urgency and shares still count when the engines are slow.
    pub min_load: f64,
    /// Calls a slot at which no program begins, whatever the stretch. Programs under way send
    /// further calls.
    pub max_load: f64,
    /// Time after which a program is due, relative to its time on idle engines: the middle of the
    /// 1.3 to 1.6 times that callers allow.
    pub due_factor: f64,
    /// Time that callers allow in addition: near the least of their 200 to 500 ms.
    pub due_allowance: Duration,
    /// Part of the stretch that the due time allows up to which programs begin: the rest is for the
    /// time in which the programs that begin now make themselves felt, and for the spread among
    /// programs.
    pub due_margin: f64,
    /// Stretch that is allowed to a program which states no time.
    pub default_stretch: f64,
    /// Factor of the limit for the most urgent programs of the most urgent teams.
    pub urgent_factor: f64,
    /// Reduction of that factor for each step of the team's priority: more than for all steps of
    /// the route's.
    pub team_step: f64,
    /// The same for each step of the route's priority.
    pub route_step: f64,
    /// Reduction of the factor for a team that uses twice its share or more. Small, as the room
    /// kept for other teams is idle while they send nothing.
    pub excess_reduction: f64,
    /// Increase of the factor for a caller that returns, at the end of its time. After two refusals it
    /// is about two steps of the route's priority.
    pub return_gain: f64,
    /// Shortest time to return: a turn that is served within its objective of 250 to 500 ms after
    /// one quick refusal keeps most of its worth.
    pub min_retry_after: Duration,
    /// Longest time to return: a third of the three seconds that callers have.
    pub max_retry_after: Duration,
    /// Time in which the calls of the programs under way are replaced by those of others, if a
    /// program states no time.
    pub drain_time: Duration,
    /// How the stretch is measured.
    pub stretch: stretch::Options,
    /// How use and share are compared.
    pub share: share::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            free_load: 0.5,
            min_load: 0.55,
            max_load: 1.2,
            due_factor: 1.4,
            due_allowance: Duration::from_millis(250),
            due_margin: 0.6,
            default_stretch: 1.6,
            urgent_factor: 1.16,
            team_step: 0.16,
            route_step: 0.05,
            excess_reduction: 0.2,
            return_gain: 0.15,
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(1),
            drain_time: Duration::from_millis(1_500),
            stretch: stretch::Options::default(),
            share: share::Options::default(),
        }
    }
}

/// A program that is to begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Urgency, by [`wait_queue::level`].
    pub level: u32,
    /// Time until the program is due, if it is known.
    pub time_left: Option<Duration>,
    /// The team's use and share, if they are known.
    pub standing: Option<share::Standing>,
    /// Part of the time for the request that had passed when it arrived: above zero for a caller
    /// that returns after a refusal.
    pub waited: f64,
    /// Time that the caller has left for the request.
    pub deadline: Option<Duration>,
}

/// The upstreams of a service at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// Slots in all.
    pub slots: f64,
    /// Calls in flight or waiting.
    pub load: f64,
}

/// Why a program may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Calls fill the slots.
    Load,
    /// Calls take too long for the program to be in time.
    Stretch,
    /// Its team uses more than its share.
    Share,
    /// Its time left is shorter than a single call.
    Late,
}

impl Reason {
    /// Value of the metric label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Stretch => "stretch",
            Self::Share => "share",
            Self::Late => "late",
        }
    }
}

/// A refusal, with the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Calls a slot.
    pub load: f64,
    /// Calls a slot from which on the program may not begin.
    pub limit: f64,
    /// How many times longer calls take than on an idle engine.
    pub stretch: f64,
    /// Time after which the caller is to return.
    pub retry_after: Duration,
}

impl Options {
    /// Stretch with which a program that has `time_left` is still in time.
    pub fn allowed_stretch(&self, time_left: Option<Duration>) -> f64 {
        let Some(left) = time_left else {
            return self.default_stretch;
        };
        let idle = left.saturating_sub(self.due_allowance).as_secs_f64() / self.due_factor;
        // A program of so short a time that the allowance dominates may take twice as long.
        (left.as_secs_f64() / idle.max(f64::MIN_POSITIVE)).clamp(1.0, 2.0)
    }

    /// Calls a slot at which the stretch is expected to be `allowed`, if it is `ratio` at `load`.
    fn load_for(&self, allowed: f64, ratio: f64, load: f64) -> f64 {
        let load = load.min(self.max_load);
        let excess = (ratio - 1.0) / (allowed - 1.0).max(0.01);
        if excess <= 1.0 {
            // At a low load, chance and prefill alone stretch some calls, which says little about
            // the load that is possible.
            self.max_load - (self.max_load - load) * excess * excess
        } else {
            load / excess.sqrt()
        }
    }

    /// Factor of the limit by urgency and earlier refusals.
    fn factor(&self, req: &Request) -> f64 {
        let (team, route) = wait_queue::split_level(req.level);
        let steps = self.team_step * f64::from(team) + self.route_step * f64::from(route);
        self.urgent_factor - steps + self.return_gain * req.waited.clamp(0.0, 1.0)
    }
}

/// Decides which programs of a service begin at one entry.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// How much longer calls take than on an idle engine.
    pub stretch: stretch::Stretch,
    returns: Returns,
}

impl Admission {
    /// Decides about `req` at `now`; `draw` is uniform in `0.0..1.0`.
    ///
    /// # Errors
    ///
    /// The refusal, when the program may not begin.
    pub fn decide(
        &mut self,
        opts: &Options,
        state: &State,
        req: &Request,
        now: Duration,
        draw: f64,
    ) -> Result<(), Refusal> {
        let load = state.load / state.slots.max(1.0);
        self.stretch.note_load(&opts.stretch, load, now);
        let stretch = self.stretch.ratio(&opts.stretch, now);
        let (limit, reason) = self.limit(opts, req, load, stretch);
        // The limit is never below `free_load`.
        if load < limit && state.slots > 0.0 {
            self.returns.note_begin(now);
            return Ok(());
        }
        // Programs under way end within about the time that this one would take.
        let drain = req.time_left.unwrap_or(opts.drain_time);
        let room = drain.mul_f64((1.0 - limit / load.max(limit)).clamp(0.0, 1.0));
        let last = req.deadline.map_or(opts.max_retry_after, |left| left / 3);
        let bounds = (opts.min_retry_after, last.min(opts.max_retry_after));
        Err(Refusal {
            reason: if state.slots > 0.0 {
                reason
            } else {
                Reason::Load
            },
            load,
            limit,
            stretch,
            retry_after: self.returns.refuse(req.level, room, bounds, now, draw),
        })
    }

    /// The load from which on the program may not begin, and why it is refused at `load`.
    fn limit(&self, opts: &Options, req: &Request, load: f64, stretch: f64) -> (f64, Reason) {
        let idle_call = self.stretch.idle_call();
        if req.time_left.is_some_and(|left| left < idle_call) {
            return (opts.free_load, Reason::Late);
        }
        let allowed = 1.0 + (opts.allowed_stretch(req.time_left) - 1.0) * opts.due_margin;
        let base = opts.load_for(allowed, stretch, self.stretch.load());
        let standing = req.standing.unwrap_or_default();
        let excess = standing.excess(&opts.share).min(1.0);
        let open = (base.max(opts.min_load) * opts.factor(req)).max(opts.free_load);
        let limit = (open * (1.0 - opts.excess_reduction * excess)).max(opts.free_load);
        let reason = if load < open {
            Reason::Share
        } else if load < opts.max_load * opts.factor(req) {
            Reason::Stretch
        } else {
            Reason::Load
        };
        (limit, reason)
    }
}

/// Period over which programs that begin are counted.
const BEGIN_MEMORY: Duration = Duration::from_secs(1);
/// Least rate at which returns are spread, in programs a second: with none beginning, one entry of
/// twenty may still expect one or two.
const MIN_BEGIN_RATE: f64 = 2.0;

/// Spreads the returns of refused callers at the rate at which programs begin.
#[derive(Clone, Copy, Debug, Default)]
struct Returns {
    /// Programs that began, with a weight that falls with age.
    begun: f64,
    updated_at: Duration,
    /// Time after the last return that was given, by level.
    next_at: [Duration; wait_queue::LEVELS],
}

impl Returns {
    fn begin_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let begun = self.begun * (-age.div_duration_f64(BEGIN_MEMORY)).exp();
        begun / BEGIN_MEMORY.as_secs_f64()
    }

    fn note_begin(&mut self, now: Duration) {
        self.begun = self.begin_rate(now) * BEGIN_MEMORY.as_secs_f64() + 1.0;
        self.updated_at = now;
    }

    /// Time after which a caller of `level` returns that finds room after `room` at the earliest,
    /// within `bounds`. It returns after those of its level and of more urgent ones that were
    /// refused before it.
    fn refuse(
        &mut self,
        level: u32,
        room: Duration,
        bounds: (Duration, Duration),
        now: Duration,
        draw: f64,
    ) -> Duration {
        let (min, max) = bounds;
        let gap = Duration::from_secs_f64(1.0 / self.begin_rate(now).max(MIN_BEGIN_RATE));
        let level = (level as usize).min(wait_queue::LEVELS - 1);
        let earlier = self.next_at[..=level].iter().max().copied();
        let at = earlier.unwrap_or_default().max(now + room.max(min));
        let after = at.saturating_sub(now) + gap.mul_f64(draw);
        if after >= max {
            // More callers are to return than may begin by then.
            return max.mul_f64(0.5 + 0.5 * draw);
        }
        self.next_at[level] = at + gap;
        after
    }
}
