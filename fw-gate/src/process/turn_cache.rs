//! A cache of recently used turns, so that a chain is rarely read from the replicas.
//!
//! A finished turn never changes, so cached turns are never stale.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use fw_replica::record;
use parking_lot::Mutex;

/// Capacity in bytes. A chain has some ten kilobytes, so this holds about the last hundred programs.
const MAX_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Inner {
    turns: HashMap<record::TurnId, Arc<record::Turn>>,
    order: VecDeque<record::TurnId>,
    bytes: usize,
}

/// The cache; the turns that were added first are evicted first.
#[derive(Debug, Default)]
pub struct TurnCache {
    inner: Mutex<Inner>,
}

/// The cached part of a chain.
#[derive(Debug)]
pub struct Chain {
    /// Turns from the newest to the oldest.
    pub turns: Vec<Arc<record::Turn>>,
    /// The newest turn of the chain that is not cached; `None` if all are.
    pub missing: Option<record::TurnId>,
}

impl TurnCache {
    /// Returns the cached part of the chain whose newest turn is `newest`.
    pub fn chain(&self, newest: Option<&record::TurnId>) -> Chain {
        let inner = self.inner.lock();
        let mut turns = Vec::new();
        let mut wanted = newest.cloned();
        while let Some(id) = wanted {
            let Some(turn) = inner.turns.get(&id) else {
                return Chain {
                    turns,
                    missing: Some(id),
                };
            };
            wanted = turn.parent.clone();
            turns.push(Arc::clone(turn));
        }
        Chain {
            turns,
            missing: None,
        }
    }

    /// Bytes of the cached turns.
    pub fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }

    /// Caches `turn`, and evicts the oldest turns if the capacity is exceeded.
    pub fn put(&self, turn: Arc<record::Turn>) {
        let mut inner = self.inner.lock();
        let size = size(&turn);
        if inner.turns.contains_key(&turn.id) || size > MAX_BYTES / 4 {
            return;
        }
        // A part of a read buffer keeps all of it in memory, which would not be counted.
        let turn = Arc::new(record::Turn {
            input: Bytes::copy_from_slice(&turn.input),
            output: Bytes::copy_from_slice(&turn.output),
            ..record::Turn::clone(&turn)
        });
        inner.bytes += size;
        inner.order.push_back(turn.id.clone());
        inner.turns.insert(turn.id.clone(), turn);
        while inner.bytes > MAX_BYTES {
            let oldest = inner.order.pop_front();
            let Some(dropped) = oldest.and_then(|id| inner.turns.remove(&id)) else {
                break;
            };
            inner.bytes -= self::size(&dropped);
        }
    }
}

fn size(turn: &record::Turn) -> usize {
    turn.input.len() + turn.output.len() + 200
}
