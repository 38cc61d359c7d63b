//! The loop: callers, entries, sides and engines under one policy.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use fw_plan::health;
use fw_plan::place;
use fw_plan::queue;
use fw_plan::retry;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::engine;
use super::plain;
use super::policy;
use super::side;
use super::stats;
use super::trace;

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
    Failed(u64, fw_plan::Refused),
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
    admit: admit::Admit,
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

    // Callers.

    fn arrive(&mut self, index: usize) {
        let spec = &self.setup.programs[index];
        let (team, turns) = (spec.team, spec.turns.clone());
        if let Some(next) = self.setup.programs.get(index + 1) {
            let event = Event::Arrive(index + 1);
            self.after(next.at - self.now, event);
        }
        self.program(team, turns, None);
    }

    fn program(&mut self, team: usize, turns: Vec<trace::Turn>, parent: Option<usize>) {
        let index = self.programs.len();
        let attained = parent.map_or(Duration::ZERO, |parent| self.programs[parent].attained);
        self.programs.push(Program {
            id: format!("program-{index}").into(),
            entry: index % ENTRIES,
            team,
            turns,
            parent,
            at: self.now,
            paused: Duration::ZERO,
            turn: 0,
            history: 0,
            attained,
            asked: self.now,
            tries: 0,
            started: false,
            attempt: None,
            last: None,
            over: false,
        });
        self.turn(index);
    }

    fn turn(&mut self, index: usize) {
        let program = &mut self.programs[index];
        program.asked = self.now;
        program.tries = 0;
        let turn = program.turn;
        self.after(PATIENCE, Event::Expire(index, turn));
        self.submit(index);
    }

    fn expire(&mut self, index: usize, turn: usize) {
        let program = &self.programs[index];
        if program.over || program.turn != turn || self.now < program.asked + PATIENCE {
            return;
        }
        if let Some(attempt) = program.attempt {
            self.cancel(attempt);
        }
        self.end(index, false);
    }

    fn refused(&mut self, index: usize, retry_after: Duration) {
        let (asked, tries) = {
            let program = &mut self.programs[index];
            program.tries += 1;
            (program.asked, program.tries)
        };
        let is_new = !self.programs[index].started && self.programs[index].parent.is_none();
        if self.measured() {
            let refusals = if is_new {
                &mut self.stats.new_refusals
            } else {
                &mut self.stats.turn_refusals
            };
            *refusals += 1;
        }
        if is_new && tries >= TRIES {
            return self.end(index, false);
        }
        let wait = retry_after.max(Duration::from_millis(100));
        let wait = wait.mul_f64(1.0 + self.rng.random::<f64>());
        if self.now + wait < asked + PATIENCE {
            self.after(wait, Event::Submit(index));
        }
    }

    fn end(&mut self, index: usize, finished: bool) {
        let measured = self.measured();
        let program = &mut self.programs[index];
        program.over = true;
        let (parent, team, last) = (program.parent, program.team, program.last);
        let (started, at, entry) = (program.started, program.at, program.entry);
        let (paused, turns) = (program.paused, program.turns.len());
        let id = program.id.clone();
        self.entries[entry].view.forget(&id);
        if let (Some(last), true) = (last, self.setup.policy.keep) {
            self.sides[last].forget(index);
        }
        if let Some(parent) = parent {
            self.programs[parent].paused += paused;
            if !self.programs[parent].over {
                self.turn(parent);
            }
            return;
        }
        if measured && finished {
            self.stats.finished += 1;
            self.stats.finished_turns += turns as u64;
            self.stats.finished_by_team[team] += 1;
        }
        if !self.in_cohort(&self.programs[index]) {
            return;
        }
        if finished {
            let latency = self.now - at;
            self.stats.took(latency, latency.saturating_sub(paused));
        } else if started {
            self.stats.lost += 1;
        } else {
            self.stats.refused += 1;
        }
    }

    // Entries.

    fn submit(&mut self, index: usize) {
        let program = &self.programs[index];
        if program.over || program.attempt.is_some() {
            return;
        }
        let lane = match (program.started, program.parent) {
            (false, None) => admit::Lane::NewProgram,
            _ => admit::Lane::Turn,
        };
        let req = admit::Request {
            lane,
            team: self.teams[program.team].clone(),
            share: 1.0,
            deadline: (program.asked + PATIENCE) - self.now,
        };
        let (entry, first) = (program.entry, program.tries == 0);
        if self.setup.policy.ordered {
            let outcome = self.entries[entry].admit.decide(self.now, &req);
            if let admit::Outcome::Refused { retry_after, .. } = outcome {
                return self.refused(index, retry_after);
            }
            let now = self.now;
            self.entries[entry].admit.started(now, lane, &req.team);
        }
        if first {
            self.entries[entry].budget.earn();
        }
        if self.measured() {
            self.stats.turns += 1;
        }
        self.attempts.push(Attempt {
            program: index,
            upstream: 0,
            number: 0,
            lane,
            arrived: self.now,
            over: false,
        });
        let attempt = self.attempts.len() as u64 - 1;
        self.programs[index].attempt = Some(attempt);
        self.dispatch(attempt, None);
    }

    fn dispatch(&mut self, attempt: u64, avoid: Option<usize>) {
        let index = self.attempts[attempt as usize].program;
        let Some((upstream, lacks)) = self.choose(index, avoid) else {
            let refused = fw_plan::Refused {
                kind: error::Kind::NoUpstream,
                retry_after: Duration::from_millis(500),
            };
            return self.after(NET, Event::Failed(attempt, refused));
        };
        let entry = &mut self.entries[self.programs[index].entry];
        entry.outstanding[upstream] += 1;
        entry.view.sent(&self.names[upstream], lacks, self.now);
        let record = &mut self.attempts[attempt as usize];
        record.upstream = upstream;
        record.number += 1;
        if self.measured() {
            self.stats.attempts += 1;
            self.stats.by_upstream[upstream] += 1;
        }
        self.after(NET, Event::Reach(attempt));
    }

    fn choose(&mut self, index: usize, avoid: Option<usize>) -> Option<(usize, id::Tokens)> {
        let program = &self.programs[index];
        let prompt = program.prompt();
        let entry = &mut self.entries[program.entry];
        let count = self.sides.len();
        let others = |upstream: &usize| Some(*upstream) != avoid;
        let fewest = |entry: &Entry| {
            (0..count)
                .filter(others)
                .min_by_key(|upstream| entry.outstanding[*upstream])
        };
        let upstream = match self.setup.policy.place {
            policy::Place::Random => Some(self.rng.random_range(0..count)),
            policy::Place::RoundRobin => {
                entry.turn_about += 1;
                Some(entry.turn_about % count)
            }
            policy::Place::Fewest => fewest(entry),
            policy::Place::CacheOnly => match (program.last, avoid) {
                (Some(last), None) => Some(last),
                _ => fewest(entry),
            },
            policy::Place::Blind | policy::Place::Delay => {
                let knows = self.setup.policy.place == policy::Place::Delay;
                let req = place::Request {
                    program: knows.then_some(&program.id),
                    prompt_tokens: prompt,
                    place: &self.place,
                    model: None,
                    avoid: avoid.map(|upstream| &self.names[upstream]),
                };
                let options = &self.setup.policy.choose;
                let outcome = place::choose(&entry.view, &req, options, &mut self.rng)?;
                let name = self.names.iter().position(|name| *name == outcome.upstream);
                return name.map(|upstream| (upstream, outcome.lacks));
            }
        };
        upstream.map(|upstream| (upstream, prompt))
    }

    fn settle(&mut self, attempt: u64, engine: Option<Duration>) {
        let record = &self.attempts[attempt as usize];
        let entry = &mut self.entries[self.programs[record.program].entry];
        entry.outstanding[record.upstream] -= 1;
        entry.view.settled(&self.names[record.upstream], engine);
    }

    fn finish(&mut self, attempt: u64, waited: Duration) {
        let record = &mut self.attempts[attempt as usize];
        record.over = true;
        let program = &mut self.programs[record.program];
        program.attempt = None;
        if self.setup.policy.ordered {
            let team = &self.teams[program.team];
            let admit = &mut self.entries[program.entry].admit;
            admit.finished(self.now, record.lane, team, waited);
        }
    }

    fn answer(&mut self, attempt: u64, waited: Duration, left: Option<engine::Left>) {
        if self.attempts[attempt as usize].over {
            return;
        }
        let Some(left) = left else { return };
        let (index, upstream) = {
            let record = &self.attempts[attempt as usize];
            (record.program, record.upstream)
        };
        let engine = (self.now - NET).saturating_sub(left.started);
        self.settle(attempt, Some(engine));
        let history = self.programs[index].history;
        let recomputed = history.saturating_sub(left.cached);
        let lost = recomputed as f64 * engine::PER_PREFILL_TOKEN;
        self.finish(attempt, waited + Duration::from_secs_f64(lost));
        let measured = self.measured();
        let program = &mut self.programs[index];
        if measured {
            self.stats.reusable += program.history;
            self.stats.recomputed += recomputed;
        }
        program.history = left.work.prompt + left.work.output;
        program.attained += engine;
        program.started = true;
        let moved = program
            .last
            .replace(upstream)
            .filter(|last| *last != upstream);
        let entry = &mut self.entries[program.entry];
        entry
            .view
            .cache(&program.id, &self.names[upstream], program.history);
        let now = self.now;
        entry
            .health
            .seen(now, &self.names[upstream], health::Seen::Answered);
        if let (Some(old), true) = (moved, self.setup.policy.keep) {
            let id = program.id.clone();
            entry.view.cache(&id, &self.names[old], 0);
            self.sides[old].forget(index);
        }
        self.next(index);
    }

    fn next(&mut self, index: usize) {
        let program = &mut self.programs[index];
        let done = program.turns[program.turn].clone();
        program.turn += 1;
        if program.turn == program.turns.len() {
            return self.end(index, true);
        }
        let team = program.team;
        if let Some(child) = done.child {
            // The parent's next turn comes when the child ends.
            program.asked = Duration::MAX - PATIENCE;
            return self.program(team, child, Some(index));
        }
        program.asked = self.now + done.pause;
        program.paused += done.pause;
        program.tries = 0;
        let expire = Event::Expire(index, program.turn);
        self.after(done.pause + PATIENCE, expire);
        self.after(done.pause, Event::Submit(index));
    }

    fn failed(&mut self, attempt: u64, refused: fw_plan::Refused) {
        if self.attempts[attempt as usize].over {
            return;
        }
        let record = &self.attempts[attempt as usize];
        let (index, upstream, number) = (record.program, record.upstream, record.number);
        if refused.kind != error::Kind::NoUpstream {
            self.settle(attempt, None);
        }
        let entry_index = self.programs[index].entry;
        if refused.kind == error::Kind::UpstreamCrashed {
            let entry = &mut self.entries[entry_index];
            entry
                .health
                .seen(self.now, &self.names[upstream], health::Seen::Failed);
        }
        let failure = retry::Failure {
            kind: refused.kind,
            attempt: number.max(1),
            repeatable: true,
            deadline: (self.programs[index].asked + PATIENCE).saturating_sub(self.now),
            retry_after: None,
        };
        let entry = &mut self.entries[entry_index];
        let after = if self.setup.policy.budget {
            match entry.budget.decide(self.now, &failure, &mut self.rng) {
                retry::Outcome::Retry { after } => Some(after),
                retry::Outcome::GiveUp { .. } => None,
            }
        } else {
            (number < MAX_INTERNAL_RETRIES).then_some(Duration::ZERO)
        };
        if let Some(after) = after {
            return self.after(after, Event::Again(attempt));
        }
        let asked = self.attempts[attempt as usize].arrived;
        self.finish(attempt, Duration::ZERO);
        if self.measured() {
            let took = self.now.saturating_sub(asked);
            self.stats.slowest_refusal = self.stats.slowest_refusal.max(took);
        }
        self.refused(index, refused.retry_after);
    }

    fn again(&mut self, attempt: u64) {
        let record = &self.attempts[attempt as usize];
        if !record.over {
            let avoid = record.upstream;
            self.dispatch(attempt, Some(avoid));
        }
    }

    fn cancel(&mut self, attempt: u64) {
        let upstream = self.attempts[attempt as usize].upstream;
        self.sides[upstream].cancel(attempt);
        self.settle(attempt, None);
        let waited = self.now - self.attempts[attempt as usize].arrived;
        self.finish(attempt, waited);
        self.pump(upstream);
    }

    // Sides and engines.

    fn reach(&mut self, attempt: u64) {
        let record = &mut self.attempts[attempt as usize];
        if record.over {
            return;
        }
        record.arrived = self.now;
        let upstream = record.upstream;
        let program = &self.programs[record.program];
        if !self.sides[upstream].engine.up {
            return self.after(NET, Event::Failed(attempt, crashed()));
        }
        let turn = &program.turns[program.turn];
        let fails = self.rng.random_bool(self.fails);
        let work = engine::Work {
            attempt,
            program: record.program,
            prompt: program.prompt(),
            output: turn.output,
            fails_at: fails.then(|| turn.output.div_ceil(2)),
        };
        if !self.setup.policy.ordered {
            self.sides[upstream].engine.admit(work);
            return self.pump(upstream);
        }
        let job = queue::Job {
            id: attempt,
            team: self.teams[program.team].clone(),
            share: 1.0,
            attained: program.attained,
            prompt_tokens: self.sides[upstream].lacks(&work),
            deadline: (program.asked + PATIENCE).saturating_sub(self.now),
            alone: false,
        };
        if let Err(refused) = self.sides[upstream].push(self.now, job, work) {
            return self.after(NET, Event::Failed(attempt, refused));
        }
        self.pump(upstream);
    }

    /// Releases what may run and starts a step if none is under way.
    fn pump(&mut self, upstream: usize) {
        let side = &mut self.sides[upstream];
        if self.setup.policy.ordered {
            side.release(self.now);
        }
        if let Some(step) = side.engine.begin_step(self.now) {
            self.after(step, Event::Step(upstream));
        }
        self.publish_evictions(upstream);
    }

    fn step(&mut self, upstream: usize) {
        let side = &mut self.sides[upstream];
        if !side.engine.stepping {
            return;
        }
        let progress = side.engine.end_step();
        for attempt in progress.prefilled {
            side.prefilled(attempt);
        }
        for left in progress.left {
            self.left(upstream, left);
        }
        self.pump(upstream);
    }

    fn left(&mut self, upstream: usize, left: engine::Left) {
        let attempt = left.work.attempt;
        let index = left.work.program;
        let side = &mut self.sides[upstream];
        let team = &self.teams[self.programs[index].team];
        side.left(attempt, team, self.now - left.started);
        side.pause(self.now, index);
        if left.failed {
            return self.after(NET, Event::Failed(attempt, crashed()));
        }
        let waited = left.started - self.attempts[attempt as usize].arrived;
        let answer = Event::Answer(attempt, waited, Some(left));
        self.after(NET, answer);
    }

    fn publish_evictions(&mut self, upstream: usize) {
        let evicted = std::mem::take(&mut self.sides[upstream].engine.cache.evicted);
        for program in evicted {
            if self.rng.random_bool(CACHE_GAPS) {
                continue;
            }
            let late = Duration::from_millis(self.rng.random_range(200..2_000));
            self.after(late, Event::Cached(upstream, program, 0));
        }
    }

    fn cached(&mut self, upstream: usize, index: usize, tokens: id::Tokens) {
        let program = &self.programs[index];
        let view = &mut self.entries[program.entry].view;
        view.cache(&program.id, &self.names[upstream], tokens);
    }

    fn report(&mut self, index: usize) {
        if index < self.sides.len() {
            if self.setup.policy.keep {
                self.sides[index].keep(self.now, &self.setup.policy.caches);
                self.publish_evictions(index);
            }
            let load = self.sides[index].load();
            // The engine's own report is older than the heartbeat that carries it.
            self.after(NET + load.age, Event::Load(index, load));
        }
        if let Some(plain) = self.plains.get(index) {
            let load = plain.load();
            for entry in &mut self.entries {
                entry.plain.report(&self.names[index], load, self.now);
            }
        }
        self.after(HEARTBEAT, Event::Report(index));
    }

    fn load(&mut self, index: usize, load: place::Load) {
        let up = self.sides[index].engine.up;
        let name = &self.names[index];
        for entry in &mut self.entries {
            let seen = if up {
                entry.view.report(name, load, self.now);
                health::Seen::Answered
            } else {
                health::Seen::Failed
            };
            entry.health.seen(self.now, name, seen);
            let outcome = entry.health.decide(self.now, name);
            entry.view.set_health(name, outcome.weight());
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Slow(engine, factor) => self.sides[engine].engine.slowness = factor,
            Action::Fails(part) => self.fails = part,
            Action::Up(engine) => {
                self.sides[engine].engine.up = true;
                self.pump(engine);
            }
            Action::Crash(engine) => {
                self.sides[engine].engine.up = false;
                self.sides[engine].engine.stepping = false;
                for work in self.sides[engine].crash() {
                    self.after(NET, Event::Failed(work.attempt, crashed()));
                }
                for entry in &mut self.entries {
                    entry.view.forget_cache(&self.names[engine]);
                }
            }
        }
    }

    // Plain requests.

    fn plain_arrive(&mut self) {
        if self.now >= self.setup.last {
            return;
        }
        let capacity = self.plains.len() as f64 * plain::SLOTS as f64 / plain::SERVICE;
        let rate = capacity * self.setup.plain_load;
        let gap = trace::exponential(1.0 / rate, &mut self.rng);
        self.after(Duration::from_secs_f64(gap), Event::PlainArrive);
        let entry = self.rng.random_range(0..ENTRIES);
        let team = self.rng.random_range(0..self.teams.len());
        let service = trace::exponential(plain::SERVICE, &mut self.rng);
        let mut req = plain::Request {
            at: self.now,
            entry,
            team: self.teams[team].clone(),
            service: Duration::from_secs_f64(service),
            upstream: 0,
            reached: self.now,
            waited: Duration::ZERO,
        };
        if self.setup.policy.ordered && !self.plain_admitted(&req) {
            if self.measured() {
                self.stats.plain_refused += 1;
            }
            return;
        }
        req.upstream = self.plain_choose(entry);
        let entry = &mut self.entries[entry];
        entry.plain_outstanding[req.upstream] += 1;
        entry.plain.sent(&self.names[req.upstream], 0, self.now);
        self.after(NET, Event::PlainReach(req));
    }

    fn plain_admitted(&mut self, req: &plain::Request) -> bool {
        let lane = admit::Lane::Plain;
        let asked = admit::Request {
            lane,
            team: req.team.clone(),
            share: 1.0,
            deadline: Duration::from_secs(5),
        };
        let admit = &mut self.entries[req.entry].admit;
        let admitted = admit.decide(self.now, &asked) == admit::Outcome::Admitted;
        if admitted {
            admit.started(self.now, lane, &req.team);
        }
        admitted
    }

    fn plain_choose(&mut self, entry: usize) -> usize {
        let count = self.plains.len();
        let entry = &mut self.entries[entry];
        match self.setup.policy.place {
            policy::Place::Random => self.rng.random_range(0..count),
            policy::Place::RoundRobin => {
                entry.turn_about += 1;
                entry.turn_about % count
            }
            policy::Place::Fewest | policy::Place::CacheOnly => (0..count)
                .min_by_key(|upstream| entry.plain_outstanding[*upstream])
                .unwrap_or(0),
            policy::Place::Blind | policy::Place::Delay => {
                let req = place::Request {
                    program: None,
                    prompt_tokens: 0,
                    place: &self.place,
                    model: None,
                    avoid: None,
                };
                let options = &self.setup.policy.choose;
                let outcome = place::choose(&entry.plain, &req, options, &mut self.rng);
                let chosen = outcome.map(|outcome| outcome.upstream);
                let position = |id| self.names.iter().position(|name| *name == id);
                chosen.and_then(position).unwrap_or(0)
            }
        }
    }

    fn plain_reach(&mut self, mut req: plain::Request) {
        req.reached = self.now;
        let upstream = req.upstream;
        self.plains[upstream].push(req);
        self.plain_start(upstream);
    }

    fn plain_start(&mut self, upstream: usize) {
        if let Some(req) = self.plains[upstream].start(self.now) {
            self.after(req.service, Event::PlainDone(req));
        }
    }

    fn plain_done(&mut self, req: plain::Request) {
        self.plains[req.upstream].finish();
        self.plain_start(req.upstream);
        self.after(NET, Event::PlainAnswer(req));
    }

    fn plain_answer(&mut self, req: &plain::Request) {
        let entry = &mut self.entries[req.entry];
        entry.plain_outstanding[req.upstream] -= 1;
        entry
            .plain
            .settled(&self.names[req.upstream], Some(req.service));
        if self.setup.policy.ordered {
            let lane = admit::Lane::Plain;
            entry.admit.finished(self.now, lane, &req.team, req.waited);
        }
        if self.measured() {
            let latency = (self.now - req.at).as_micros() as u64;
            self.stats.plain.saturating_record(latency);
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
        let listed = |name: &id::UpstreamId| health::Listed {
            upstream: name.clone(),
            leaving: false,
        };
        let list: Vec<_> = names[..shape.engines].iter().map(listed).collect();
        health.listed(Duration::ZERO, &list);
        Self {
            admit: admit::Admit::new(policy.admit.clone()),
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

fn crashed() -> fw_plan::Refused {
    fw_plan::Refused {
        kind: error::Kind::UpstreamCrashed,
        retry_after: Duration::from_millis(100),
    }
}
