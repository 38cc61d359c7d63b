//! What callers send, and when they give up.

use std::time::Duration;

use rand::RngExt;

use super::super::trace;
use super::ENTRIES;
use super::Event;
use super::PATIENCE;
use super::Program;
use super::TRIES;
use super::World;

impl World {
    pub(super) fn arrive(&mut self, index: usize) {
        let spec = &self.setup.programs[index];
        let (team, turns) = (spec.team, spec.turns.clone());
        if let Some(next) = self.setup.programs.get(index + 1) {
            let event = Event::Arrive(index + 1);
            self.after(next.at - self.now, event);
        }
        self.program(team, turns, None);
    }

    pub(super) fn program(&mut self, team: usize, turns: Vec<trace::Turn>, parent: Option<usize>) {
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

    pub(super) fn turn(&mut self, index: usize) {
        let program = &mut self.programs[index];
        program.asked = self.now;
        program.tries = 0;
        let turn = program.turn;
        self.after(PATIENCE, Event::Expire(index, turn));
        self.submit(index);
    }

    pub(super) fn expire(&mut self, index: usize, turn: usize) {
        let program = &self.programs[index];
        if program.over || program.turn != turn || self.now < program.asked + PATIENCE {
            return;
        }
        if let Some(attempt) = program.attempt {
            self.cancel(attempt);
        }
        self.end(index, false);
    }

    pub(super) fn refused(&mut self, index: usize, retry_after: Duration) {
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

    pub(super) fn end(&mut self, index: usize, finished: bool) {
        let measured = self.measured();
        let program = &mut self.programs[index];
        program.over = true;
        let (parent, team, last) = (program.parent, program.team, program.last);
        let (started, at, entry) = (program.started, program.at, program.entry);
        let (paused, turns) = (program.paused, program.turns.len());
        let id = program.id.clone();
        self.entries[entry].view.forget_program(&id);
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
}
