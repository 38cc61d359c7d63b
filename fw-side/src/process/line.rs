//! The queue before the engine, and what was released from it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_plan::queue;
use parking_lot::Mutex;

use super::attempts;
use crate::refuse;

/// Most jobs in the engine while it has not said its batch, and the settings do not either.
const DEFAULT_BATCH: u32 = 32;

#[derive(Clone, Debug)]
struct Released {
    team: id::TeamId,
    prefill: id::Tokens,
    long: bool,
    alone: bool,
    at: Instant,
}

#[derive(Debug)]
struct Inner {
    queue: queue::Queue,
    released: HashMap<id::AttemptId, Released>,
    waiting: HashMap<id::AttemptId, Released>,
}

/// How the line releases.
#[derive(Clone, Debug)]
pub struct Options {
    /// Rules of the queue.
    pub queue: queue::Options,
    /// The engine's batch by the settings; 0 if it is not known.
    pub batch: u32,
    /// Most jobs in the engine, if the settings say so.
    pub window: Option<u32>,
}

/// What the engine was last seen to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Its batch; 0 if it has not said.
    pub batch: u32,
    /// Time of one step.
    pub step: Duration,
}

/// How full the line is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fill {
    /// Jobs waiting.
    pub queued: u32,
    /// Jobs in the engine.
    pub running: u32,
    /// Prompt tokens that wait for prefill, in the queue and in the engine.
    pub prefill: id::Tokens,
    /// Time from arrival to release, smoothed.
    pub delay: Duration,
}

/// The queue with its clock.
#[derive(Debug)]
pub struct Line {
    started: Instant,
    opts: Options,
    inner: Mutex<Inner>,
}

impl Line {
    /// An empty line.
    pub fn new(opts: Options) -> Self {
        Self {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                queue: queue::Queue::new(opts.queue.clone()),
                released: HashMap::new(),
                waiting: HashMap::new(),
            }),
            opts,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Queues an attempt whose prompt lacks `missing` tokens in the engine's cache.
    ///
    /// # Errors
    ///
    /// As [`queue::Queue::push`].
    pub fn push(
        &self,
        attempt: &attempts::Attempt,
        missing: id::Tokens,
    ) -> Result<(), error::Error> {
        let start = &attempt.start;
        let job = queue::Job {
            id: start.attempt,
            team: start.team.clone(),
            share: start.share,
            attained: start.attained,
            prompt_tokens: missing,
            deadline: start.deadline,
            alone: start.alone,
        };
        let mut inner = self.inner.lock();
        inner.queue.push(self.now(), job).map_err(refused)?;
        let waiting = Released {
            team: start.team.clone(),
            prefill: missing,
            long: missing >= self.opts.queue.long_prompt,
            alone: start.alone,
            at: attempt.arrived,
        };
        inner.waiting.insert(start.attempt, waiting);
        Ok(())
    }

    /// The next attempt to run, if the engine has room for one.
    pub fn pop(&self, pace: Pace) -> Option<id::AttemptId> {
        let mut inner = self.inner.lock();
        let running = self.running(&inner, pace);
        if self.opts.window.is_some_and(|most| running.jobs >= most) {
            return None;
        }
        let id = inner.queue.pop(self.now(), &running)?;
        if let Some(job) = inner.waiting.remove(&id) {
            let at = Instant::now();
            inner.released.insert(id, Released { at, ..job });
        }
        Some(id)
    }

    fn running(&self, inner: &Inner, pace: Pace) -> queue::Running {
        let jobs = inner.released.values();
        let in_prefill = jobs.clone().filter(|job| job.prefill > 0);
        let said = [pace.batch, self.opts.batch, DEFAULT_BATCH];
        queue::Running {
            jobs: count(inner.released.len()),
            batch: said.into_iter().find(|batch| *batch > 0).unwrap_or(0),
            prefill: jobs.clone().map(|job| job.prefill).sum(),
            long: count(in_prefill.filter(|job| job.long).count()),
            step: pace.step,
            alone: jobs.clone().any(|job| job.alone),
        }
    }

    /// Takes a waiting attempt out; false if it does not wait.
    pub fn remove(&self, id: id::AttemptId) -> bool {
        let mut inner = self.inner.lock();
        inner.waiting.remove(&id);
        inner.queue.remove(id)
    }

    /// Takes out the attempts that can no longer start in time.
    pub fn expire(&self) -> Vec<id::AttemptId> {
        let mut inner = self.inner.lock();
        let expired = inner.queue.expire(self.now());
        for id in &expired {
            inner.waiting.remove(id);
        }
        expired
    }

    /// A released attempt's first token came: its prefill is over.
    pub fn prefilled(&self, id: id::AttemptId) {
        if let Some(job) = self.inner.lock().released.get_mut(&id) {
            job.prefill = 0;
        }
    }

    /// A released attempt left the engine.
    pub fn done(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        if let Some(job) = inner.released.remove(&id) {
            inner.queue.finished(&job.team, job.at.elapsed());
        }
    }

    /// How full the line is.
    pub fn fill(&self) -> Fill {
        let inner = self.inner.lock();
        let jobs = inner.waiting.values().chain(inner.released.values());
        Fill {
            queued: count(inner.queue.len()),
            running: count(inner.released.len()),
            prefill: jobs.map(|job| job.prefill).sum(),
            delay: inner.queue.recent_wait(),
        }
    }
}

fn refused(refused: fw_plan::Refusal) -> error::Error {
    let why = match refused.kind {
        error::Kind::QueueFull => "the queue before the engine is full; try later or elsewhere",
        error::Kind::ShareExceeded => "the team has its share of the queue already; try later",
        _ => "the queue is too long for the deadline; allow more time or try elsewhere",
    };
    refuse::with(refused.kind, why).with_retry_after(refused.retry_after)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
