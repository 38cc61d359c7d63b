//! The queue in front of the engine, and the jobs that were dispatched from it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_plan::queue;
use parking_lot::Mutex;

use super::attempts;
use crate::errors;

/// Batch size that is assumed while neither the engine nor the settings state one.
const DEFAULT_BATCH: u32 = 32;

#[derive(Clone, Debug)]
struct Entry {
    team: id::TeamId,
    prefill: id::Tokens,
    long: bool,
    alone: bool,
    since: Instant,
}

#[derive(Debug)]
struct Inner {
    queue: queue::Queue,
    dispatched: HashMap<id::AttemptId, Entry>,
    waiting: HashMap<id::AttemptId, Entry>,
}

/// Configuration of the queue.
#[derive(Clone, Debug)]
pub struct Options {
    /// Ordering and limits of the queue.
    pub queue: queue::Options,
    /// Batch size of the engine according to the settings; 0 if not set.
    pub batch: u32,
    /// Maximum number of jobs in the engine, if set.
    pub window: Option<u32>,
}

/// Batch size and step time of the engine, as last measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePace {
    /// Batch size; 0 if the engine has not reported it.
    pub batch: u32,
    /// Duration of one decoding step.
    pub step: Duration,
}

/// Number of jobs and amount of work in the queue and in the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Waiting jobs.
    pub queued: u32,
    /// Jobs in the engine.
    pub running: u32,
    /// Prompt tokens that await prefill, in the queue and in the engine.
    pub prefill: id::Tokens,
    /// Smoothed time from arrival to dispatch.
    pub delay: Duration,
}

/// The queue, its clock and the dispatched jobs.
#[derive(Debug)]
pub struct DispatchQueue {
    started: Instant,
    opts: Options,
    inner: Mutex<Inner>,
}

impl DispatchQueue {
    /// Creates an empty queue.
    pub fn new(opts: Options) -> Self {
        Self {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                queue: queue::Queue::new(opts.queue.clone()),
                dispatched: HashMap::new(),
                waiting: HashMap::new(),
            }),
            opts,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Queues an attempt with `missing` prompt tokens that are not in the engine's cache.
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
        inner.queue.push(self.now(), job).map_err(refusal_error)?;
        let waiting = Entry {
            team: start.team.clone(),
            prefill: missing,
            long: missing >= self.opts.queue.long_prompt,
            alone: start.alone,
            since: attempt.arrived_at,
        };
        inner.waiting.insert(start.attempt, waiting);
        Ok(())
    }

    /// Dispatches the next attempt, if the engine has room for one.
    pub fn pop(&self, pace: EnginePace) -> Option<id::AttemptId> {
        let mut inner = self.inner.lock();
        let running = self.running_jobs(&inner, pace);
        if self
            .opts
            .window
            .is_some_and(|window| running.jobs >= window)
        {
            return None;
        }
        let id = inner.queue.pop(self.now(), &running)?;
        if let Some(job) = inner.waiting.remove(&id) {
            let since = Instant::now();
            inner.dispatched.insert(id, Entry { since, ..job });
        }
        Some(id)
    }

    fn running_jobs(&self, inner: &Inner, pace: EnginePace) -> queue::Running {
        let jobs = inner.dispatched.values();
        let in_prefill = jobs.clone().filter(|job| job.prefill > 0);
        let batch_sizes = [pace.batch, self.opts.batch, DEFAULT_BATCH];
        queue::Running {
            jobs: count(inner.dispatched.len()),
            batch: batch_sizes
                .into_iter()
                .find(|batch| *batch > 0)
                .unwrap_or(0),
            prefill: jobs.clone().map(|job| job.prefill).sum(),
            long: count(in_prefill.filter(|job| job.long).count()),
            step: pace.step,
            alone: jobs.clone().any(|job| job.alone),
        }
    }

    /// Removes a waiting attempt. Returns false if it is not waiting.
    pub fn remove(&self, id: id::AttemptId) -> bool {
        let mut inner = self.inner.lock();
        inner.waiting.remove(&id);
        inner.queue.remove(id)
    }

    /// Removes and returns the attempts that can no longer start before their deadline.
    pub fn expire(&self) -> Vec<id::AttemptId> {
        let mut inner = self.inner.lock();
        let expired = inner.queue.expire(self.now());
        for id in &expired {
            inner.waiting.remove(id);
        }
        expired
    }

    /// Records the first token of a dispatched attempt, which ends its prefill.
    pub fn finish_prefill(&self, id: id::AttemptId) {
        if let Some(job) = self.inner.lock().dispatched.get_mut(&id) {
            job.prefill = 0;
        }
    }

    /// Records that a dispatched attempt left the engine.
    pub fn finish(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        if let Some(job) = inner.dispatched.remove(&id) {
            inner.queue.finished(&job.team, job.since.elapsed());
        }
    }

    /// The current occupancy.
    pub fn occupancy(&self) -> Occupancy {
        let inner = self.inner.lock();
        let jobs = inner.waiting.values().chain(inner.dispatched.values());
        Occupancy {
            queued: count(inner.queue.len()),
            running: count(inner.dispatched.len()),
            prefill: jobs.map(|job| job.prefill).sum(),
            delay: inner.queue.recent_wait(),
        }
    }
}

fn refusal_error(refusal: fw_plan::Refusal) -> error::Error {
    let why = match refusal.kind {
        error::Kind::QueueFull => "the engine's queue is full; retry later or on another upstream",
        error::Kind::ShareExceeded => "the team has used up its share of the queue; retry later",
        _ => "the queue is too long for the deadline; allow more time or use another upstream",
    };
    errors::counted(refusal.kind, why).with_retry_after(refusal.retry_after)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
