//! The entries: admission, placement, retries and answers.

use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use fw_plan::health;
use fw_plan::place;
use fw_plan::retry;
use rand::RngExt;

use super::super::engine;
use super::super::policy;
use super::Attempt;
use super::Entry;
use super::Event;
use super::MAX_INTERNAL_RETRIES;
use super::NET;
use super::PATIENCE;
use super::World;

impl World {
    pub(super) fn submit(&mut self, index: usize) {
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
            self.entries[entry].budget.deposit();
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

    pub(super) fn dispatch(&mut self, attempt: u64, avoid: Option<usize>) {
        let index = self.attempts[attempt as usize].program;
        let Some((upstream, lacks)) = self.choose(index, avoid) else {
            let refused = fw_plan::Refusal {
                kind: error::Kind::NoUpstream,
                retry_after: Duration::from_millis(500),
            };
            return self.after(NET, Event::Failed(attempt, refused));
        };
        let entry = &mut self.entries[self.programs[index].entry];
        entry.outstanding[upstream] += 1;
        entry
            .view
            .record_sent(&self.names[upstream], lacks, self.now);
        let record = &mut self.attempts[attempt as usize];
        record.upstream = upstream;
        record.number += 1;
        if self.measured() {
            self.stats.attempts += 1;
            self.stats.by_upstream[upstream] += 1;
        }
        self.after(NET, Event::Reach(attempt));
    }

    pub(super) fn choose(
        &mut self,
        index: usize,
        avoid: Option<usize>,
    ) -> Option<(usize, id::Tokens)> {
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
                    avoid: avoid
                        .map_or(&[], |upstream| std::slice::from_ref(&self.names[upstream])),
                };
                let options = &self.setup.policy.choose;
                let outcome = place::choose(&entry.view, &req, options, &mut self.rng)?;
                let name = self.names.iter().position(|name| *name == outcome.upstream);
                return name.map(|upstream| (upstream, outcome.uncached_tokens));
            }
        };
        upstream.map(|upstream| (upstream, prompt))
    }

    pub(super) fn settle(&mut self, attempt: u64, engine: Option<Duration>) {
        let record = &self.attempts[attempt as usize];
        let entry = &mut self.entries[self.programs[record.program].entry];
        entry.outstanding[record.upstream] -= 1;
        entry
            .view
            .record_finished(&self.names[record.upstream], engine);
    }

    pub(super) fn finish(&mut self, attempt: u64, waited: Duration) {
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

    pub(super) fn answer(&mut self, attempt: u64, waited: Duration, left: Option<engine::Left>) {
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
            .set_cached(&program.id, &self.names[upstream], program.history);
        let now = self.now;
        entry
            .health
            .observe(now, &self.names[upstream], health::Observation::Answered);
        if let (Some(old), true) = (moved, self.setup.policy.keep) {
            let id = program.id.clone();
            entry.view.set_cached(&id, &self.names[old], 0);
            self.sides[old].forget(index);
        }
        self.next(index);
    }

    pub(super) fn next(&mut self, index: usize) {
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

    pub(super) fn failed(&mut self, attempt: u64, refused: fw_plan::Refusal) {
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
                .observe(self.now, &self.names[upstream], health::Observation::Failed);
        }
        let failure = retry::Failure {
            kind: refused.kind,
            attempt: number.max(1),
            repeatable: true,
            time_left: (self.programs[index].asked + PATIENCE).saturating_sub(self.now),
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

    pub(super) fn again(&mut self, attempt: u64) {
        let record = &self.attempts[attempt as usize];
        if !record.over {
            let avoid = record.upstream;
            self.dispatch(attempt, Some(avoid));
        }
    }

    pub(super) fn cancel(&mut self, attempt: u64) {
        let upstream = self.attempts[attempt as usize].upstream;
        self.sides[upstream].cancel(attempt);
        self.settle(attempt, None);
        let waited = self.now - self.attempts[attempt as usize].arrived;
        self.finish(attempt, waited);
        self.pump(upstream);
    }
}
