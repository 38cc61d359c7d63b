//! The event loop: callers, entries, sides and engines under one policy.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use fw_plan::health;
use fw_plan::place;
use fw_plan::retry;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::engine;
use super::plain;
use super::policy;
use super::side;
use super::stats;
use super::trace;

mod callers;
mod entries;
mod plains;
mod sides;

/// One-way delay between any two processes.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Time that plain requests run before they are measured.
const PLAIN_WARM: Duration = Duration::from_secs(20);
/// Interval of the sides' load reports.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// How long a caller waits for one turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts by the caller of a new program before it gives up.
const MAX_TRIES: u32 = 3;
/// Fraction of the attempts that fail in the engine.
pub const FAILURE_RATE: f64 = 0.002;
/// Fraction of the cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.05;
/// Entries of each user.
pub const ENTRIES: usize = 3;
/// Attempts of one call if there is no retry budget.
const MAX_UNBUDGETED_ATTEMPTS: u32 = 10;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub shape: trace::Shape,
    pub policy: policy::Policy,
    /// Programs, in order of arrival.
    pub programs: Vec<trace::Spec>,
    /// Load of plain requests as a multiple of what their upstreams can serve.
    pub plain_load: f64,
    pub seed: u64,
    /// Start of the measurement: counts are taken from here to `end`, latencies of the programs
    /// that arrive from here
    pub measure_from: Duration,
    /// until here.
    pub last_arrival: Duration,
    pub end: Duration,
    /// Faults of engines and when they occur.
    pub script: Vec<(Duration, Fault)>,
}

/// A change in an engine's condition.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The engine's steps take this many times as long from now on.
    Slow(usize, f64),
    Crash(usize),
    Up(usize),
    /// This fraction of the attempts fails in the engines from now on.
    FailureRate(f64),
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Submit(usize),
    Deliver(u64),
    Step(usize),
    Answer(u64, Duration, Option<engine::FinishedJob>),
    Failed(u64, fw_plan::Refusal),
    Retry(u64),
    Expire(usize, usize),
    Report(usize),
    Load(usize, place::Load),
    CacheChange(usize, usize, id::Tokens),
    PlainArrive,
    PlainDeliver(plain::Request),
    PlainDone(plain::Request),
    PlainAnswer(plain::Request),
    Apply(Fault),
}

struct Entry {
    admit: admit::Controller,
    view: place::View,
    plain_view: place::View,
    budget: retry::Budget,
    health: health::Health,
    outstanding: Vec<u32>,
    plain_outstanding: Vec<u32>,
    next_round_robin: usize,
}

struct Program {
    id: id::ProgramId,
    entry: usize,
    team: usize,
    turns: Vec<trace::Turn>,
    parent: Option<usize>,
    at: Duration,
    /// Tool pauses so far.
    paused: Duration,
    turn: usize,
    history: id::Tokens,
    attained: Duration,
    /// When the current turn was first sent.
    requested_at: Duration,
    tries: u32,
    started: bool,
    attempt: Option<u64>,
    last_upstream: Option<usize>,
    is_done: bool,
}

struct Attempt {
    program: usize,
    upstream: usize,
    number: u32,
    lane: admit::Lane,
    arrived: Duration,
    is_done: bool,
}

pub struct World {
    setup: Setup,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    rng: Pcg64,
    entries: Vec<Entry>,
    sides: Vec<side::Side>,
    plain_upstreams: Vec<plain::Upstream>,
    names: Vec<id::UpstreamId>,
    teams: Vec<id::TeamId>,
    place: id::PlaceId,
    programs: Vec<Program>,
    attempts: Vec<Attempt>,
    failure_rate: f64,
    stats: stats::Stats,
}

