//! Cache affinity: the upstream that ran the last turn of a session.
//!
//! *Load pattern:* a session's turns come in through several entries, and a program starts
//! sub-agents whose prompts share a prefix with its own. The engine that ran the last turn has its
//! prompt in the KV cache.
//!
//! *Without it:* an entry has only its own turns to go by. Two turns of five came in through
//! another entry than the one before; each was sent to an arbitrary upstream, which prefilled the
//! whole prompt again.

use lru::LruCache;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::prefix;

/// Most sessions, and most programs, in the table: those of a minute at a hundred new ones a
/// second, in about a megabyte. The least recently used goes first.
const CAPACITY: usize = 8_192;

/// Short hash of an upstream's id. Two of a few hundred may share one; a call may then miss the
/// cache, nothing worse.
pub type Upstream = u16;

/// No upstream. Recorded for a turn that failed, as no upstream then has its prompt.
pub const NO_UPSTREAM: Upstream = 0;

/// Identifies the prompts that share a prefix with a turn's own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lineage {
    /// Its session, if that had a turn before.
    pub session: Option<SmolStr>,
    /// Its program, for the first turn of a session.
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
    /// The value recorded after a failed turn.
    pub const fn no_upstream() -> Self {
        Self {
            session: Some(NO_UPSTREAM),
            program: Some(NO_UPSTREAM),
        }
    }

    /// The upstream with the longest cached prefix of the prompt.
    pub fn preferred(self) -> Option<Upstream> {
        self.session.or(self.program)
    }

    /// `self`, with gaps filled from `other`.
    pub fn or(self, other: Self) -> Self {
        Self {
            session: self.session.or(other.session),
            program: self.program.or(other.program),
        }
    }
}

/// The upstream that ran a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Lineage of its prompt.
    pub lineage: Lineage,
    /// The upstream, or [`NO_UPSTREAM`].
    pub upstream: Upstream,
    /// The parts of its prompt; `None` while calls are not placed by them.
    pub prefix: Option<prefix::Report>,
}

/// The last upstreams of sessions and of programs, by their ids. Lost with the process, as they
/// only make calls faster.
#[derive(Debug)]
pub struct Table {
    sessions: Mutex<LruCache<SmolStr, Upstream>>,
    programs: Mutex<LruCache<SmolStr, Upstream>>,
}

impl Default for Table {
    fn default() -> Self {
        // Unbounded caches allocate nothing while empty; `put` bounds them.
        Self {
            sessions: Mutex::new(LruCache::unbounded()),
            programs: Mutex::new(LruCache::unbounded()),
        }
    }
}

impl Table {
    /// Records the upstream that ran a turn.
    pub fn record(&self, ran: &Location) {
        let last = LastUpstreams {
            session: Some(ran.upstream),
            program: Some(ran.upstream),
        };
        self.merge(&ran.lineage, last);
    }

    /// Merges the upstreams that another process has recorded for `lineage`.
    pub fn merge(&self, lineage: &Lineage, last: LastUpstreams) {
        put(&self.sessions, lineage.session.as_ref(), last.session);
        put(&self.programs, lineage.program.as_ref(), last.program);
    }

    /// The upstreams that last ran turns of `lineage`.
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
    if map.len() > CAPACITY {
        map.pop_lru();
    }
}

fn get(map: &Mutex<LruCache<SmolStr, Upstream>>, key: Option<&SmolStr>) -> Option<Upstream> {
    map.lock().get(key?).copied()
}
