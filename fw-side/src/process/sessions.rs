//! Sessions: programs that hold KV cache in the engine, and the pending releases of that cache.
//!
//! A session lives while heartbeats renew its shard. A release is repeated until the engine
//! confirms it, so that a lost request does not leak cache.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use parking_lot::Mutex;

use super::fences;

/// Maximum number of idle programs reported in one heartbeat.
const MAX_IDLE_REPORTED: usize = 256;

/// Maximum number of unrenewed shards reported in one heartbeat.
const MAX_UNRENEWED_REPORTED: usize = 512;

#[derive(Debug)]
struct Session {
    shard: id::ShardId,
    created_at: Instant,
    last_used_at: Instant,
    running: u32,
    /// Reported only by the engine; the next heartbeat reply asks its keeper whether it exists.
    unverified: bool,
    /// The program ended or moved during a run: its cache is released after the run.
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

/// Delays between repeated releases.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Delay before the first repetition.
    pub initial: Duration,
    /// Maximum delay.
    pub max: Duration,
}

/// The sessions of one engine.
#[derive(Debug)]
pub struct Sessions {
    backoff: Backoff,
    inner: Mutex<Inner>,
}

impl Sessions {
    /// Creates an empty table.
    pub fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            inner: Mutex::default(),
        }
    }

    /// Records that a run of `program` begins in the engine.
    pub fn begin_run(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        // A pending release would evict the cache that this run is about to use.
        inner.releases.remove(program);
        let session = inner.session(program, shard, now);
        session.last_used_at = now;
        session.unverified = false;
        session.release_after_run = false;
        session.running += 1;
    }

    /// Adds a session for a program that the engine reports as cached and that has none here.
    ///
    /// Guards against a restart of the side, after which it has no sessions while the engine still
    /// caches every program that ran before; and against a delayed event that reports cache from
    /// before its release. In both cases the program may have ended, so its keeper is asked.
    pub fn adopt(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        if !inner.releases.contains_key(program) {
            let session = inner.session(program, shard, now);
            session.unverified = session.running == 0 && session.created_at == now;
        }
    }

    /// Records that the engine no longer caches `program`.
    pub fn record_eviction(&self, program: &id::ProgramId) {
        let mut inner = self.inner.lock();
        inner.releases.remove(program);
        if inner.sessions.get(program).is_some_and(|s| s.running == 0) {
            inner.sessions.remove(program);
        }
    }

    /// Records that a run of `program` left the engine.
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

    /// Schedules the release of `program`'s cache, once no run of it is in progress.
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

    /// Releases every session whose shard was not renewed for `ttl`. Returns their number.
    ///
    /// Guards against a cache leak when a keeper dies and no other entry takes over its programs:
    /// the free part of the cache would shrink permanently.
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

    /// Idle programs of `shards`, whose keepers are to be asked whether they still exist. Each is
    /// returned again only after `idle` has passed once more.
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

    /// Shards with sessions that were not renewed within the last `within`.
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

    /// Programs whose cache is to be released now. Each is due again after an increasing delay,
    /// until [`Sessions::confirm_release`] is called.
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

    /// Records that the engine confirmed the release of `program`'s cache.
    pub fn confirm_release(&self, program: &id::ProgramId) {
        self.inner.lock().releases.remove(program);
    }

    /// Removes all releases and idle sessions after the engine lost its cache.
    pub fn clear_idle(&self) {
        let mut inner = self.inner.lock();
        inner.releases.clear();
        inner.sessions.retain(|_, session| session.running > 0);
    }

    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.inner.lock().sessions.len()
    }

    /// Whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of releases that the engine has not confirmed.
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
