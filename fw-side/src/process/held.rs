//! Held answers: finished turns that are not durable yet.
//!
//! While the store is unavailable, both the keeper and the side hold a finished turn, so that it
//! survives the failure of either. These turns are missing from the journal that a keeper reads
//! when it takes over a shard, so it requests them from the sides.

use std::collections::HashSet;
use std::sync::Arc;

use fw_base::id;
use fw_wire::side;

use super::attempts;
use super::fences;

/// Maximum size in bytes of the messages in one reply: a third of the largest wire message, since
/// JSON escaping may double the size.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Maximum number of shards with held answers reported in one heartbeat.
const MAX_SHARDS_REPORTED: usize = 64;

/// Shards with answers of turns that were started by an earlier keeper than the current one.
pub fn shards(attempts: &attempts::Attempts, fences: &fences::Fences) -> Vec<id::ShardId> {
    let held = held(attempts, fences);
    let shards: HashSet<_> = held.iter().map(|held| held.start.shard).collect();
    shards.into_iter().take(MAX_SHARDS_REPORTED).collect()
}

/// Answers of turns that were started by an earlier keeper.
///
/// Answers of the current keeper's turns are excluded: it may be about to commit such a turn, and
/// would lose the answer if it were treated as a held one.
fn held(attempts: &attempts::Attempts, fences: &fences::Fences) -> Vec<Arc<attempts::Attempt>> {
    let mut held = attempts.completed();
    held.retain(|held| {
        let start = &held.start;
        !start.single && fences.is_stale(start.shard, start.fence)
    });
    held
}

/// The held answers of `shards`; those of one program are in the order of its turns.
pub fn reply(
    attempts: &attempts::Attempts,
    fences: &fences::Fences,
    shards: &HashSet<id::ShardId>,
) -> side::HeldReply {
    let mut held = held(attempts, fences);
    held.retain(|held| shards.contains(&held.start.shard));
    held.sort_by_key(|held| held.start.turn);
    let mut reply = side::HeldReply::default();
    let mut bytes = 0;
    for attempt in held {
        let texts = attempt.added.iter().map(|message| message.as_str().len());
        bytes += texts.sum::<usize>();
        if bytes > MAX_REPLY_BYTES && !reply.turns.is_empty() {
            reply.more = true;
            break;
        }
        reply.turns.extend(to_held(&attempt));
    }
    reply
}

fn to_held(attempt: &Arc<attempts::Attempt>) -> Option<side::Held> {
    let start = &attempt.start;
    Some(side::Held {
        attempt: start.attempt,
        program: start.program.clone(),
        team: start.team.clone(),
        turn: start.turn,
        model: start.model.clone(),
        params: Arc::clone(&start.params),
        base: start.committed,
        messages: attempt.added.clone(),
        finish: attempt.finish()?,
    })
}
