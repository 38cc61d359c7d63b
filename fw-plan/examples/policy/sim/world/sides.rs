//! Sides and engines, and their reports.

use std::time::Duration;

use fw_base::id;
use fw_plan::health;
use fw_plan::place;
use fw_plan::queue;
use rand::RngExt;

use super::super::engine;
use super::CACHE_EVENT_LOSS;
use super::Event;
use super::Fault;
use super::HEARTBEAT;
use super::NETWORK_DELAY;
use super::TURN_TIMEOUT;
use super::World;
use super::crash_refusal;

impl World {
    pub(super) fn deliver(&mut self, attempt: u64) {
        let record = &mut self.attempts[attempt as usize];
        if record.is_done {
            return;
        }
        record.arrived = self.now;
        let upstream = record.upstream;
        let program = &self.programs[record.program];
        if !self.sides[upstream].engine.up {
            return self.schedule(NETWORK_DELAY, Event::Failed(attempt, crash_refusal()));
        }
        let turn = &program.turns[program.turn];
        let fails = self.rng.random_bool(self.failure_rate);
        let work = engine::Work {
            attempt,
            program: record.program,
            prompt: program.prompt(),
            output: turn.output,
            fail_after: fails.then(|| turn.output.div_ceil(2)),
        };
        if !self.setup.policy.has_admission {
            self.sides[upstream].engine.admit(work);
            return self.run_engine(upstream);
        }
        let job = queue::Job {
            id: attempt,
            team: self.teams[program.team].clone(),
            share: 1.0,
            attained: program.attained,
            prompt_tokens: self.sides[upstream].uncached_tokens(&work),
            deadline: (program.requested_at + TURN_TIMEOUT).saturating_sub(self.now),
            alone: false,
        };
        if let Err(refused) = self.sides[upstream].push(self.now, job, work) {
            return self.schedule(NETWORK_DELAY, Event::Failed(attempt, refused));
        }
        self.run_engine(upstream);
    }

    /// Releases the jobs that may run and starts a step if none is in progress.
    pub(super) fn run_engine(&mut self, upstream: usize) {
        let side = &mut self.sides[upstream];
        if self.setup.policy.has_admission {
            side.release(self.now);
        }
        if let Some(step) = side.engine.begin_step(self.now) {
            self.schedule(step, Event::Step(upstream));
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
        for finished in progress.finished {
            self.job_finished(upstream, finished);
        }
        self.run_engine(upstream);
    }

    pub(super) fn job_finished(&mut self, upstream: usize, finished: engine::FinishedJob) {
        let attempt = finished.work.attempt;
        let index = finished.work.program;
        let side = &mut self.sides[upstream];
        let team = &self.teams[self.programs[index].team];
        side.finished(attempt, team, self.now - finished.started);
        side.pause(self.now, index);
        if finished.failed {
            return self.schedule(NETWORK_DELAY, Event::Failed(attempt, crash_refusal()));
        }
        let waited = finished.started - self.attempts[attempt as usize].arrived;
        let answer = Event::Answer(attempt, waited, Some(finished));
        self.schedule(NETWORK_DELAY, answer);
    }

    pub(super) fn publish_evictions(&mut self, upstream: usize) {
        let evicted = std::mem::take(&mut self.sides[upstream].engine.cache.evicted);
        for program in evicted {
            if self.rng.random_bool(CACHE_EVENT_LOSS) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(200..2_000));
            self.schedule(delay, Event::CacheChange(upstream, program, 0));
        }
    }

    pub(super) fn deliver_cache_change(
        &mut self,
        upstream: usize,
        index: usize,
        tokens: id::Tokens,
    ) {
        let program = &self.programs[index];
        let view = &mut self.entries[program.entry].view;
        view.set_cached(&program.id, &self.names[upstream], tokens);
    }

    pub(super) fn send_report(&mut self, index: usize) {
        if index < self.sides.len() {
            if self.setup.policy.frees_caches {
                self.sides[index].free_caches(self.now, &self.setup.policy.retention);
                self.publish_evictions(index);
            }
            let load = self.sides[index].load();
            // The engine's own report is older than the heartbeat that carries it.
            self.schedule(NETWORK_DELAY + load.age, Event::Load(index, load));
        }
        if let Some(plain) = self.plain_upstreams.get(index) {
            let load = plain.load();
            for entry in &mut self.entries {
                entry
                    .plain_view
                    .update_load(&self.names[index], load, self.now);
            }
        }
        self.schedule(HEARTBEAT, Event::Report(index));
    }

    pub(super) fn deliver_load(&mut self, index: usize, load: place::Load) {
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

    pub(super) fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(engine, factor) => self.sides[engine].engine.slowness = factor,
            Fault::FailureRate(part) => self.failure_rate = part,
            Fault::Up(engine) => {
                self.sides[engine].engine.up = true;
                self.run_engine(engine);
            }
            Fault::Crash(engine) => {
                self.sides[engine].engine.up = false;
                self.sides[engine].engine.stepping = false;
                for work in self.sides[engine].crash() {
                    self.schedule(NETWORK_DELAY, Event::Failed(work.attempt, crash_refusal()));
                }
                for entry in &mut self.entries {
                    entry.view.clear_cache(&self.names[engine]);
                }
            }
        }
    }
}
