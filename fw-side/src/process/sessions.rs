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
const MAX_ASKED: usize = 256;

/// Most shards named as not renewed in one heartbeat.
const MAX_UNRENEWED: usize = 512;

#[derive(Debug)]
struct Session {
    shard: id::ShardId,
    began: Instant,
    used: Instant,
    running: u32,
    /// Known from the engine only: its keeper is asked after it with the next heartbeat.
    in_doubt: bool,
    /// The program ended or moved while it ran: its memory is freed after the run.
    gone: bool,
}

#[derive(Clone, Copy, Debug)]
struct Order {
    due: Instant,
    pause: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: HashMap<id::ProgramId, Session>,
    orders: HashMap<id::ProgramId, Order>,
}

/// Pauses between repeated orders.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    /// The first.
    pub first: Duration,
    /// The longest.
    pub longest: Duration,
}

/// The sessions of one engine.
#[derive(Debug)]
pub struct Sessions {
    pauses: Pauses,
    inner: Mutex<Inner>,
}

impl Sessions {
    /// No sessions yet.
    pub fn new(pauses: Pauses) -> Self {
        Self {
            pauses,
            inner: Mutex::default(),
        }
    }

    /// Notes that a run of `program` begins in the engine.
    pub fn begin(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        // A waiting order to free would throw away what this run is about to use.
        inner.orders.remove(program);
        let session = inner.session(program, shard, now);
        session.used = now;
        session.in_doubt = false;
        session.gone = false;
        session.running += 1;
    }

    /// Takes over a program whose memory the engine says it holds and that is not known here.
    ///
    /// Guards against a side that was restarted: it has no sessions, while the engine beside it
    /// still holds the memory of every program that ran before; and against a late event that tells
    /// of memory from before it was freed. Either program may have ended, so its keeper is asked.
    pub fn adopt(&self, program: &id::ProgramId, shard: id::ShardId, now: Instant) {
        let mut inner = self.inner.lock();
        if !inner.orders.contains_key(program) {
            let session = inner.session(program, shard, now);
            session.in_doubt = session.running == 0 && session.began == now;
        }
    }

    /// The engine says that it holds nothing of `program`.
    pub fn evicted(&self, program: &id::ProgramId) {
        let mut inner = self.inner.lock();
        inner.orders.remove(program);
        if inner.sessions.get(program).is_some_and(|s| s.running == 0) {
            inner.sessions.remove(program);
        }
    }

    /// Notes that a run of `program` left the engine.
    pub fn end(&self, program: &id::ProgramId, now: Instant) {
        let mut inner = self.inner.lock();
        let Some(session) = inner.sessions.get_mut(program) else {
            return;
        };
        session.used = now;
        session.running = session.running.saturating_sub(1);
        if session.gone && session.running == 0 {
            inner.order(program, now, self.pauses.first);
        }
    }

    /// Orders that the memory of `program` is freed, once no run of it is under way.
    pub fn free(&self, program: &id::ProgramId, now: Instant) {
        let mut inner = self.inner.lock();
        let Some(session) = inner.sessions.get_mut(program) else {
            return;
        };
        session.gone = true;
        if session.running == 0 {
            inner.order(program, now, self.pauses.first);
        }
    }

    /// Frees every session whose shard was not renewed for `ttl`; returns how many.
    ///
    /// Guards against engine memory that stays held when a keeper dies and no other entry takes
    /// an interest in its programs: the free part of the cache would shrink for good.
    pub fn lapse(&self, fences: &fences::Fences, ttl: Duration, now: Instant) -> usize {
        let lapsed: Vec<_> = {
            let inner = self.inner.lock();
            let is_lapsed = |session: &Session| {
                let known = now.saturating_duration_since(session.began);
                let renewed = fences.age(session.shard, now);
                known.min(renewed.unwrap_or(known)) > ttl
            };
            let sessions = inner.sessions.iter();
            sessions
                .filter(|(_, session)| session.running == 0 && is_lapsed(session))
                .map(|(program, _)| program.clone())
                .collect()
        };
        for program in &lapsed {
            self.free(program, now);
        }
        lapsed.len()
    }

    /// Idle programs of `shards`, to ask their keeper after. Each is asked after again only when
    /// `idle` has passed once more.
    pub fn ask(
        &self,
        shards: &HashSet<id::ShardId>,
        idle: Duration,
        now: Instant,
    ) -> Vec<id::ProgramId> {
        let mut inner = self.inner.lock();
        let mut asked = Vec::new();
        for (program, session) in &mut inner.sessions {
            let age = now.saturating_duration_since(session.used);
            let is_idle = session.in_doubt || age >= idle;
            if session.running > 0 || !is_idle || !shards.contains(&session.shard) {
                continue;
            }
            session.used = now;
            session.in_doubt = false;
            asked.push(program.clone());
            if asked.len() == MAX_ASKED {
                break;
            }
        }
        asked
    }

    /// Shards with sessions that no heartbeat renewed within the last `within`.
    pub fn unrenewed(
        &self,
        fences: &fences::Fences,
        within: Duration,
        now: Instant,
    ) -> Vec<id::ShardId> {
        let inner = self.inner.lock();
        let shards: HashSet<_> = inner.sessions.values().map(|s| s.shard).collect();
        let is_old = |shard: &id::ShardId| fences.age(*shard, now).is_none_or(|age| age > within);
        let old = shards.into_iter().filter(is_old);
        old.take(MAX_UNRENEWED).collect()
    }

    /// Programs whose memory is to be freed now. Each is due again after a growing pause, until
    /// [`Sessions::freed`] confirms it.
    pub fn due(&self, now: Instant) -> Vec<id::ProgramId> {
        let mut inner = self.inner.lock();
        let longest = self.pauses.longest;
        let orders = inner.orders.iter_mut();
        let due = orders.filter(|(_, order)| order.due <= now);
        due.map(|(program, order)| {
            order.due = now + order.pause;
            order.pause = (order.pause * 2).min(longest);
            program.clone()
        })
        .collect()
    }

    /// The engine confirmed that it freed the memory of `program`.
    pub fn freed(&self, program: &id::ProgramId) {
        self.inner.lock().orders.remove(program);
    }

    /// The engine lost all its memory: there is nothing left to free.
    pub fn lost(&self) {
        let mut inner = self.inner.lock();
        inner.orders.clear();
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
    pub fn unconfirmed(&self) -> usize {
        self.inner.lock().orders.len()
    }
}

impl Inner {
    fn session(
        &mut self,
        program: &id::ProgramId,
        shard: id::ShardId,
        now: Instant,
    ) -> &mut Session {
        let fresh = || Session {
            shard,
            began: now,
            used: now,
            running: 0,
            in_doubt: false,
            gone: false,
        };
        self.sessions.entry(program.clone()).or_insert_with(fresh)
    }

    fn order(&mut self, program: &id::ProgramId, now: Instant, pause: Duration) {
        self.sessions.remove(program);
        let order = Order { due: now, pause };
        self.orders.insert(program.clone(), order);
    }
}
