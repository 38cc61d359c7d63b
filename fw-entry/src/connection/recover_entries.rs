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
const LOOK: Duration = Duration::from_millis(100);

/// Pause before an entry that did not answer is asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// Replies asked for in one go.
const MAX_REPLIES: usize = 64;

/// The other entries as those who may have kept a shard before.
#[derive(Debug, Default)]
pub struct Before {
    known: Mutex<HashMap<id::EntryId, Known>>,
}

#[derive(Debug, Default)]
struct Known {
    holder: takeover::Holder,
    /// A call is under way.
    is_asked: bool,
    /// When the next call may be made, after one without an answer.
    again_at: Option<Instant>,
}

impl Before {
    /// An entry as one that may hold turns of taken shards.
    pub fn holder(&self, entry: &id::EntryId) -> takeover::Holder {
        let known = self.known.lock();
        known
            .get(entry)
            .map(|known| known.holder)
            .unwrap_or_default()
    }

    /// Whether `entry` may be asked at `now`, and when the last question that it answered was sent.
    fn is_free(&self, entry: &id::EntryId, now: Instant) -> Option<Option<Instant>> {
        let mut known = self.known.lock();
        let known = known.entry(entry.clone()).or_default();
        let pauses = known.again_at.is_some_and(|at| now < at);
        (!known.is_asked && !pauses).then_some(known.holder.last_answered)
    }

    fn begin(&self, entry: &id::EntryId) {
        if let Some(known) = self.known.lock().get_mut(entry) {
            known.is_asked = true;
        }
    }

    fn answered(&self, entry: &id::EntryId, sent: Instant) {
        if let Some(known) = self.known.lock().get_mut(entry) {
            known.is_asked = false;
            known.again_at = None;
            known.holder.answered(sent);
        }
    }

    fn missed(&self, entry: &id::EntryId, now: Instant, gone: bool) {
        if let Some(known) = self.known.lock().get_mut(entry) {
            known.is_asked = false;
            known.again_at = Some(now + PAUSE);
            known.holder.missed(now, gone);
        }
    }

    /// The call brought answers, and not all of them.
    fn unfinished(&self, entry: &id::EntryId) {
        if let Some(known) = self.known.lock().get_mut(entry) {
            known.is_asked = false;
        }
    }

    fn retain(&self, entries: &[(id::EntryId, SocketAddr)]) {
        let is_known = |id: &id::EntryId| entries.iter().any(|(other, _)| other == id);
        self.known.lock().retain(|id, _| is_known(id));
    }
}

/// Asks the other entries whenever shards were taken, until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut asking = tokio::task::JoinSet::new();
    loop {
        tokio::time::sleep(LOOK).await;
        while asking.try_join_next().is_some() {}
        // Most of the time nothing was taken lately; in a large fleet even the list of others costs.
        let grace = takeover::Options::default().grace;
        let loaded = entry.keeper.last_loaded_at();
        if loaded.is_none_or(|at| at.elapsed() > grace) {
            continue;
        }
        let others = others(&entry);
        entry.before.retain(&others);
        for (other, addr) in others {
            // Before the shards are listed: one that is taken meanwhile is asked for next time.
            let sent = Instant::now();
            let Some(heard) = entry.before.is_free(&other, sent) else {
                continue;
            };
            let taken = waiting(&entry, heard, sent);
            if taken.is_empty() {
                continue;
            }
            entry.before.begin(&other);
            asking.spawn(ask(Arc::clone(&entry), other, addr, taken, sent));
        }
    }
}

/// The shards that were taken after `heard` and still wait for what others hold.
fn waiting(entry: &entry::Entry, heard: Option<Instant>, now: Instant) -> Vec<keeper::KeptShard> {
    let grace = takeover::Options::default().grace;
    let earliest = now.checked_sub(grace).or(heard);
    entry.keeper.loaded_since(heard.max(earliest))
}

fn others(entry: &entry::Entry) -> Vec<(id::EntryId, SocketAddr)> {
    let others = entry.keeper.recent_entries().into_iter();
    others
        .filter_map(|(id, addr)| Some((id, addr.parse().ok()?)))
        .collect()
}

/// Asks `other` for what it holds of the shards `taken`, and commits it.
async fn ask(
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
                return entry.before.missed(&other, Instant::now(), gone);
            }
        };
        let last = reply.turns.last().map(|held| (held.turn, held.attempt));
        after = last.or(after);
        for held in reply.turns {
            // A turn before it may come from a side yet. The other entry offers it again by itself.
            let _offered_again = recover::take(&entry, &other, held);
        }
        if !reply.more {
            return entry.before.answered(&other, sent);
        }
    }
    // More than can be asked for in one go: all of it is asked for anew.
    entry.before.unfinished(&other);
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
