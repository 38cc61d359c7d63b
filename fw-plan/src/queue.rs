//! The wait queue at the side, before an engine without priorities.
//!
//! *Load pattern:* short programs arrive among long ones, one team sends many turns at once, and
//! occasionally a prompt of several hundred thousand tokens arrives among short turns.
//!
//! *Without it:* the engine runs turns in order of arrival. A program of two turns waits behind
//! programs of fifty at each of its turns, a team that sends more gets more, and one long prefill
//! lengthens every step of the batch.
//!
//! *Rule:* the queue releases only a small window of turns into the engine and holds back the rest.
//! Teams are served by weighted virtual time, charged with the engine time that they used. Within a
//! team, the program with the least attained engine time goes first (least attained service, which
//! needs no advance knowledge of a program's length). A turn's rank is `attained + aging *
//! arrival`: since every waiting turn ages at the same rate, the rank is fixed at arrival. Only
//! turns that arrive within `attained_cap / aging` after a turn can overtake it, so none starves.
//! At most one long prefill runs at a time. A turn suspected of crashing engines runs alone.
//!
//! *Grounds:* with queues of seconds, p95 was 51 s by least attained service and 99 s in order of
//! arrival within a team (`docs/POLICY.md`, trials). With an aging of 0.5 and a cap of 60 s, no
//! turn is overtaken for longer than two minutes. A prompt counts as long if its prefill takes as
//! long as tens of steps. Releasing short turns behind a long prefill was tried and made them wait
//! longer.
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

/// Parameters of the order and the bounds of the queue.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest number of waiting jobs.
    pub capacity: usize,
    /// Fraction of the capacity from which a team is limited to its share.
    pub contention_threshold: f64,
    /// Seconds of attained service that one second of waiting offsets.
    pub aging: f64,
    /// Attained service beyond which programs have the same rank.
    pub attained_cap: Duration,
    /// Uncached prompt tokens from which a job counts as long.
    pub long_prompt: id::Tokens,
    /// Largest number of prompt tokens in prefill at once; a single job may exceed it.
    pub max_prefill: id::Tokens,
    /// Batch size if the engine does not report one.
    pub default_batch: u32,
    /// Time until a free slot in the engine is noticed and refilled, in steps.
    pub refill_steps: f64,
    /// Time that a job which must run alone waits before the engine is drained for it.
    pub drain_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 10_000,
            contention_threshold: 0.5,
            aging: 0.5,
            attained_cap: Duration::from_secs(60),
            long_prompt: 16_384,
            max_prefill: 32_768,
            default_batch: 32,
            refill_steps: 2.0,
            drain_after: Duration::from_millis(500),
        }
    }
}

/// A turn waiting for the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The attempt.
    pub id: id::AttemptId,
    /// The team.
    pub team: id::TeamId,
    /// Weight of the team's share relative to other teams; 1.0 by default.
    pub share: f64,
    /// Engine time that the program has used so far.
    pub attained: Duration,
    /// Prompt tokens missing in the engine's cache, as far as known.
    pub prompt_tokens: id::Tokens,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Whether the job must run alone in the engine.
    pub alone: bool,
}

/// State of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Running {
    /// Jobs released and not finished.
    pub jobs: u32,
    /// Largest batch of the engine; 0 if unknown.
    pub batch: u32,
    /// Prompt tokens of released jobs that have not produced their first token.
    pub prefill: id::Tokens,
    /// Number of long jobs among these.
    pub long: u32,
    /// Time of one engine step, smoothed; zero if unknown.
    pub step: Duration,
    /// Whether a job that must run alone is running.
    pub alone: bool,
}

/// Rank within a team, in nanoseconds of attained service. Ties are broken by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    aged_service: u128,
    seq: u64,
}

/// Virtual time of a team, in nanoseconds of engine time for a share of 1.
type VirtualTime = u128;

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
    virtual_time: VirtualTime,
    jobs: [BTreeMap<Rank, id::AttemptId>; 2],
}

/// The waiting turns of one engine.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    jobs: HashMap<id::AttemptId, Waiting>,
    teams: Vec<Team>,
    team_indices: HashMap<id::TeamId, usize>,
    free_indices: Vec<usize>,
    /// Teams with short and with long jobs, in order of virtual time.
    by_virtual_time: [BTreeSet<(VirtualTime, usize)>; 2],
    alone: BTreeSet<(Rank, id::AttemptId)>,
    expiry: BTreeSet<(Duration, id::AttemptId)>,
    /// Sum of the shares of teams with waiting jobs.
    total_share: f64,
    /// Virtual time of the team served last.
    virtual_now: VirtualTime,
    seq: u64,
    /// Engine time of one job, smoothed, in seconds.
    job_time: f64,
    /// Time between releases while jobs are waiting, smoothed, in seconds.
    release_interval: f64,
    last_release: Option<Duration>,
    /// Time from push to release, smoothed, in seconds.
    mean_wait: f64,
}

/// Weight of the newest sample in smoothed times.
const SMOOTHING: f64 = 0.1;
/// Engine time of a job before the first measurement.
const DEFAULT_JOB_TIME: Duration = Duration::from_millis(500);