/// Runs one setup to its end.
pub fn run(setup: Setup) -> stats::Stats {
    let mut world = World::new(setup);
    world.start();
    while let Some(((at, _), event)) = world.events.pop_first() {
        if at > world.setup.end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.now = world.setup.end;
    world.count_unfinished();
    world.stats
}

impl World {
    fn new(setup: Setup) -> Self {
        let shape = &setup.shape;
        let name = |index| format!("upstream-{index}").into();
        let names: Vec<id::UpstreamId> = (0..shape.engines.max(shape.plain)).map(name).collect();
        let place: id::PlaceId = "place-a".into();
        let policy = &setup.policy;
        let entry = |_| Entry::new(shape, policy, &names, &place);
        let teams = |index| format!("team-{index}").into();
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            sides: (0..shape.engines)
                .map(|_| side::Side::new(policy.queue.clone()))
                .collect(),
            plain_upstreams: (0..shape.plain)
                .map(|_| plain::Upstream::default())
                .collect(),
            teams: (0..shape.teams).map(teams).collect(),
            stats: stats::Stats::new(shape.teams, shape.engines),
            rng: Pcg64::seed_from_u64(setup.seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            seq: 0,
            names,
            place,
            programs: Vec::new(),
            attempts: Vec::new(),
            failure_rate: FAILURE_RATE,
            setup,
        }
    }

    fn start(&mut self) {
        for engine in 0..self.sides.len().max(self.plain_upstreams.len()) {
            // Reports of different sides are staggered.
            self.schedule(
                HEARTBEAT.mul_f64(engine as f64 / 9.0),
                Event::Report(engine),
            );
        }
        for (at, fault) in self.setup.script.clone() {
            self.schedule(at, Event::Apply(fault));
        }
        if let Some(first) = self.setup.programs.first() {
            self.schedule(first.at, Event::Arrive(0));
        }
        if self.setup.plain_load > 0.0 {
            let first = self.setup.measure_from.saturating_sub(PLAIN_WARM);
            self.schedule(first, Event::PlainArrive);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), event);
    }

    fn is_measured(&self) -> bool {
        self.now >= self.setup.measure_from
    }

    fn in_cohort(&self, program: &Program) -> bool {
        program.parent.is_none()
            && (self.setup.measure_from..self.setup.last_arrival).contains(&program.at)
    }

    /// Records the programs that are still running with their latency so far. Leaving them out
    /// would make a policy look better the longer its queues grow.
    fn count_unfinished(&mut self) {
        self.stats.measured_time = self.setup.end - self.setup.measure_from;
        let left = self.programs.iter().filter(|program| !program.is_done);
        let left = left.filter(|program| self.in_cohort(program));
        let left: Vec<_> = left.map(|program| (program.at, program.paused)).collect();
        for (at, paused) in left {
            let latency = self.now - at;
            self.stats
                .record_program(latency, latency.saturating_sub(paused));
            self.stats.unfinished += 1;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Submit(program) => self.submit(program),
            Event::Deliver(attempt) => self.deliver(attempt),
            Event::Step(engine) => self.step(engine),
            Event::Answer(attempt, waited, finished) => self.answer(attempt, waited, finished),
            Event::Failed(attempt, refused) => self.failed(attempt, refused),
            Event::Retry(attempt) => self.retry(attempt),
            Event::Expire(program, turn) => self.expire(program, turn),
            Event::Report(engine) => self.send_report(engine),
            Event::Load(engine, load) => self.deliver_load(engine, load),
            Event::CacheChange(engine, program, tokens) => {
                self.deliver_cache_change(engine, program, tokens)
            }
            Event::PlainArrive => self.plain_arrive(),
            Event::PlainDeliver(req) => self.plain_deliver(req),
            Event::PlainDone(req) => self.plain_done(req),
            Event::PlainAnswer(req) => self.plain_answer(&req),
            Event::Apply(fault) => self.apply(fault),
        }
    }
}

impl Entry {
    fn new(
        shape: &trace::Shape,
        policy: &policy::Policy,
        names: &[id::UpstreamId],
        place: &id::PlaceId,
    ) -> Self {
        let view = |count: usize| {
            let mut view = place::View::new();
            for name in &names[..count] {
                view.add(name, place);
            }
            view
        };
        let mut health = health::Health::new(health::Options::default());
        let listed = |name: &id::UpstreamId| health::ListedUpstream {
            upstream: name.clone(),
            leaving: false,
        };
        let list: Vec<_> = names[..shape.engines].iter().map(listed).collect();
        health.update_list(Duration::ZERO, &list);
        Self {
            admit: admit::Controller::new(policy.admit.clone()),
            view: view(shape.engines),
            plain_view: view(shape.plain),
            budget: retry::Budget::new(policy.retry.clone()),
            health,
            outstanding: vec![0; shape.engines],
            plain_outstanding: vec![0; shape.plain],
            next_round_robin: 0,
        }
    }
}

impl Program {
    fn prompt(&self) -> id::Tokens {
        self.history + self.turns[self.turn].input
    }
}

fn crash_refusal() -> fw_plan::Refusal {
    fw_plan::Refusal {
        kind: error::Kind::UpstreamCrashed,
        retry_after: Duration::from_millis(100),
    }
}
