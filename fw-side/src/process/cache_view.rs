//! What the engine's cache holds of each program, and the log of its changes for entries.

use std::collections::HashMap;
use std::collections::VecDeque;

use fw_base::id;
use fw_wire::side;
use parking_lot::Mutex;

/// Changes kept for entries that have not seen them yet.
const MAX_LOG_LEN: usize = 8_192;

/// Most changes in one heartbeat's answer; the rest follows with the next.
const MAX_REPLY_CHANGES: usize = 1_024;

/// Changes that an entry has not seen yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Sequence number after the changes.
    pub seq: u64,
    /// The changes start anew: what was known before is void.
    pub reset: bool,
    /// The changes.
    pub changes: Vec<side::CacheChange>,
}

#[derive(Debug, Default)]
struct Inner {
    cached: HashMap<id::ProgramId, id::Tokens>,
    log: VecDeque<side::CacheChange>,
    /// Sequence number of the newest change.
    seq: u64,
    /// Entries that have seen less than this start anew.
    valid_from: u64,
}

/// The view of the engine's cache.
#[derive(Debug, Default)]
pub struct CacheView {
    inner: Mutex<Inner>,
}

impl CacheView {
    /// Notes that the cache holds `tokens` of `program`.
    pub fn set_cached(&self, program: &id::ProgramId, tokens: id::Tokens) {
        let mut inner = self.inner.lock();
        let before = inner.cached.get(program).copied().unwrap_or(0);
        if before == tokens {
            return;
        }
        if tokens == 0 {
            inner.cached.remove(program);
        } else {
            inner.cached.insert(program.clone(), tokens);
        }
        inner.seq += 1;
        inner.log.push_back(side::CacheChange {
            program: program.clone(),
            tokens,
        });
        if inner.log.len() > MAX_LOG_LEN {
            inner.log.pop_front();
        }
    }

    /// Forgets everything: the engine lost its cache, or events are missing.
    pub fn reset(&self) {
        let mut inner = self.inner.lock();
        inner.cached.clear();
        inner.log.clear();
        inner.seq += 1;
        inner.valid_from = inner.seq;
    }

    /// Tokens held of `program`, as far as known.
    pub fn cached_tokens(&self, program: &id::ProgramId) -> id::Tokens {
        self.inner.lock().cached.get(program).copied().unwrap_or(0)
    }

    /// What an entry that has seen `seen` does not know yet.
    ///
    /// An entry that is new, is ahead (the side restarted) or fell behind the log starts anew.
    pub fn changes_since(&self, seen: u64) -> Delta {
        let inner = self.inner.lock();
        let oldest = inner.seq - inner.log.len() as u64;
        let is_behind = seen < inner.valid_from || seen < oldest;
        if seen == 0 || is_behind || seen > inner.seq {
            return inner.full();
        }
        let unseen = inner.log.iter().skip((seen - oldest) as usize);
        let changes: Vec<_> = unseen.take(MAX_REPLY_CHANGES).cloned().collect();
        Delta {
            seq: seen + changes.len() as u64,
            reset: false,
            changes,
        }
    }
}

impl Inner {
    fn full(&self) -> Delta {
        let change = |(program, tokens): (&id::ProgramId, &id::Tokens)| side::CacheChange {
            program: program.clone(),
            tokens: *tokens,
        };
        Delta {
            seq: self.seq,
            reset: true,
            changes: self.cached.iter().map(change).collect(),
        }
    }
}
