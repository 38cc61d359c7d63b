//! What the engine's cache holds of each program, and the log of its changes for entries.

use std::collections::HashMap;
use std::collections::VecDeque;

use fw_base::id;
use fw_wire::side;
use parking_lot::Mutex;

/// Changes kept for entries that have not seen them yet.
const MAX_LOG: usize = 8_192;

/// Most changes in one heartbeat's answer; the rest follows with the next.
const MAX_REPLY: usize = 1_024;

/// Changes that an entry has not seen yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Since {
    /// Sequence number after the changes.
    pub seq: u64,
    /// The changes start anew: what was known before is void.
    pub reset: bool,
    /// The changes.
    pub changes: Vec<side::CacheChange>,
}

#[derive(Debug, Default)]
struct Inner {
    held: HashMap<id::ProgramId, id::Tokens>,
    log: VecDeque<side::CacheChange>,
    /// Sequence number of the newest change.
    seq: u64,
    /// Entries that have seen less than this start anew.
    valid_from: u64,
}

/// The view of the engine's cache.
#[derive(Debug, Default)]
pub struct Changes {
    inner: Mutex<Inner>,
}

impl Changes {
    /// Notes that the cache holds `tokens` of `program`.
    pub fn note(&self, program: &id::ProgramId, tokens: id::Tokens) {
        let mut inner = self.inner.lock();
        let before = inner.held.get(program).copied().unwrap_or(0);
        if before == tokens {
            return;
        }
        if tokens == 0 {
            inner.held.remove(program);
        } else {
            inner.held.insert(program.clone(), tokens);
        }
        inner.seq += 1;
        inner.log.push_back(side::CacheChange {
            program: program.clone(),
            tokens,
        });
        if inner.log.len() > MAX_LOG {
            inner.log.pop_front();
        }
    }

    /// Forgets everything: the engine lost its cache, or events are missing.
    pub fn reset(&self) {
        let mut inner = self.inner.lock();
        inner.held.clear();
        inner.log.clear();
        inner.seq += 1;
        inner.valid_from = inner.seq;
    }

    /// Tokens held of `program`, as far as known.
    pub fn held(&self, program: &id::ProgramId) -> id::Tokens {
        self.inner.lock().held.get(program).copied().unwrap_or(0)
    }

    /// What an entry that has seen `seen` does not know yet.
    ///
    /// An entry that is new, is ahead (the side restarted) or fell behind the log starts anew.
    pub fn since(&self, seen: u64) -> Since {
        let inner = self.inner.lock();
        let oldest = inner.seq - inner.log.len() as u64;
        let behind = seen < inner.valid_from || seen < oldest;
        if seen == 0 || behind || seen > inner.seq {
            return inner.anew();
        }
        let unseen = inner.log.iter().skip((seen - oldest) as usize);
        let changes: Vec<_> = unseen.take(MAX_REPLY).cloned().collect();
        Since {
            seq: seen + changes.len() as u64,
            reset: false,
            changes,
        }
    }
}

impl Inner {
    fn anew(&self) -> Since {
        let change = |(program, tokens): (&id::ProgramId, &id::Tokens)| side::CacheChange {
            program: program.clone(),
            tokens: *tokens,
        };
        Since {
            seq: self.seq,
            reset: true,
            changes: self.held.iter().map(change).collect(),
        }
    }
}
