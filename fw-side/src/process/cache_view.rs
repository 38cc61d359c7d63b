//! View of the engine's KV cache per program, with a change log from which entries update theirs.

use std::collections::HashMap;
use std::collections::VecDeque;

use fw_base::id;
use fw_wire::side;
use parking_lot::Mutex;

/// Maximum number of changes kept for entries that have not received them yet.
const MAX_LOG_LEN: usize = 8_192;

/// Maximum number of changes in one heartbeat reply; the rest follows in the next reply.
const MAX_REPLY_CHANGES: usize = 1_024;

/// Changes that an entry has not received yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Sequence number after the changes.
    pub seq: u64,
    /// The changes are a full snapshot: the entry must discard its previous view.
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
    /// Entries with a lower sequence number get a full snapshot.
    valid_from: u64,
}

/// The view of the engine's cache.
#[derive(Debug, Default)]
pub struct CacheView {
    inner: Mutex<Inner>,
}

impl CacheView {
    /// Records that the cache holds `tokens` of `program`.
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

    /// Clears the view after the engine lost its cache or events were missed.
    pub fn reset(&self) {
        let mut inner = self.inner.lock();
        inner.cached.clear();
        inner.log.clear();
        inner.seq += 1;
        inner.valid_from = inner.seq;
    }

    /// Number of cached tokens of `program`; 0 if there is no record of it.
    pub fn cached_tokens(&self, program: &id::ProgramId) -> id::Tokens {
        self.inner.lock().cached.get(program).copied().unwrap_or(0)
    }

    /// Returns the changes after sequence number `seen`.
    ///
    /// The reply is a full snapshot if the entry is new, is ahead (the side has restarted) or has
    /// fallen behind the log.
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
