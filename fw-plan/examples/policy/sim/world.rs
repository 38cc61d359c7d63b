//! The loop: callers, entries, sides and engines under one policy.

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
const NET: Duration = Duration::from_micros(500);
/// How long plain requests run before they are measured.
const PLAIN_WARM: Duration = Duration::from_secs(20);
/// How often sides report.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// How long a caller waits for one turn.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often the caller of a new program tries.
const TRIES: u32 = 3;
/// Part of the attempts that fail in the engine.
pub const FAILS: f64 = 0.002;
/// Part of the cache events that are lost.
const CACHE_GAPS: f64 = 0.05;
/// Entries of each user.
pub const ENTRIES: usize = 3;
/// Attempts of one call without a retry budget.
const MAX_INTERNAL_RETRIES: u32 = 10;

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub shape: trace::Shape,
    pub policy: policy::Policy,
    /// Programs, in order of arrival.
    pub programs: Vec<trace::Spec>,
    /// Plain requests as a multiple of what their upstreams can serve.
    pub plain_load: f64,
    pub seed: u64,
    /// Counts are taken from here to the end, latencies of the programs that arrive from here
    pub warm: Duration,
    /// to here.
    pub last: Duration,
    pub end: Duration,
    /// What happens to engines, and when.
    pub script: Vec<(Duration, Action)>,
}

/// Something that happens to an engine.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Its steps take so many times as long from now on.
    Slow(usize, f64),
    Crash(usize),
    Up(usize),
    /// This part of the attempts fails in the engine from now on.
    Fails(f64),
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Submit(usize),
    Reach(u64),
    Step(usize),
    Answer(u64, Duration, Option<engine::Left>),
    Failed(u64, fw_plan::Refusal),
    Again(u64),
    Expire(usize, usize),
    Report(usize),
    Load(usize, place::Load),
    Cached(usize, usize, id::Tokens),
    PlainArrive,
    PlainReach(plain::Request),
    PlainDone(plain::Request),
    PlainAnswer(plain::Request),
    Act(Action),
}

struct Entry {
    admit: admit::Controller,
    view: place::View,
    plain: place::View,
    budget: retry::Budget,
    health: health::Health,
    outstanding: Vec<u32>,
    plain_outstanding: Vec<u32>,
    turn_about: usize,
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
    /// When the present turn was first sent.
    asked: Duration,
    tries: u32,
    started: bool,
    attempt: Option<u64>,
    last: Option<usize>,
    over: bool,
}

struct Attempt {
    program: usize,
    upstream: usize,
    number: u32,
    lane: admit::Lane,
    arrived: Duration,
    over: bool,
}

pub struct World {
    setup: Setup,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    rng: Pcg64,
    entries: Vec<Entry>,
    sides: Vec<side::Side>,
    plains: Vec<plain::Upstream>,
    names: Vec<id::UpstreamId>,
    teams: Vec<id::TeamId>,
    place: id::PlaceId,
    programs: Vec<Program>,
    attempts: Vec<Attempt>,
    fails: f64,
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
            plains: (0..shape.plain)
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
            fails: FAILS,
            setup,
        }
    }

    fn start(&mut self) {
        for engine in 0..self.sides.len().max(self.plains.len()) {
            // Reports of different sides do not come together.
            self.after(
                HEARTBEAT.mul_f64(engine as f64 / 9.0),
                Event::Report(engine),
            );
        }
        for (at, action) in self.setup.script.clone() {
            self.after(at, Event::Act(action));
        }
        if let Some(first) = self.setup.programs.first() {
            self.after(first.at, Event::Arrive(0));
        }
        if self.setup.plain_load > 0.0 {
            let first = self.setup.warm.saturating_sub(PLAIN_WARM);
            self.after(first, Event::PlainArrive);
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), event);
    }

    fn measured(&self) -> bool {
        self.now >= self.setup.warm
    }

    fn in_cohort(&self, program: &Program) -> bool {
        program.parent.is_none() && (self.setup.warm..self.setup.last).contains(&program.at)
    }

    /// A program that is still under way took at least as long as until now: leaving it out
    /// would make a policy look the better the longer its queues grow.
    fn count_unfinished(&mut self) {
        self.stats.measured = self.setup.end - self.setup.warm;
        let left = self.programs.iter().filter(|program| !program.over);
        let left = left.filter(|program| self.in_cohort(program));
        let left: Vec<_> = left.map(|program| (program.at, program.paused)).collect();
        for (at, paused) in left {
            let latency = self.now - at;
            self.stats.took(latency, latency.saturating_sub(paused));
            self.stats.unfinished += 1;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Submit(program) => self.submit(program),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Step(engine) => self.step(engine),
            Event::Answer(attempt, waited, left) => self.answer(attempt, waited, left),
            Event::Failed(attempt, refused) => self.failed(attempt, refused),
            Event::Again(attempt) => self.again(attempt),
            Event::Expire(program, turn) => self.expire(program, turn),
            Event::Report(engine) => self.report(engine),
            Event::Load(engine, load) => self.load(engine, load),
            Event::Cached(engine, program, tokens) => self.cached(engine, program, tokens),
            Event::PlainArrive => self.plain_arrive(),
            Event::PlainReach(req) => self.plain_reach(req),
            Event::PlainDone(req) => self.plain_done(req),
            Event::PlainAnswer(req) => self.plain_answer(&req),
            Event::Act(action) => self.act(action),
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
            plain: view(shape.plain),
            budget: retry::Budget::new(policy.retry.clone()),
            health,
            outstanding: vec![0; shape.engines],
            plain_outstanding: vec![0; shape.plain],
            turn_about: 0,
        }
    }
}

impl Program {
    fn prompt(&self) -> id::Tokens {
        self.history + self.turns[self.turn].input
    }
}

fn crashed() -> fw_plan::Refusal {
    fw_plan::Refusal {
        kind: error::Kind::UpstreamCrashed,
        retry_after: Duration::from_millis(100),
    }
}
