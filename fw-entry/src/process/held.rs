//! Turns whose answers were given out while the store did not answer.
//!
//! They are in the memory of their keeper's shard as well, but that is dropped when another entry has
//! taken the shard. The successor asks for them before it serves (`connection::recover_entries`).

use std::collections::BTreeMap;
use std::collections::HashSet;

use fw_base::id;
use fw_wire::peer;
use fw_wire::side;
use parking_lot::Mutex;

/// Bytes of messages in one reply: a third of the largest message, which JSON may double.
const MAX_BYTES: usize = 8 << 20;

/// The turns, in the order in which a successor can take them.
#[derive(Debug, Default)]
pub struct Held {
    turns: Mutex<BTreeMap<peer::HeldCursor, side::Held>>,
}

impl Held {
    /// Adds a turn. To be called before its answer is given out.
    pub fn insert(&self, held: side::Held) {
        let place = (held.turn, held.attempt);
        self.turns.lock().insert(place, held);
    }

    /// Forgets a turn that is in the store, or with the next keeper.
    pub fn remove(&self, turn: id::Turn, attempt: id::AttemptId) {
        self.turns.lock().remove(&(turn, attempt));
    }

    /// The turns of `shards` that stand after `after`, as many as fit one reply.
    pub fn reply(
        &self,
        shards: &HashSet<id::ShardId>,
        after: Option<peer::HeldCursor>,
    ) -> side::HeldReply {
        let turns = self.turns.lock();
        let mut reply = side::HeldReply::default();
        let mut bytes = 0;
        for (place, held) in turns.iter() {
            let is_told = after.is_some_and(|after| *place <= after);
            if is_told || !shards.contains(&id::shard_of(&held.program)) {
                continue;
            }
            let texts = held.messages.iter().map(|message| message.as_str().len());
            bytes += texts.sum::<usize>() + held.finish.message.as_str().len();
            if bytes > MAX_BYTES && !reply.turns.is_empty() {
                reply.more = true;
                break;
            }
            reply.turns.push(held.clone());
        }
        reply
    }
}
