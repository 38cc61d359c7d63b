//! Turns that this entry has seen lately, so that a chain is rarely read from the replicas.
//!
//! A finished turn never changes, so what is here is never stale.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use fw_replica::record;
use parking_lot::Mutex;

/// Bytes kept. A chain is some ten kilobytes, so this holds the last hundred or so programs.
const MAX_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Inner {
    turns: HashMap<record::TurnId, Arc<record::Turn>>,
    order: VecDeque<record::TurnId>,
    bytes: usize,
}

/// The cache.
#[derive(Debug, Default)]
pub struct TurnCache {
    inner: Mutex<Inner>,
}

/// As much of a chain as is here.
#[derive(Debug)]
pub struct Chain {
    /// Turns from the newest to the oldest.
    pub turns: Vec<Arc<record::Turn>>,
    /// The first one on the way that is not here.
    pub missing: Option<record::TurnId>,
}

impl TurnCache {
    /// The chain that ends with `newest`.
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

    /// Keeps `turn`, and drops the oldest if there is no room.
    pub fn put(&self, turn: Arc<record::Turn>) {
        let mut inner = self.inner.lock();
        let size = size(&turn);
        if inner.turns.contains_key(&turn.id) || size > MAX_BYTES / 4 {
            return;
        }
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
