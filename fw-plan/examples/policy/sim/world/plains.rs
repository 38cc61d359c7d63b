//! Plain requests.

use std::time::Duration;

use fw_plan::admit;
use fw_plan::place;
use rand::RngExt;

use super::super::plain;
use super::super::policy;
use super::super::trace;
use super::ENTRIES;
use super::Event;
use super::NET;
use super::World;

impl World {
    pub(super) fn plain_arrive(&mut self) {
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
        entry
            .plain
            .record_sent(&self.names[req.upstream], 0, self.now);
        self.after(NET, Event::PlainReach(req));
    }

    pub(super) fn plain_admitted(&mut self, req: &plain::Request) -> bool {
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

    pub(super) fn plain_choose(&mut self, entry: usize) -> usize {
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
                    avoid: &[],
                };
                let options = &self.setup.policy.choose;
                let outcome = place::choose(&entry.plain, &req, options, &mut self.rng);
                let chosen = outcome.map(|outcome| outcome.upstream);
                let position = |id| self.names.iter().position(|name| *name == id);
                chosen.and_then(position).unwrap_or(0)
            }
        }
    }

    pub(super) fn plain_reach(&mut self, mut req: plain::Request) {
        req.reached = self.now;
        let upstream = req.upstream;
        self.plains[upstream].push(req);
        self.plain_start(upstream);
    }

    pub(super) fn plain_start(&mut self, upstream: usize) {
        if let Some(req) = self.plains[upstream].start(self.now) {
            self.after(req.service, Event::PlainDone(req));
        }
    }

    pub(super) fn plain_done(&mut self, req: plain::Request) {
        self.plains[req.upstream].finish();
        self.plain_start(req.upstream);
        self.after(NET, Event::PlainAnswer(req));
    }

    pub(super) fn plain_answer(&mut self, req: &plain::Request) {
        let entry = &mut self.entries[req.entry];
        entry.plain_outstanding[req.upstream] -= 1;
        entry
            .plain
            .record_finished(&self.names[req.upstream], Some(req.service));
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
