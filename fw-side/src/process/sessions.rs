//! Programs that hold engine memory, and the orders to free it.
//!
//! A session lives while some heartbeat renews its shard. An order to free is repeated until the
//! engine confirms it, so that a lost one holds no memory.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use parking_lot::Mutex;

use super::fences;

/// Most programs asked after in one heartbeat.
const MAX_IDLE_REPORTED: usize = 256;

/// Most shards named as not renewed in one heartbeat.
const MAX_UNRENEWED_REPORTED: usize = 512;

#[derive(Debug)]
struct Session {
    shard: id::ShardId,
    created_at: Instant,
    last_used_at: Instant,
    running: u32,
    /// Known from the engine only: its keeper is asked after it with the next heartbeat.
    unverified: bool,
    /// The program ended or moved while it ran: its memory is freed after the run.
    release_after_run: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    due_at: Instant,
    delay: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: HashMap<id::ProgramId, Session>,
    releases: HashMap<id::ProgramId, PendingRelease>,
}

/// Pauses between repeated orders.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The first.
    pub initial: Duration,
    /// The longest.
    pub max: Duration,
}

/// The sessions of one engine.
#[derive(Debug)]
pub struct Sessions {
    backoff: Backoff,
    inner: Mutex<Inner>,
}

impl Sessions {
    /// No sessions yet.
    pub fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            inner: Mutex::default(),
        }
    }

    /// Notes that a run of `program` begins in the engine.
    pub fn begin_run(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        // A waiting order to free would throw away what this run is about to use.
        inner.releases.remove(program);
        let session = inner.session(program, shard, now);
        session.last_used_at = now;
        session.unverified = false;
        session.release_after_run = false;
        session.running += 1;
    }

    /// Takes over a program whose memory the engine says it holds and that is not known here.
    ///
    /// Guards against a side that was restarted: it has no sessions, while the engine beside it
    /// still holds the memory of every program that ran before; and against a late event that tells
    /// of memory from before it was freed. Either program may have ended, so its keeper is asked.
    pub fn adopt(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        if !inner.releases.contains_key(program) {
            let session = inner.session(program, shard, now);
            session.unverified = session.running == 0 && session.created_at == now;
        }
    }

    /// The engine says that it holds nothing of `program`.
    pub fn record_eviction(&self, program: &id::ProgramId) {
        let mut inner = self.inner.lock();
        inner.releases.remove(program);
        if inner.sessions.get(program).is_some_and(|s| s.running == 0) {
            inner.sessions.remove(program);
        }
    }

    /// Notes that a run of `program` left the engine.
    pub fn end_run(&self, program: &id::ProgramId, now: Instant) {
        let mut inner = self.inner.lock();
        let Some(session) = inner.sessions.get_mut(program) else {
            return;
        };
        session.last_used_at = now;
        session.running = session.running.saturating_sub(1);
        if session.release_after_run && session.running == 0 {
            inner.release(program, now, self.backoff.initial);
        }
    }

    /// Orders that the memory of `program` is freed, once no run of it is under way.
    pub fn schedule_release(&self, program: &id::ProgramId, now: Instant) {
        let mut inner = self.inner.lock();
        let Some(session) = inner.sessions.get_mut(program) else {
            return;
        };
        session.release_after_run = true;
        if session.running == 0 {
            inner.release(program, now, self.backoff.initial);
        }
    }

    /// Frees every session whose shard was not renewed for `ttl`; returns how many.
    ///
    /// Guards against engine memory that stays held when a keeper dies and no other entry takes
    /// an interest in its programs: the free part of the cache would shrink for good.
    pub fn expire(&self, fences: &fences::Fences, ttl: Duration, now: Instant) -> usize {
        let expired: Vec<_> = {
            let inner = self.inner.lock();
            let is_expired = |session: &Session| {
                let age = now.saturating_duration_since(session.created_at);
                let renewed = fences.time_since_renewal(session.shard, now);
                age.min(renewed.unwrap_or(age)) > ttl
            };
            let sessions = inner.sessions.iter();
            sessions
                .filter(|(_, session)| session.running == 0 && is_expired(session))
                .map(|(program, _)| program.clone())
                .collect()
        };
        for program in &expired {
            self.schedule_release(program, now);
        }
        expired.len()
    }

    /// Idle programs of `shards`, to ask their keeper after. Each is asked after again only when
    /// `idle` has passed once more.
    pub fn take_idle(
        &self,
        shards: &HashSet<id::ShardId>,
        idle: Duration,
        now: Instant,
    ) -> Vec<id::ProgramId> {
        let mut inner = self.inner.lock();
        let mut reported = Vec::new();
        for (program, session) in &mut inner.sessions {
            let age = now.saturating_duration_since(session.last_used_at);
            let is_idle = session.unverified || age >= idle;
            if session.running > 0 || !is_idle || !shards.contains(&session.shard) {
                continue;
            }
            session.last_used_at = now;
            session.unverified = false;
            reported.push(program.clone());
            if reported.len() == MAX_IDLE_REPORTED {
                break;
            }
        }
        reported
    }

    /// Shards with sessions that no heartbeat renewed within the last `within`.
    pub fn unrenewed_shards(
        &self,
        fences: &fences::Fences,
        within: Duration,
        now: Instant,
    ) -> Vec<id::ShardId> {
        let inner = self.inner.lock();
        let shards: HashSet<_> = inner.sessions.values().map(|s| s.shard).collect();
        let is_overdue = |shard: &id::ShardId| {
            fences
                .time_since_renewal(*shard, now)
                .is_none_or(|age| age > within)
        };
        let overdue = shards.into_iter().filter(is_overdue);
        overdue.take(MAX_UNRENEWED_REPORTED).collect()
    }

    /// Programs whose memory is to be freed now. Each is due again after a growing pause, until
    /// [`Sessions::freed`] confirms it.
    pub fn due_releases(&self, now: Instant) -> Vec<id::ProgramId> {
        let mut inner = self.inner.lock();
        let max = self.backoff.max;
        let releases = inner.releases.iter_mut();
        let due = releases.filter(|(_, release)| release.due_at <= now);
        due.map(|(program, release)| {
            release.due_at = now + release.delay;
            release.delay = (release.delay * 2).min(max);
            program.clone()
        })
        .collect()
    }

    /// The engine confirmed that it freed the memory of `program`.
    pub fn confirm_release(&self, program: &id::ProgramId) {
        self.inner.lock().releases.remove(program);
    }

    /// The engine lost all its memory: there is nothing left to free.
    pub fn clear_idle(&self) {
        let mut inner = self.inner.lock();
        inner.releases.clear();
        inner.sessions.retain(|_, session| session.running > 0);
    }

    /// Sessions held.
    pub fn len(&self) -> usize {
        self.inner.lock().sessions.len()
    }

    /// Whether no session is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Orders to free that the engine has not confirmed.
    pub fn unconfirmed_releases(&self) -> usize {
        self.inner.lock().releases.len()
    }
}

impl Inner {
    fn session(
        &mut self,
        program: &id::ProgramId,
        shard: id::ShardId,
        now: Instant,
    ) -> &mut Session {
        let new_session = || Session {
            shard,
            created_at: now,
            last_used_at: now,
            running: 0,
            unverified: false,
            release_after_run: false,
        };
        self.sessions
            .entry(program.clone())
            .or_insert_with(new_session)
    }

    fn release(&mut self, program: &id::ProgramId, now: Instant, delay: Duration) {
        self.sessions.remove(program);
        let release = PendingRelease { due_at: now, delay };
        self.releases.insert(program.clone(), release);
    }
}
