//! Queries sides for the answered turns that they hold for a previous keeper.

use std::sync::Arc;

use fw_base::id;
use fw_keep::keeper;
use fw_plan::takeover;
use fw_wire::side;
use fw_wire::transport;

use super::recover;
use super::sides;
use crate::process::entry;
use crate::turn::upstream;

/// Most replies fetched in one run; the rest is fetched with the next heartbeat.
const MAX_REPLIES: usize = 16;

/// Heartbeats for which a held turn waits for an earlier one, which another side may hold.
const MAX_TRIES: u32 = 20;

/// Result of collecting the held turns of a side.
struct Collected {
    /// The side has reported all of them.
    is_complete: bool,
    /// Shards in which a turn before a held one is missing.
    gaps: Vec<id::ShardId>,
}

/// Fetches the turns of `shards` that `side` holds, and commits them.
pub async fn run(entry: Arc<entry::Entry>, side: Arc<sides::Side>, shards: Vec<id::ShardId>) {
    let collected = collect(&entry, &side, &shards).await;
    side.update(|state| {
        for shard in shards {
            let has_gap = collected.gaps.contains(&shard);
            state.record_collected(shard, !collected.is_complete, has_gap);
        }
    });
}

async fn collect(
    entry: &Arc<entry::Entry>,
    side: &Arc<sides::Side>,
    shards: &[id::ShardId],
) -> Collected {
    let mut gaps = Vec::new();
    for _ in 0..MAX_REPLIES {
        let Some(reply) = query(entry, side, shards).await else {
            break;
        };
        gaps.clear();
        let more = reply.more && !reply.turns.is_empty();
        let mut taken = Vec::new();
        for held in reply.turns {
            let (shard, attempt) = (entry.keeper.shard_of(&held.program), held.attempt);
            match recover::commit_held(entry, &side.instance.id, held) {
                recover::Recovery::Committed(ticket) => taken.push((attempt, ticket)),
                recover::Recovery::Gap => gaps.push(shard),
                recover::Recovery::NotKept => {}
            }
        }
        let forgotten = tokio::spawn(forget(Arc::clone(entry), Arc::clone(side), taken));
        if !more || !gaps.is_empty() {
            return Collected {
                is_complete: true,
                gaps,
            };
        }
        // The side reports the same turns until they are released. If releasing them fails, the next
        // reply contains them again.
        let _ended = forgotten.await;
    }
    Collected {
        is_complete: false,
        gaps,
    }
}

/// Lets the side drop turns once they are in the store. This may take long, so it runs in a task of
/// its own: the turns of other programs and the side's heartbeats must not wait for it.
async fn forget(
    entry: Arc<entry::Entry>,
    side: Arc<sides::Side>,
    taken: Vec<(id::AttemptId, keeper::Ticket)>,
) {
    for (attempt, ticket) in taken {
        // On failure the turn is committed in memory but not in the store: the side keeps it.
        if entry.keeper.wait_durable(ticket).await.is_ok() {
            upstream::forget(&entry, &side, attempt).await;
        }
    }
}

async fn query(
    entry: &entry::Entry,
    side: &sides::Side,
    shards: &[id::ShardId],
) -> Option<side::HeldReply> {
    let fence = |shard: &id::ShardId| Some((*shard, entry.keeper.fence(*shard)?));
    let req = side::HeldQuery {
        shards: shards.iter().filter_map(fence).collect(),
    };
    if req.shards.is_empty() {
        return Some(side::HeldReply::default());
    }
    let cx = transport::context(entry.settings.upstream.connect_timeout * 4);
    let call = |client: side::SideClient| async move { client.held(cx, req).await };
    entry.sides.pool.call(side.instance.side, call).await.ok()
}

impl sides::State {
    /// Records that the side was queried for the held turns of `shard`.
    ///
    /// A query without an answer, or with an incomplete one, changes nothing. Otherwise the shard
    /// would count as recovered although the query failed, and would be served without the turns
    /// that the side had announced.
    fn record_collected(&mut self, shard: id::ShardId, failed: bool, has_gap: bool) {
        let tries = self.recovering.get(&shard).copied().unwrap_or(0) + 1;
        if failed {
            return;
        }
        if has_gap && tries < MAX_TRIES {
            self.recovering.insert(shard, tries);
        } else {
            self.recovering.remove(&shard);
        }
    }

    /// The state of the side as a possible holder of turns of `shard`.
    pub(super) fn holder_of(&self, shard: id::ShardId) -> takeover::Holder {
        takeover::Holder {
            has_pending_turns: self.recovering.contains_key(&shard),
            ..self.holder
        }
    }
}
