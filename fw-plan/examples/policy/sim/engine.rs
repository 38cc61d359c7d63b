//! A simulated model engine: continuous batching, chunked prefill and a prefix cache of limited
//! size with least-recently-used eviction. It has no priorities.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::id;

/// Largest number of jobs that run together.
pub const MAX_BATCH: usize = 16;
/// Largest number of prompt tokens computed in one step.
const MAX_CHUNK: id::Tokens = 512;
/// Seconds of a step without any job.
const BASE_STEP: f64 = 0.0025;
/// Seconds that each job in the batch adds to a step.
const STEP_PER_JOB: f64 = 0.000_03;
/// Seconds that each prompt token adds to a step.
pub const STEP_PER_PREFILL_TOKEN: f64 = 0.000_01;
/// Capacity of the cache in tokens.
pub const CACHE_TOKENS: id::Tokens = 250_000;

/// Seconds of one step.
pub fn step_seconds(jobs: usize, prefill: id::Tokens) -> f64 {
    BASE_STEP + jobs as f64 * STEP_PER_JOB + prefill as f64 * STEP_PER_PREFILL_TOKEN
}

/// A job as submitted to the engine.
#[derive(Clone, Debug)]
pub struct Work {
    pub attempt: u64,
    pub program: usize,
    pub prompt: id::Tokens,
    pub output: id::Tokens,
    /// Number of answer tokens after which the job fails; `None` if it succeeds.
    pub fail_after: Option<id::Tokens>,
}

#[derive(Debug)]
struct Active {
    work: Work,
    started: Duration,
    cached: id::Tokens,
    prefill_left: id::Tokens,
    generated: id::Tokens,
    /// Prompt tokens computed in the current step.
    chunk: id::Tokens,
}

/// A job that left the engine.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    pub work: Work,
    pub started: Duration,
    /// Prompt tokens found in the cache.
    pub cached: id::Tokens,
    pub failed: bool,
}

/// Result of a step.
#[derive(Debug, Default)]
pub struct Progress {
    pub finished: Vec<FinishedJob>,
    /// Attempts whose prefill ended.
    pub prefilled: Vec<u64>,
}

/// A program's prefix in the cache.
#[derive(Debug, Default)]
struct Prefix {
    tokens: id::Tokens,
    last_used: u64,
    pins: u32,
}

/// The prefix cache.
#[derive(Debug, Default)]
pub struct Cache {
    prefixes: HashMap<usize, Prefix>,
    by_last_use: BTreeMap<u64, usize>,
    clock: u64,
    pub used: id::Tokens,
    /// Programs evicted since this list was last read.
    pub evicted: Vec<usize>,
}

