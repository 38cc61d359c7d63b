//! The order of turns at the side, before an engine that knows no priorities.
//!
//! *Load pattern:* short programs arrive among long ones, one team sends many at once, and now
//! and then a prompt of several hundred thousand tokens arrives among short turns.
//!
//! *Without it:* the engine runs turns as they arrive. A program of two turns waits behind
//! programs of fifty at each of its turns, a team that sends more gets more, and one long prefill
//! stretches every step of the batch.
//!
//! *Rule:* the queue holds all but a small window of turns back from the engine. Teams take turns
//! by weighted virtual time, charged with the engine time that they used; within a team the
//! program that has attained the least engine time goes first (least attained service, which needs
//! no foreknowledge of a program's length). A turn's rank is `attained + aging * arrival`: since
//! every waiting turn ages at the same rate, the rank is fixed at arrival, and a turn is
//! overtaken only by those that arrive within `attained_cap / aging` after it, so none starves.
//! At most one long prefill runs at a time. A turn that is suspected of crashing engines runs
//! alone.
//!
//! *Grounds:* with queues of seconds, p95 was 51 s by least attained service and 99 s in order of
//! arrival within a team (`docs/POLICY.md`, trials). An aging of 0.5 with a cap of 60 s lets nobody be
//! overtaken for longer than two minutes. A long prompt is one whose prefill takes as long as tens
//! of steps. Releasing short turns behind a long prefill was tried and made them wait longer.
//!
//! *Cost:* push, pop and remove are O(log n).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;

use crate::Refusal;
use crate::ewma;

/// How the queue orders and bounds its jobs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Most jobs waiting.
    pub capacity: usize,
    /// Part of the capacity from which a team is held to its share of it.
    pub contended: f64,
    /// Seconds of attained service that one second of waiting makes up for.
    pub aging: f64,
    /// Attained service beyond which programs rank alike.
    pub attained_cap: Duration,
    /// Prompt tokens to prefill from which a job counts as long.
    pub long_prompt: id::Tokens,
    /// Most prompt tokens in prefill together; a single job may exceed it.
    pub prefill: id::Tokens,
    /// Jobs that run together if the engine does not say.
    pub batch: u32,
    /// How long an emptied place in the engine may go unnoticed, in steps.
    pub notice_steps: f64,
    /// How long a job that must run alone waits before the engine is emptied for it.
    pub alone_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 10_000,
            contended: 0.5,
            aging: 0.5,
            attained_cap: Duration::from_secs(60),
            long_prompt: 16_384,
            prefill: 32_768,
            batch: 32,
            notice_steps: 2.0,
            alone_after: Duration::from_millis(500),
        }
    }
}

/// A turn that waits for the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The attempt.
    pub id: id::AttemptId,
    /// The team.
    pub team: id::TeamId,
    /// The team's share relative to others; 1.0 is usual.
    pub share: f64,
    /// Engine time that the program has attained so far.
    pub attained: Duration,
    /// Prompt tokens that the engine's cache lacks, as far as known.
    pub prompt_tokens: id::Tokens,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Runs alone in the engine.
    pub alone: bool,
}

/// What runs in the engine at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct Running {
    /// Jobs released and not finished.
    pub jobs: u32,
    /// Most jobs that the engine runs together; 0 if not known.
    pub batch: u32,
    /// Prompt tokens of released jobs whose first token has not come yet.
    pub prefill: id::Tokens,
    /// Of these jobs, those that are long.
    pub long: u32,
    /// Time of one engine step, smoothed; zero if not known.
    pub step: Duration,
    /// A job that runs alone is among them.
    pub alone: bool,
}

/// Rank within a team, in nanoseconds of attained service; ties go by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    aged: u128,
    seq: u64,
}

/// Virtual time of a team, in nanoseconds of engine time for a share of 1.
type Virtual = u128;

/// Whether a job's prefill is long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Size {
    Short,
    Long,
}

#[derive(Debug)]
struct Waiting {
    team: usize,
    rank: Rank,
    size: Size,
    alone: bool,
    tokens: id::Tokens,
    pushed: Duration,
    expires: Duration,
}

