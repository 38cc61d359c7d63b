//! Asks sides for the answered turns that they hold for an earlier keeper.

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

/// Replies asked for in one go; what is left is asked for with the next heartbeat.
const MAX_REPLIES: usize = 16;

/// Heartbeats that a held turn waits for one before it, which another side may hold.
const MAX_TRIES: u32 = 20;

/// How asking a side for the held turns of its shards went.
struct Collected {
    /// The last reply said that there is no more.
    is_complete: bool,
    /// Shards of which a turn is missing before one that is held.
    gaps: Vec<id::ShardId>,
}

/// Asks `side` for the held turns of `shards` and commits them.
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
        // The side tells the same turns again until it may forget them. If this ends badly, the
        // same are told again.
        let _ended = forgotten.await;
    }
    Collected {
        is_complete: false,
        gaps,
    }
}

/// Lets the side forget turns as they are in the store. That may take long, and the turns of other
/// programs must not wait for it, nor the side's heartbeats.
async fn forget(
    entry: Arc<entry::Entry>,
    side: Arc<sides::Side>,
    taken: Vec<(id::AttemptId, keeper::Ticket)>,
) {
    for (attempt, ticket) in taken {
        // If it fails, the turn is known here, but not in the store: the side goes on holding it.
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
    /// The side was asked for the held turns of `shard`.
    ///
    /// A call that brought no answer, or not all, changes nothing: the shard counted as heard when it
    /// failed, and served without the turns that the side had told of.
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

    /// The side as one that may hold turns of `shard`.
    pub(super) fn holder_of(&self, shard: id::ShardId) -> takeover::Holder {
        takeover::Holder {
            has_pending_turns: self.recovering.contains_key(&shard),
            ..self.holder
        }
    }
}
