//! Turns whose answers were delivered while the store did not answer.
//!
//! The shard's state in memory contains them as well, but it is dropped when another entry takes the
//! shard. The successor queries them before it serves (`connection::recover_entries`).

use std::collections::BTreeMap;
use std::collections::HashSet;

use fw_base::id;
use fw_wire::peer;
use fw_wire::side;
use parking_lot::Mutex;

/// Most bytes of messages in one reply: a third of the largest message on the wire, since JSON may
/// double their size.
const MAX_BYTES: usize = 8 << 20;

/// Held turns, in the order in which a successor can commit them.
#[derive(Debug, Default)]
pub struct HeldTurns {
    turns: Mutex<BTreeMap<peer::HeldCursor, side::Held>>,
}

impl HeldTurns {
    /// Adds a turn. To be called before its answer is delivered.
    pub fn insert(&self, held: side::Held) {
        let cursor = (held.turn, held.attempt);
        self.turns.lock().insert(cursor, held);
    }

    /// Removes a turn that is in the store or was accepted by the next keeper.
    pub fn remove(&self, turn: id::Turn, attempt: id::AttemptId) {
        self.turns.lock().remove(&(turn, attempt));
    }

    /// The turns of `shards` that come after `after`, as many as fit into one reply.
    pub fn reply(
        &self,
        shards: &HashSet<id::ShardId>,
        after: Option<peer::HeldCursor>,
    ) -> side::HeldReply {
        let turns = self.turns.lock();
        let mut reply = side::HeldReply::default();
        let mut bytes = 0;
        for (cursor, held) in turns.iter() {
            let is_reported = after.is_some_and(|after| *cursor <= after);
            if is_reported || !shards.contains(&id::shard_of(&held.program)) {
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