#[derive(Debug, Default)]
struct Team {
    share: f64,
    virtual_time: Virtual,
    jobs: [BTreeMap<Rank, id::AttemptId>; 2],
}

/// The waiting turns of one engine.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    jobs: HashMap<id::AttemptId, Waiting>,
    teams: Vec<Team>,
    names: HashMap<id::TeamId, usize>,
    idle: Vec<usize>,
    /// Teams with short and with long jobs, by virtual time.
    order: [BTreeSet<(Virtual, usize)>; 2],
    alone: BTreeSet<(Rank, id::AttemptId)>,
    expiry: BTreeSet<(Duration, id::AttemptId)>,
    /// Shares of teams with waiting jobs.
    shares: f64,
    /// Virtual time of the team served last.
    virtual_now: Virtual,
    seq: u64,
    /// Engine time of one job, smoothed, in seconds.
    service: f64,
    /// Time between releases while jobs wait, smoothed, in seconds.
    interval: f64,
    released: Option<Duration>,
    /// Time from push to release, smoothed, in seconds.
    waited: f64,
}

/// Weight of the newest sample in smoothed times.
const SMOOTHING: f64 = 0.1;
/// Engine time of a job before any was measured.
const FIRST_SERVICE: Duration = Duration::from_millis(500);

impl Queue {
    /// An empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            jobs: HashMap::new(),
            teams: Vec::new(),
            names: HashMap::new(),
            idle: Vec::new(),
            order: [BTreeSet::new(), BTreeSet::new()],
            alone: BTreeSet::new(),
            expiry: BTreeSet::new(),
            shares: 0.0,
            virtual_now: 0,
            seq: 0,
            service: FIRST_SERVICE.as_secs_f64(),
            interval: 0.0,
            released: None,
            waited: 0.0,
        }
    }

    /// Jobs waiting.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Time until a job pushed now would be released, if those before it go first.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.jobs.len() as f64 * self.interval)
    }

    /// Time from push to release of recent jobs, smoothed.
    pub fn recent_wait(&self) -> Duration {
        Duration::from_secs_f64(self.waited)
    }

    /// Adds a job, or refuses it at once.
    ///
    /// # Errors
    ///
    /// `QueueFull`, `ShareExceeded` or `DeadlineUnmeetable`, each with a time to retry; the job
    /// did not run.
    pub fn push(&mut self, now: Duration, job: Job) -> Result<(), Refusal> {
        if self.jobs.contains_key(&job.id) {
            return Ok(());
        }
        self.check(&job)?;
        let team = self.team(&job);
        let rank = self.rank(now, &job);
        let size = self.size(job.prompt_tokens);
        let waiting = Waiting {
            team,
            rank,
            size,
            alone: job.alone,
            tokens: job.prompt_tokens,
            pushed: now,
            expires: now.saturating_add(job.deadline),
        };
        self.expiry.insert((waiting.expires, job.id));
        if job.alone {
            self.alone.insert((rank, job.id));
        } else {
            self.enqueue(team, rank, size, job.id);
        }
        self.jobs.insert(job.id, waiting);
        Ok(())
    }

    /// Releases the next job into the engine, if there is room for one.
    pub fn pop(&mut self, now: Duration, running: &Running) -> Option<id::AttemptId> {
        if running.alone || running.jobs >= self.window(running) {
            return None;
        }
        if let Some(first) = self.alone.first().map(|(_, id)| *id) {
            let due = self.jobs[&first].pushed + self.options.alone_after <= now;
            let nothing_else = self.jobs.len() == self.alone.len();
            if due || nothing_else {
                // Nothing else is released until the engine is empty: otherwise the job would
                // wait for ever, because an engine in use is never empty by itself.
                return (running.jobs == 0).then(|| self.release(now, first));
            }
        }
        let id = self.next(running)?;
        Some(self.release(now, id))
    }

    /// Takes a waiting job out; false if it does not wait.
    pub fn remove(&mut self, id: id::AttemptId) -> bool {
        self.take(id).is_some()
    }

    /// Takes out the jobs whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<id::AttemptId> {
        let mut expired = Vec::new();
        while let Some(&(at, id)) = self.expiry.first() {
            if at > now {
                break;
            }
            self.take(id);
            expired.push(id);
        }
        expired
    }

    /// A released job of `team` left the engine after `engine` time there: corrects what its
    /// team was charged at the release.
    pub fn finished(&mut self, team: &id::TeamId, engine: Duration) {
        let charged = self.service;
        let used = engine.as_secs_f64();
        self.service = ewma(self.service, used, SMOOTHING);
        let Some(&index) = self.names.get(team) else {
            return;
        };
        let share = self.teams[index].share;
        let before = self.teams[index].virtual_time;
        let after = if used >= charged {
            before + nanos((used - charged) / share)
        } else {
            before.saturating_sub(nanos((charged - used) / share))
        };
        self.reorder(index, after);
    }

    fn check(&self, job: &Job) -> Result<(), Refusal> {
        let delay = self.delay();
        let refuse = |kind| {
            Err(Refusal {
                kind,
                retry_after: delay.max(Duration::from_millis(100)),
            })
        };
        if self.jobs.len() >= self.options.capacity {
            return refuse(error::Kind::QueueFull);
        }
        let contended = self.options.capacity as f64 * self.options.contended;
        if self.jobs.len() as f64 >= contended && self.exceeds_share(job) {
            return refuse(error::Kind::ShareExceeded);
        }
        if delay >= job.deadline {
            return refuse(error::Kind::DeadlineUnmeetable);
        }
        Ok(())
    }

    fn exceeds_share(&self, job: &Job) -> bool {
        let Some(&index) = self.names.get(&job.team) else {
            return false;
        };
        let team = &self.teams[index];
        let fair = self.options.capacity as f64 * team.share / self.shares.max(team.share);
        team.waiting() as f64 >= fair
    }

    fn rank(&mut self, now: Duration, job: &Job) -> Rank {
        self.seq += 1;
        let attained = job.attained.min(self.options.attained_cap).as_nanos();
        let arrival = now.mul_f64(self.options.aging).as_nanos();
        Rank {
            aged: attained + arrival,
            seq: self.seq,
        }
    }

    fn size(&self, tokens: id::Tokens) -> Size {
        if tokens >= self.options.long_prompt {
            Size::Long
        } else {
            Size::Short
        }
    }

    /// Jobs to keep in the engine: its batch, and as many more as finish before an emptied place
    /// is noticed and filled.
    fn window(&self, running: &Running) -> u32 {
        let batch = match running.batch {
            0 => self.options.batch,
            batch => batch,
        };
        let notice = running.step.as_secs_f64() * self.options.notice_steps;
        let slack = f64::from(batch) * notice / self.service.max(f64::EPSILON);
        batch + (slack.ceil() as u32).clamp(1, batch.max(1))
    }

    fn next(&self, running: &Running) -> Option<id::AttemptId> {
        let short = self.first(Size::Short);
        let long = match running.long {
            0 => self.first(Size::Long),
            _ => None,
        };
        let first = match (short, long) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        };
        let (_, _, id) = first?;
        let tokens = self.jobs[&id].tokens;
        let fits = running.prefill == 0 || running.prefill + tokens <= self.options.prefill;
        fits.then_some(id)
    }

    fn first(&self, size: Size) -> Option<(Virtual, Rank, id::AttemptId)> {
        let (time, team) = self.order[size as usize].first()?;
        let jobs = &self.teams[*team].jobs[size as usize];
        let (rank, id) = jobs.first_key_value()?;
        Some((*time, *rank, *id))
    }

    fn release(&mut self, now: Duration, id: id::AttemptId) -> id::AttemptId {
        let Some(waiting) = self.take(id) else {
            return id;
        };
        let waited = now.saturating_sub(waiting.pushed).as_secs_f64();
        self.waited = ewma(self.waited, waited, SMOOTHING);
        self.measure_interval(now);
        let team = &self.teams[waiting.team];
        self.virtual_now = self.virtual_now.max(team.virtual_time);
        let charged = team.virtual_time + nanos(self.service / team.share);
        self.reorder(waiting.team, charged);
        id
    }

    /// The interval counts only between releases with jobs left waiting; an idle time says
    /// nothing about how fast the engine takes jobs.
    fn measure_interval(&mut self, now: Duration) {
        if let Some(before) = self.released {
            let interval = now.saturating_sub(before).as_secs_f64();
            self.interval = ewma(self.interval, interval, SMOOTHING);
        }
        self.released = (!self.jobs.is_empty()).then_some(now);
    }

    fn take(&mut self, id: id::AttemptId) -> Option<Waiting> {
        let waiting = self.jobs.remove(&id)?;
        self.expiry.remove(&(waiting.expires, id));
        if waiting.alone {
            self.alone.remove(&(waiting.rank, id));
        } else {
            self.dequeue(&waiting);
        }
        if self.jobs.is_empty() {
            self.released = None;
        }
        Some(waiting)
    }

    fn enqueue(&mut self, index: usize, rank: Rank, size: Size, id: id::AttemptId) {
        let team = &mut self.teams[index];
        if team.waiting() == 0 {
            self.shares += team.share;
            // A team that was idle gets no credit for it, or it would hold all others up.
            team.virtual_time = team.virtual_time.max(self.virtual_now);
        }
        let jobs = &mut team.jobs[size as usize];
        if jobs.is_empty() {
            self.order[size as usize].insert((team.virtual_time, index));
        }
        jobs.insert(rank, id);
    }

    fn dequeue(&mut self, waiting: &Waiting) {
        let team = &mut self.teams[waiting.team];
        let jobs = &mut team.jobs[waiting.size as usize];
        jobs.remove(&waiting.rank);
        if jobs.is_empty() {
            let entry = (team.virtual_time, waiting.team);
            self.order[waiting.size as usize].remove(&entry);
        }
        if team.waiting() == 0 {
            self.shares -= team.share;
        }
    }

    fn reorder(&mut self, index: usize, virtual_time: Virtual) {
        let team = &mut self.teams[index];
        let before = std::mem::replace(&mut team.virtual_time, virtual_time);
        for (jobs, order) in team.jobs.iter().zip(&mut self.order) {
            if !jobs.is_empty() {
                order.remove(&(before, index));
                order.insert((virtual_time, index));
            }
        }
    }

    fn team(&mut self, job: &Job) -> usize {
        if let Some(&index) = self.names.get(&job.team) {
            self.set_share(index, job.share);
            return index;
        }
        self.drop_idle();
        let team = Team {
            share: job.share.max(MIN_SHARE),
            virtual_time: self.virtual_now,
            ..Team::default()
        };
        let index = match self.idle.pop() {
            Some(index) => {
                self.teams[index] = team;
                index
            }
            None => {
                self.teams.push(team);
                self.teams.len() - 1
            }
        };
        self.names.insert(job.team.clone(), index);
        index
    }

    fn set_share(&mut self, index: usize, share: f64) {
        let share = share.max(MIN_SHARE);
        let team = &mut self.teams[index];
        if team.waiting() > 0 {
            self.shares += share - team.share;
        }
        team.share = share;
    }

    /// Forgets teams that wait for nothing once there are many; their virtual time is behind the
    /// present one by then, so they lose no claim.
    fn drop_idle(&mut self) {
        if self.names.len() < MAX_IDLE || !self.names.len().is_power_of_two() {
            return;
        }
        let now = self.virtual_now;
        let (teams, idle) = (&self.teams, &mut self.idle);
        self.names.retain(|_, index| {
            let team = &teams[*index];
            let keep = team.waiting() > 0 || team.virtual_time > now;
            if !keep {
                idle.push(*index);
            }
            keep
        });
    }
}

/// Least share, so that a share of zero cannot divide by zero.
const MIN_SHARE: f64 = 0.001;
/// Teams from which idle ones are forgotten.
const MAX_IDLE: usize = 1_024;

impl Team {
    fn waiting(&self) -> usize {
        self.jobs.iter().map(BTreeMap::len).sum()
    }
}

fn nanos(seconds: f64) -> u128 {
    Duration::from_secs_f64(seconds.max(0.0)).as_nanos()
}