impl Queue {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            jobs: HashMap::new(),
            teams: Vec::new(),
            team_indices: HashMap::new(),
            free_indices: Vec::new(),
            by_virtual_time: [BTreeSet::new(), BTreeSet::new()],
            alone: BTreeSet::new(),
            expiry: BTreeSet::new(),
            total_share: 0.0,
            virtual_now: 0,
            seq: 0,
            job_time: DEFAULT_JOB_TIME.as_secs_f64(),
            release_interval: 0.0,
            last_release: None,
            mean_wait: 0.0,
        }
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Expected time until release of a job pushed now, if all waiting jobs go first.
    pub fn expected_delay(&self) -> Duration {
        Duration::from_secs_f64(self.jobs.len() as f64 * self.release_interval)
    }

    /// Time from push to release of recent jobs, smoothed.
    pub fn recent_wait(&self) -> Duration {
        Duration::from_secs_f64(self.mean_wait)
    }

    /// Adds a job, or refuses it at once.
    ///
    /// # Errors
    ///
    /// `QueueFull`, `ShareExceeded` or `DeadlineUnmeetable`, each with a time to retry. The job did
    /// not run.
    pub fn push(&mut self, now: Duration, job: Job) -> Result<(), Refusal> {
        if self.jobs.contains_key(&job.id) {
            return Ok(());
        }
        self.check_admission(&job)?;
        let team = self.intern_team(&job);
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
            let due = self.jobs[&first].pushed + self.options.drain_after <= now;
            let nothing_else = self.jobs.len() == self.alone.len();
            if due || nothing_else {
                // Nothing else is released until the engine is empty: an engine in use never
                // becomes empty by itself, and the job would wait forever.
                return (running.jobs == 0).then(|| self.release(now, first));
            }
        }
        let id = self.next_job(running)?;
        Some(self.release(now, id))
    }

    /// Removes a waiting job; returns false if it is not waiting.
    pub fn remove(&mut self, id: id::AttemptId) -> bool {
        self.take(id).is_some()
    }

    /// Removes and returns the jobs whose deadline has passed.
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

    /// Records that a released job of `team` left the engine after `engine_time` there, and
    /// corrects what the team was charged at the release.
    pub fn finished(&mut self, team: &id::TeamId, engine_time: Duration) {
        let charged = self.job_time;
        let used = engine_time.as_secs_f64();
        self.job_time = ewma(self.job_time, used, SMOOTHING);
        let Some(&index) = self.team_indices.get(team) else {
            return;
        };
        let share = self.teams[index].share;
        let before = self.teams[index].virtual_time;
        let after = if used >= charged {
            before + nanos((used - charged) / share)
        } else {
            before.saturating_sub(nanos((charged - used) / share))
        };
        self.set_virtual_time(index, after);
    }

    fn check_admission(&self, job: &Job) -> Result<(), Refusal> {
        let delay = self.expected_delay();
        let refuse = |kind| {
            Err(Refusal {
                kind,
                retry_after: delay.max(Duration::from_millis(100)),
            })
        };
        if self.jobs.len() >= self.options.capacity {
            return refuse(error::Kind::QueueFull);
        }
        let contended_from = self.options.capacity as f64 * self.options.contention_threshold;
        if self.jobs.len() as f64 >= contended_from && self.exceeds_share(job) {
            return refuse(error::Kind::ShareExceeded);
        }
        if delay >= job.deadline {
            return refuse(error::Kind::DeadlineUnmeetable);
        }
        Ok(())
    }

    fn exceeds_share(&self, job: &Job) -> bool {
        let Some(&index) = self.team_indices.get(&job.team) else {
            return false;
        };
        let team = &self.teams[index];
        let fair = self.options.capacity as f64 * team.share / self.total_share.max(team.share);
        team.waiting() as f64 >= fair
    }

    fn rank(&mut self, now: Duration, job: &Job) -> Rank {
        self.seq += 1;
        let attained = job.attained.min(self.options.attained_cap).as_nanos();
        let arrival = now.mul_f64(self.options.aging).as_nanos();
        Rank {
            aged_service: attained + arrival,
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

    /// Number of jobs to keep in the engine: its batch, and as many more as finish before a free
    /// slot is noticed and refilled.
    fn window(&self, running: &Running) -> u32 {
        let batch = match running.batch {
            0 => self.options.default_batch,
            batch => batch,
        };
        let refill_time = running.step.as_secs_f64() * self.options.refill_steps;
        let slack = f64::from(batch) * refill_time / self.job_time.max(f64::EPSILON);
        batch + (slack.ceil() as u32).clamp(1, batch.max(1))
    }

    fn next_job(&self, running: &Running) -> Option<id::AttemptId> {
        let short = self.first_job(Size::Short);
        let long = match running.long {
            0 => self.first_job(Size::Long),
            _ => None,
        };
        let first = match (short, long) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        };
        let (_, _, id) = first?;
        let tokens = self.jobs[&id].tokens;
        let fits = running.prefill == 0 || running.prefill + tokens <= self.options.max_prefill;
        fits.then_some(id)
    }

    fn first_job(&self, size: Size) -> Option<(VirtualTime, Rank, id::AttemptId)> {
        let (time, team) = self.by_virtual_time[size as usize].first()?;
        let jobs = &self.teams[*team].jobs[size as usize];
        let (rank, id) = jobs.first_key_value()?;
        Some((*time, *rank, *id))
    }

    fn release(&mut self, now: Duration, id: id::AttemptId) -> id::AttemptId {
        let Some(waiting) = self.take(id) else {
            return id;
        };
        let waited = now.saturating_sub(waiting.pushed).as_secs_f64();
        self.mean_wait = ewma(self.mean_wait, waited, SMOOTHING);
        self.update_release_interval(now);
        let team = &self.teams[waiting.team];
        self.virtual_now = self.virtual_now.max(team.virtual_time);
        let charged = team.virtual_time + nanos(self.job_time / team.share);
        self.set_virtual_time(waiting.team, charged);
        id
    }

    /// Measures only between releases with jobs left waiting; idle time says nothing about how fast
    /// the engine accepts jobs.
    fn update_release_interval(&mut self, now: Duration) {
        if let Some(before) = self.last_release {
            let interval = now.saturating_sub(before).as_secs_f64();
            self.release_interval = ewma(self.release_interval, interval, SMOOTHING);
        }
        self.last_release = (!self.jobs.is_empty()).then_some(now);
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
            self.last_release = None;
        }
        Some(waiting)
    }

    fn enqueue(&mut self, index: usize, rank: Rank, size: Size, id: id::AttemptId) {
        let team = &mut self.teams[index];
        if team.waiting() == 0 {
            self.total_share += team.share;
            // A team gets no credit for idle time, or it would block all others afterwards.
            team.virtual_time = team.virtual_time.max(self.virtual_now);
        }
        let jobs = &mut team.jobs[size as usize];
        if jobs.is_empty() {
            self.by_virtual_time[size as usize].insert((team.virtual_time, index));
        }
        jobs.insert(rank, id);
    }

    fn dequeue(&mut self, waiting: &Waiting) {
        let team = &mut self.teams[waiting.team];
        let jobs = &mut team.jobs[waiting.size as usize];
        jobs.remove(&waiting.rank);
        if jobs.is_empty() {
            let entry = (team.virtual_time, waiting.team);
            self.by_virtual_time[waiting.size as usize].remove(&entry);
        }
        if team.waiting() == 0 {
            self.total_share -= team.share;
        }
    }

    fn set_virtual_time(&mut self, index: usize, virtual_time: VirtualTime) {
        let team = &mut self.teams[index];
        let before = std::mem::replace(&mut team.virtual_time, virtual_time);
        for (jobs, by_virtual_time) in team.jobs.iter().zip(&mut self.by_virtual_time) {
            if !jobs.is_empty() {
                by_virtual_time.remove(&(before, index));
                by_virtual_time.insert((virtual_time, index));
            }
        }
    }

    fn intern_team(&mut self, job: &Job) -> usize {
        if let Some(&index) = self.team_indices.get(&job.team) {
            self.set_share(index, job.share);
            return index;
        }
        self.drop_idle_teams();
        let team = Team {
            share: job.share.max(MIN_SHARE),
            virtual_time: self.virtual_now,
            ..Team::default()
        };
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.teams[index] = team;
                index
            }
            None => {
                self.teams.push(team);
                self.teams.len() - 1
            }
        };
        self.team_indices.insert(job.team.clone(), index);
        index
    }

    fn set_share(&mut self, index: usize, share: f64) {
        let share = share.max(MIN_SHARE);
        let team = &mut self.teams[index];
        if team.waiting() > 0 {
            self.total_share += share - team.share;
        }
        team.share = share;
    }

    /// Forgets teams without waiting jobs once there are many. Only teams whose virtual time is not
    /// ahead of the current one are dropped, so they lose no claim and gain none.
    fn drop_idle_teams(&mut self) {
        if self.team_indices.len() < IDLE_SWEEP_THRESHOLD
            || !self.team_indices.len().is_power_of_two()
        {
            return;
        }
        let now = self.virtual_now;
        let (teams, idle) = (&self.teams, &mut self.free_indices);
        self.team_indices.retain(|_, index| {
            let team = &teams[*index];
            let keep = team.waiting() > 0 || team.virtual_time > now;
            if !keep {
                idle.push(*index);
            }
            keep
        });
    }
}

/// Smallest share; prevents a division by zero.
const MIN_SHARE: f64 = 0.001;
/// Number of teams from which idle ones are forgotten.
const IDLE_SWEEP_THRESHOLD: usize = 1_024;

impl Team {
    fn waiting(&self) -> usize {
        self.jobs.iter().map(BTreeMap::len).sum()
    }
}

fn nanos(seconds: f64) -> u128 {
    Duration::from_secs_f64(seconds.max(0.0)).as_nanos()
}
