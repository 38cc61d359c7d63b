//! The process beside an engine, as far as the decisions need it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use fw_base::id;
use fw_plan::cache_retention;
use fw_plan::place;
use fw_plan::queue;

use super::engine;

/// A job that was released into the engine.
#[derive(Debug)]
struct Released {
    prefill: id::Tokens,
    long: bool,
}

#[derive(Debug)]
struct Paused {
    since: Duration,
    tokens: id::Tokens,
}

#[derive(Debug)]
pub struct Side {
    pub queue: queue::Queue,
    pub engine: engine::Engine,
    options: queue::Options,
    /// Jobs that were pushed and not released.
    held: BTreeMap<u64, engine::Work>,
    released: HashMap<u64, Released>,
    pauses: cache_retention::Pauses,
    /// Ordered, so that a run with the same seed frees in the same order.
    paused: BTreeMap<usize, Paused>,
    prefill_queued: id::Tokens,
}

impl Side {
    pub fn new(options: queue::Options) -> Self {
        Self {
            queue: queue::Queue::new(options.clone()),
            engine: engine::Engine::new(),
            options,
            held: BTreeMap::new(),
            released: HashMap::new(),
            pauses: cache_retention::Pauses::new(),
            paused: BTreeMap::new(),
            prefill_queued: 0,
        }
    }

    /// Queues a turn behind the product's order.
    pub fn push(
        &mut self,
        now: Duration,
        job: queue::Job,
        work: engine::Work,
    ) -> Result<(), fw_plan::Refusal> {
        if let Some(paused) = self.paused.remove(&work.program) {
            self.pauses.returned(now - paused.since);
        }
        let tokens = job.prompt_tokens;
        self.queue.push(now, job)?;
        self.prefill_queued += tokens;
        self.held.insert(work.attempt, work);
        Ok(())
    }

    /// Releases what the window allows.
    pub fn release(&mut self, now: Duration) {
        while let Some(id) = self.queue.pop(now, &self.running()) {
            let Some(work) = self.held.remove(&id) else {
                continue;
            };
            let prefill = self.lacks(&work);
            self.prefill_queued = self.prefill_queued.saturating_sub(prefill);
            let long = prefill >= self.options.long_prompt;
            self.released.insert(id, Released { prefill, long });
            self.engine.admit(work);
        }
        if self.queue.is_empty() {
            self.prefill_queued = 0;
        }
    }

    pub fn lacks(&self, work: &engine::Work) -> id::Tokens {
        let held = self.engine.cache.held(work.program);
        work.prompt.saturating_sub(held)
    }

    pub fn cancel(&mut self, attempt: u64) {
        if self.queue.remove(attempt) {
            self.held.remove(&attempt);
        }
        self.released.remove(&attempt);
        self.engine.cancel(attempt);
    }

    pub fn prefilled(&mut self, attempt: u64) {
        if let Some(released) = self.released.get_mut(&attempt) {
            released.prefill = 0;
            released.long = false;
        }
    }

    pub fn left(&mut self, attempt: u64, team: &id::TeamId, engine: Duration) {
        if self.released.remove(&attempt).is_some() {
            self.queue.finished(team, engine);
        }
    }

    /// A program's turn ended here; it may return.
    pub fn pause(&mut self, now: Duration, program: usize) {
        let tokens = self.engine.cache.held(program);
        self.paused.insert(program, Paused { since: now, tokens });
    }

    /// A program ended or moved away.
    pub fn forget(&mut self, program: usize) {
        if self.paused.remove(&program).is_some() {
            self.engine.cache.free(program);
        }
    }

    /// Frees caches by rank while the cache is nearly full.
    pub fn keep(&mut self, now: Duration, options: &cache_retention::Options) {
        let bound = (engine::CACHE as f64 * options.pressure) as id::Tokens;
        let excess = self.engine.cache.used.saturating_sub(bound);
        if excess == 0 {
            return;
        }
        let as_paused = |paused: &Paused| cache_retention::Paused {
            paused: now - paused.since,
            tokens: paused.tokens,
        };
        let all: Vec<_> = self.paused.values().map(as_paused).collect();
        let line = cache_retention::line(&self.pauses, &all, excess, options);
        let used = self.engine.cache.used as f64 / engine::CACHE as f64;
        let (pauses, cache) = (&self.pauses, &mut self.engine.cache);
        self.paused.retain(|program, paused| {
            let paused = as_paused(paused);
            let outcome = cache_retention::decide(pauses, &paused, used, line, options);
            if outcome == cache_retention::Outcome::Free {
                cache.free(*program);
                cache.evicted.push(*program);
            }
            outcome == cache_retention::Outcome::Keep
        });
    }

    /// What the engine crashed under.
    pub fn crash(&mut self) -> Vec<engine::Work> {
        let mut lost = self.engine.crash();
        lost.extend(std::mem::take(&mut self.held).into_values());
        for work in &lost {
            self.queue.remove(work.attempt);
        }
        self.released.clear();
        self.paused.clear();
        lost
    }

    pub fn load(&self) -> place::Load {
        let queued = self.queue.len() + self.engine.waiting();
        place::Load {
            queued: queued as u32,
            running: self.engine.jobs() as u32,
            batch: engine::BATCH as u32,
            prefill: self.engine.prefill() + self.prefill_queued,
            prefill_rate: (1.0 / engine::PER_PREFILL_TOKEN / self.engine.slowness) as u64,
            delay: self.queue.recent_wait(),
            step: Duration::from_secs_f64(self.engine.step),
            age: Duration::from_millis(100),
        }
    }

    fn running(&self) -> queue::Running {
        queue::Running {
            jobs: self.released.len() as u32,
            batch: engine::BATCH as u32,
            prefill: self.released.values().map(|job| job.prefill).sum(),
            long: self.released.values().filter(|job| job.long).count() as u32,
            step: Duration::from_secs_f64(self.engine.step),
            alone: false,
        }
    }
}
