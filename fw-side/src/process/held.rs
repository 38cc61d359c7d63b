//! Answers that no keeper has made durable.
//!
//! While the store does not answer, a finished turn is held by its keeper and by the side, so that
//! either may die. A keeper that takes over a shard finds in the journal all but those turns, and
//! asks the sides for them.

use std::collections::HashSet;
use std::sync::Arc;

use fw_base::id;
use fw_wire::side;

use super::attempts;
use super::fences;

/// Bytes of messages in one reply: a third of the largest message, which JSON may double.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Shards of held answers named in one heartbeat.
const MAX_SHARDS_REPORTED: usize = 64;

/// Shards with answers held for an earlier keeper than the present one.
pub fn shards(attempts: &attempts::Attempts, fences: &fences::Fences) -> Vec<id::ShardId> {
    let held = held(attempts, fences);
    let shards: HashSet<_> = held.iter().map(|held| held.start.shard).collect();
    shards.into_iter().take(MAX_SHARDS_REPORTED).collect()
}

/// What was answered under a present keeper is that keeper's own matter: it may be about to commit
/// the turn, and would find it gone if the answer were taken for a held one.
fn held(attempts: &attempts::Attempts, fences: &fences::Fences) -> Vec<Arc<attempts::Attempt>> {
    let mut held = attempts.completed();
    held.retain(|held| {
        let start = &held.start;
        !start.single && fences.is_stale(start.shard, start.fence)
    });
    held
}

/// The held answers of `shards`, those of one program in the order of its turns.
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
