//! Asks the other entries for answered turns of shards that were taken from the journal.
//!
//! A keeper whose lease lapsed may live: it was cut off from the store, paused or kept waiting for
//! processor time, and its successor learns from the store only that it is gone. All entries are asked,
//! since the journal does not tell which one gave out an answer last. One call brings all shards that
//! were taken since the last one, so that a dead entry costs each other one call to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_keep::keeper;
use fw_plan::takeover;
use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use parking_lot::Mutex;

use super::pool;
use super::recover;
use crate::process::entry;

/// Time between two looks for shards that were taken: small beside the lease that was waited for, and
/// long enough that the many loaded at a start are asked for together.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before an entry that did not answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Replies asked for in one go.
const MAX_REPLIES: usize = 64;

/// The other entries as those who may have kept a shard before.
#[derive(Debug, Default)]
pub struct Predecessors {
    entries: Mutex<HashMap<id::EntryId, Predecessor>>,
}

#[derive(Debug, Default)]
struct Predecessor {
    holder: takeover::Holder,
    /// A call is under way.
    is_queried: bool,
    /// When the next call may be made, after one without an answer.
    retry_at: Option<Instant>,
}

impl Predecessors {
    /// An entry as one that may hold turns of taken shards.
    pub fn holder(&self, entry: &id::EntryId) -> takeover::Holder {
        let entries = self.entries.lock();
        entries
            .get(entry)
            .map(|predecessor| predecessor.holder)
            .unwrap_or_default()
    }

    /// Whether `entry` may be asked at `now`, and when the last question that it answered was sent.
    fn ready_to_query(&self, entry: &id::EntryId, now: Instant) -> Option<Option<Instant>> {
        let mut entries = self.entries.lock();
        let predecessor = entries.entry(entry.clone()).or_default();
        let pauses = predecessor.retry_at.is_some_and(|at| now < at);
        (!predecessor.is_queried && !pauses).then_some(predecessor.holder.last_answered)
    }

    fn record_query(&self, entry: &id::EntryId) {
        if let Some(predecessor) = self.entries.lock().get_mut(entry) {
            predecessor.is_queried = true;
        }
    }

    fn record_answer(&self, entry: &id::EntryId, sent: Instant) {
        if let Some(predecessor) = self.entries.lock().get_mut(entry) {
            predecessor.is_queried = false;
            predecessor.retry_at = None;
            predecessor.holder.answered(sent);
        }
    }

    fn record_failure(&self, entry: &id::EntryId, now: Instant, gone: bool) {
        if let Some(predecessor) = self.entries.lock().get_mut(entry) {
            predecessor.is_queried = false;
            predecessor.retry_at = Some(now + RETRY_DELAY);
            predecessor.holder.missed(now, gone);
        }
    }

    /// The call brought answers, and not all of them.
    fn record_incomplete(&self, entry: &id::EntryId) {
        if let Some(predecessor) = self.entries.lock().get_mut(entry) {
            predecessor.is_queried = false;
        }
    }

    fn retain(&self, entries: &[(id::EntryId, SocketAddr)]) {
        let is_listed = |id: &id::EntryId| entries.iter().any(|(other, _)| other == id);
        self.entries.lock().retain(|id, _| is_listed(id));
    }
}

/// Asks the other entries whenever shards were taken, until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut queries = tokio::task::JoinSet::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        while queries.try_join_next().is_some() {}
        // Most of the time nothing was taken lately; in a large fleet even the list of others costs.
        let grace = takeover::Options::default().grace;
        let loaded = entry.keeper.last_loaded_at();
        if loaded.is_none_or(|at| at.elapsed() > grace) {
            continue;
        }
        let others = others(&entry);
        entry.predecessors.retain(&others);
        for (other, addr) in others {
            // Before the shards are listed: one that is taken meanwhile is asked for next time.
            let sent = Instant::now();
            let Some(last_answered) = entry.predecessors.ready_to_query(&other, sent) else {
                continue;
            };
            let taken = shards_to_query(&entry, last_answered, sent);
            if taken.is_empty() {
                continue;
            }
            entry.predecessors.record_query(&other);
            queries.spawn(query(Arc::clone(&entry), other, addr, taken, sent));
        }
    }
}

/// The shards that were taken after `heard` and still wait for what others hold.
fn shards_to_query(
    entry: &entry::Entry,
    since: Option<Instant>,
    now: Instant,
) -> Vec<keeper::KeptShard> {
    let grace = takeover::Options::default().grace;
    let earliest = now.checked_sub(grace).or(since);
    entry.keeper.loaded_since(since.max(earliest))
}

fn others(entry: &entry::Entry) -> Vec<(id::EntryId, SocketAddr)> {
    let others = entry.keeper.recent_entries().into_iter();
    others
        .filter_map(|(id, addr)| Some((id, addr.parse().ok()?)))
        .collect()
}

/// Asks `other` for what it holds of the shards `taken`, and commits it.
async fn query(
    entry: Arc<entry::Entry>,
    other: id::EntryId,
    addr: SocketAddr,
    taken: Vec<keeper::KeptShard>,
    sent: Instant,
) {
    let shards: Vec<_> = taken.iter().map(|kept| (kept.shard, kept.fence)).collect();
    let mut after = None;
    for _ in 0..MAX_REPLIES {
        let req = peer::HeldQuery {
            shards: shards.clone(),
            after,
        };
        let reply = match call(&entry, addr, req).await {
            Ok(reply) => reply,
            Err(failure) => {
                let gone = failure == pool::Failure::Refused;
                return entry
                    .predecessors
                    .record_failure(&other, Instant::now(), gone);
            }
        };
        let last = reply.turns.last().map(|held| (held.turn, held.attempt));
        after = last.or(after);
        for held in reply.turns {
            // A turn before it may come from a side yet. The other entry offers it again by itself.
            let _offered_again = recover::commit_held(&entry, &other, held);
        }
        if !reply.more {
            return entry.predecessors.record_answer(&other, sent);
        }
    }
    // More than can be asked for in one go: all of it is asked for anew.
    entry.predecessors.record_incomplete(&other);
}

async fn call(
    entry: &entry::Entry,
    addr: SocketAddr,
    req: peer::HeldQuery,
) -> Result<side::HeldReply, pool::Failure> {
    let cx = transport::context(entry.settings.upstream.connect_timeout * 4);
    let call = |client: peer::PeerClient| async move { client.held(cx, req).await };
    entry.peers.call(addr, call).await
}
