//! Which upstream ran the last turn of a session.
//!
//! *Load pattern:* a session's turns come in through several entries, and a program starts
//! sub-agents whose prompts begin like its own. The engine that ran the last turn has its prompt in
//! the cache.
//!
//! *Without it:* an entry knows only what it sent itself. Two turns of five came in through another
//! entry than the one before; each was sent anywhere and its whole prompt read again.

use lru::LruCache;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Sessions and programs remembered: those of a minute at a hundred new ones a second, in about a
/// megabyte. The one not heard of for longest goes first.
const REMEMBERED: usize = 8_192;

/// Short hash of an upstream's id. Two of a few hundred may share one; a call then meets a cold
/// cache, no more.
pub type Upstream = u16;

/// No upstream: where a turn broke, none has its prompt.
pub const NO_UPSTREAM: Upstream = 0;

/// What a prompt begins like.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lineage {
    /// Its session, if that had a turn before.
    pub session: Option<SmolStr>,
    /// Its program, for sessions that begin.
    pub program: Option<SmolStr>,
}

/// The upstreams that ran the last turns of a lineage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastUpstreams {
    /// Of the session.
    pub session: Option<Upstream>,
    /// Of any session of the program.
    pub program: Option<Upstream>,
}

impl LastUpstreams {
    /// A turn broke where it ran.
    pub const fn no_upstream() -> Self {
        Self {
            session: Some(NO_UPSTREAM),
            program: Some(NO_UPSTREAM),
        }
    }

    /// The one that has most of the prompt in its cache.
    pub fn preferred(self) -> Option<Upstream> {
        self.session.or(self.program)
    }

    /// What this or `other` knows; this one goes first.
    pub fn or(self, other: Self) -> Self {
        Self {
            session: self.session.or(other.session),
            program: self.program.or(other.program),
        }
    }
}

/// A turn that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// What its prompt begins like.
    pub lineage: Lineage,
    /// Where it ran.
    pub upstream: Upstream,
}

/// The last upstreams of sessions and of programs, each by its id. Lost with the process, as it
/// only makes calls faster.
#[derive(Debug)]
pub struct Table {
    sessions: Mutex<LruCache<SmolStr, Upstream>>,
    programs: Mutex<LruCache<SmolStr, Upstream>>,
}

impl Default for Table {
    fn default() -> Self {
        // Unbounded ones take no memory before they hold something; `put` bounds them.
        Self {
            sessions: Mutex::new(LruCache::unbounded()),
            programs: Mutex::new(LruCache::unbounded()),
        }
    }
}

impl Table {
    /// Notes where a turn ran.
    pub fn record(&self, ran: &Location) {
        let last = LastUpstreams {
            session: Some(ran.upstream),
            program: Some(ran.upstream),
        };
        self.merge(&ran.lineage, last);
    }

    /// Takes what another knows of `lineage`.
    pub fn merge(&self, lineage: &Lineage, last: LastUpstreams) {
        put(&self.sessions, lineage.session.as_ref(), last.session);
        put(&self.programs, lineage.program.as_ref(), last.program);
    }

    /// Where the last turns of `lineage` ran.
    pub fn last_upstreams(&self, lineage: &Lineage) -> LastUpstreams {
        LastUpstreams {
            session: get(&self.sessions, lineage.session.as_ref()),
            program: get(&self.programs, lineage.program.as_ref()),
        }
    }
}

fn put(
    map: &Mutex<LruCache<SmolStr, Upstream>>,
    key: Option<&SmolStr>,
    upstream: Option<Upstream>,
) {
    let (Some(key), Some(upstream)) = (key, upstream) else {
        return;
    };
    let mut map = map.lock();
    map.put(key.clone(), upstream);
    if map.len() > REMEMBERED {
        map.pop_lru();
    }
}

fn get(map: &Mutex<LruCache<SmolStr, Upstream>>, key: Option<&SmolStr>) -> Option<Upstream> {
    map.lock().get(key?).copied()
}
