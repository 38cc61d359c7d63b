//! Sides, engines and what they report.

use std::time::Duration;

use fw_base::id;
use fw_plan::health;
use fw_plan::place;
use fw_plan::queue;
use rand::RngExt;

use super::super::engine;
use super::Action;
use super::CACHE_GAPS;
use super::Event;
use super::HEARTBEAT;
use super::NET;
use super::PATIENCE;
use super::World;
use super::crashed;

impl World {
    pub(super) fn reach(&mut self, attempt: u64) {
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
    pub(super) fn pump(&mut self, upstream: usize) {
        let side = &mut self.sides[upstream];
        if self.setup.policy.ordered {
            side.release(self.now);
        }
        if let Some(step) = side.engine.begin_step(self.now) {
            self.after(step, Event::Step(upstream));
        }
        self.publish_evictions(upstream);
    }

    pub(super) fn step(&mut self, upstream: usize) {
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

    pub(super) fn left(&mut self, upstream: usize, left: engine::Left) {
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

    pub(super) fn publish_evictions(&mut self, upstream: usize) {
        let evicted = std::mem::take(&mut self.sides[upstream].engine.cache.evicted);
        for program in evicted {
            if self.rng.random_bool(CACHE_GAPS) {
                continue;
            }
            let late = Duration::from_millis(self.rng.random_range(200..2_000));
            self.after(late, Event::Cached(upstream, program, 0));
        }
    }

    pub(super) fn cached(&mut self, upstream: usize, index: usize, tokens: id::Tokens) {
        let program = &self.programs[index];
        let view = &mut self.entries[program.entry].view;
        view.set_cached(&program.id, &self.names[upstream], tokens);
    }

    pub(super) fn report(&mut self, index: usize) {
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
                entry.plain.update_load(&self.names[index], load, self.now);
            }
        }
        self.after(HEARTBEAT, Event::Report(index));
    }

    pub(super) fn load(&mut self, index: usize, load: place::Load) {
        let up = self.sides[index].engine.up;
        let name = &self.names[index];
        for entry in &mut self.entries {
            let seen = if up {
                entry.view.update_load(name, load, self.now);
                health::Observation::Answered
            } else {
                health::Observation::Failed
            };
            entry.health.observe(self.now, name, seen);
            let outcome = entry.health.decide(self.now, name);
            entry.view.set_health(name, outcome.weight());
        }
    }

    pub(super) fn act(&mut self, action: Action) {
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
                    entry.view.clear_cache(&self.names[engine]);
                }
            }
        }
    }
}