#[derive(Debug)]
pub struct Engine {
    pub cache: Cache,
    waiting: VecDeque<Work>,
    active: Vec<Active>,
    /// Factor by which each step takes longer.
    pub slowness: f64,
    pub up: bool,
    pub stepping: bool,
    /// Seconds of a step, smoothed.
    pub step: f64,
    pub busy: Duration,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            cache: Cache::default(),
            waiting: VecDeque::new(),
            active: Vec::new(),
            slowness: 1.0,
            up: true,
            stepping: false,
            step: BASE_STEP,
            busy: Duration::ZERO,
        }
    }

    pub fn jobs(&self) -> usize {
        self.active.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn prefill(&self) -> id::Tokens {
        self.active.iter().map(|job| job.prefill_left).sum()
    }

    pub fn admit(&mut self, work: Work) {
        self.waiting.push_back(work);
    }

    /// Removes a job, whether it is waiting or running.
    pub fn cancel(&mut self, attempt: u64) {
        self.waiting.retain(|work| work.attempt != attempt);
        if let Some(at) = self
            .active
            .iter()
            .position(|job| job.work.attempt == attempt)
        {
            let job = self.active.swap_remove(at);
            let computed = job.work.prompt - job.prefill_left + job.generated;
            self.cache.unpin(job.work.program, computed);
        }
    }

    /// All jobs and the cache are lost; returns the jobs.
    pub fn crash(&mut self) -> Vec<Work> {
        self.cache = Cache::default();
        let active = self.active.drain(..).map(|job| job.work);
        active.chain(self.waiting.drain(..)).collect()
    }

    /// Starts a step if there is work, and returns its duration.
    pub fn begin_step(&mut self, now: Duration) -> Option<Duration> {
        if !self.up || self.stepping {
            return None;
        }
        self.fill_batch(now);
        if self.active.is_empty() {
            return None;
        }
        let mut chunk_left = MAX_CHUNK;
        for job in &mut self.active {
            job.chunk = job.prefill_left.min(chunk_left);
            chunk_left -= job.chunk;
        }
        self.stepping = true;
        let seconds = step_seconds(self.active.len(), MAX_CHUNK - chunk_left) * self.slowness;
        self.step += (seconds - self.step) * 0.01;
        let step = Duration::from_secs_f64(seconds);
        self.busy += step;
        Some(step)
    }

    pub fn end_step(&mut self) -> Progress {
        self.stepping = false;
        let mut progress = Progress::default();
        let mut index = 0;
        while index < self.active.len() {
            let job = &mut self.active[index];
            job.advance(&mut progress);
            if !job.is_done() {
                index += 1;
                continue;
            }
            let job = self.active.remove(index);
            progress.finished.push(self.finish(job));
        }
        progress
    }

    fn fill_batch(&mut self, now: Duration) {
        while self.active.len() < MAX_BATCH {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.cache.pin(work.program, work.prompt + work.output);
            let cached = cached.min(work.prompt);
            self.active.push(Active {
                started: now,
                cached,
                // The last token of a prompt is always computed.
                prefill_left: (work.prompt - cached).max(1),
                generated: 0,
                chunk: 0,
                work,
            });
        }
    }

    fn finish(&mut self, job: Active) -> FinishedJob {
        let tokens = job.work.prompt + job.generated;
        self.cache.unpin(job.work.program, tokens);
        FinishedJob {
            failed: job.work.fail_after.is_some(),
            started: job.started,
            cached: job.cached,
            work: job.work,
        }
    }
}

impl Active {
    fn advance(&mut self, progress: &mut Progress) {
        if self.prefill_left > 0 {
            self.prefill_left -= self.chunk;
            if self.prefill_left == 0 {
                self.generated = 1;
                progress.prefilled.push(self.work.attempt);
            }
        } else {
            self.generated += 1;
        }
    }

    fn is_done(&self) -> bool {
        let until = self.work.fail_after.unwrap_or(self.work.output);
        self.prefill_left == 0 && self.generated >= until
    }
}

impl Cache {
    pub fn cached_tokens(&self, program: usize) -> id::Tokens {
        self.prefixes
            .get(&program)
            .map_or(0, |prefix| prefix.tokens)
    }

    /// Pins the prefix of a starting job that needs `tokens` at its end; returns the tokens already
    /// cached.
    fn pin(&mut self, program: usize, tokens: id::Tokens) -> id::Tokens {
        let prefix = self.prefixes.entry(program).or_default();
        let held = prefix.tokens;
        prefix.pins += 1;
        self.by_last_use.remove(&prefix.last_used);
        self.resize(program, tokens.max(held));
        self.evict();
        held
    }

    fn unpin(&mut self, program: usize, tokens: id::Tokens) {
        self.clock += 1;
        let Some(prefix) = self.prefixes.get_mut(&program) else {
            return;
        };
        prefix.pins = prefix.pins.saturating_sub(1);
        prefix.last_used = self.clock;
        self.by_last_use.insert(self.clock, program);
        self.resize(program, tokens);
        self.evict();
    }

    /// Frees a program's prefix, unless a job uses it.
    pub fn free(&mut self, program: usize) {
        let Some(prefix) = self.prefixes.get(&program) else {
            return;
        };
        if prefix.pins == 0 {
            self.used -= prefix.tokens;
            self.by_last_use.remove(&prefix.last_used);
            self.prefixes.remove(&program);
        }
    }

    fn resize(&mut self, program: usize, tokens: id::Tokens) {
        if let Some(prefix) = self.prefixes.get_mut(&program) {
            self.used = self.used - prefix.tokens + tokens;
            prefix.tokens = tokens;
        }
    }

    fn evict(&mut self) {
        while self.used > CACHE_TOKENS {
            let Some((_, program)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some(prefix) = self.prefixes.remove(&program) {
                self.used -= prefix.tokens;
            }
            self.evicted.push(program);
        }
    }
}
