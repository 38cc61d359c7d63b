//! Queries the other entries for answered turns of shards that this entry has taken over.
//!
//! A keeper whose lease lapsed may still run: it was cut off from the store, suspended or short of
//! processor time, while its successor can see in the store only that the lease is gone. All entries
//! are queried, since the journal does not record which one delivered an answer last. One call covers
//! all shards taken since the previous one, so that after the death of an entry each remaining entry
//! makes one call to each other.

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

/// Interval between two checks for shards that were taken: short compared with the lease that had to
/// lapse first, and long enough that the many shards loaded at a start are covered by one query.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before an entry that did not answer is queried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Most replies fetched in one run.
const MAX_REPLIES: usize = 64;

/// The other entries, as possible previous keepers of taken shards.
#[derive(Debug, Default)]
pub struct Predecessors {
    entries: Mutex<HashMap<id::EntryId, Predecessor>>,
}

#[derive(Debug, Default)]
struct Predecessor {
    holder: takeover::Holder,
    /// A call is under way.
    is_queried: bool,
    /// Earliest time of the next call, after one without an answer.
    retry_at: Option<Instant>,
}

impl Predecessors {
    /// The state of `entry` as a possible holder of turns of taken shards.
    pub fn holder(&self, entry: &id::EntryId) -> takeover::Holder {
        let entries = self.entries.lock();
        entries
            .get(entry)
            .map(|predecessor| predecessor.holder)
            .unwrap_or_default()
    }

    /// `Some` if `entry` may be queried at `now`, with the time at which the last query that it
    /// answered was sent.
    fn ready_to_query(&self, entry: &id::EntryId, now: Instant) -> Option<Option<Instant>> {
        let mut entries = self.entries.lock();
        let predecessor = entries.entry(entry.clone()).or_default();
        let backs_off = predecessor.retry_at.is_some_and(|at| now < at);
        (!predecessor.is_queried && !backs_off).then_some(predecessor.holder.last_answered)
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

    /// Records a call that was answered in part.
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

/// Queries the other entries whenever shards were taken, until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut queries = tokio::task::JoinSet::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        while queries.try_join_next().is_some() {}
        // Usually no shard was taken recently, and listing the other entries is costly in a large
        // fleet.
        let grace = takeover::Options::default().grace;
        let loaded = entry.keeper.last_loaded_at();
        if loaded.is_none_or(|at| at.elapsed() > grace) {
            continue;
        }
        let others = others(&entry);
        entry.predecessors.retain(&others);
        for (other, addr) in others {
            // Taken before the shards are listed: a shard taken in between is part of the next query.
            let sent = Instant::now();
            let Some(last_answered) = entry.predecessors.ready_to_query(&other, sent) else {
                continue;
            };
            let taken = due_shards(&entry, last_answered, sent);
            if taken.is_empty() {
                continue;
            }
            entry.predecessors.record_query(&other);
            queries.spawn(query(Arc::clone(&entry), other, addr, taken, sent));
        }
    }
}

/// The shards that were taken after `since` and whose recovery is within its grace period.
fn due_shards(
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

/// Fetches the turns of the shards `taken` that `other` holds, and commits them.
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
            // An earlier turn may still arrive from a side. The other entry offers this one again
            // without a query.
            let _offered_again = recover::commit_held(&entry, &other, held);
        }
        if !reply.more {
            return entry.predecessors.record_answer(&other, sent);
        }
    }
    // More turns than one run fetches: the next run starts from the first one.
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
