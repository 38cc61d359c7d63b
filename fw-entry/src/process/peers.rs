//! Gossip of entry statuses: place, revision in force, shards, load.
//!
//! Each entry exchanges its status with a few random others at a fixed interval. A revision spreads to
//! n entries in O(log n) rounds, even while the store is unreachable, and the traffic of one entry does
//! not grow with the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_plan::subset;
use fw_wire::peer;
use fw_wire::transport;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;

use super::entry;
use super::suspects;

/// Interval between two rounds.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an entry that has started looks for others, until it has reached one.
const FIRST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// Age up to which a status counts as current.
const STATUS_MAX_AGE: Duration = Duration::from_secs(3);

/// Entries contacted in one round.
const FANOUT: usize = 2;

/// The last status received from each other entry.
#[derive(Debug, Default)]
pub struct Peers {
    statuses: Mutex<HashMap<id::EntryId, Received>>,
}

#[derive(Debug)]
struct Received {
    at: Instant,
    status: peer::PeerStatus,
}

impl Peers {
    /// Whether the current status of some entry shows that the store answered it less than `within` ago.
    pub fn any_reaches_store(&self, within: Duration) -> bool {
        let statuses = self.statuses.lock();
        statuses.values().any(|received| {
            let age = received.at.elapsed();
            age < STATUS_MAX_AGE && received.status.store_silent + age < within
        })
    }

    /// Records the status that an entry sent.
    pub fn update(&self, entry: &entry::Entry, status: peer::PeerStatus) {
        entry.records.observe_revision(status.revision);
        let received = Received {
            at: Instant::now(),
            status,
        };
        let mut statuses = self.statuses.lock();
        statuses.insert(received.status.entry.clone(), received);
    }

    /// Whether the entry `id` takes crash evidence, as those of builds without it do not.
    pub fn shares_suspects(&self, id: &id::EntryId) -> bool {
        let statuses = self.statuses.lock();
        let status = statuses.get(id).map(|received| &received.status);
        status.is_some_and(|status| status.suspects.is_some())
    }

    /// The last statuses of the live entries.
    pub fn statuses(&self) -> Vec<peer::PeerStatus> {
        let statuses = self.statuses.lock();
        statuses
            .values()
            .map(|received| received.status.clone())
            .collect()
    }

    /// This entry and the others, for [`subset`]. An entry whose place has not been received yet counts
    /// as in this entry's place.
    pub fn members(&self, entry: &entry::Entry) -> Vec<subset::Member> {
        let here = &entry.settings.instance.place;
        let statuses = self.statuses.lock();
        let place = |id: &id::EntryId| {
            statuses
                .get(id)
                .map_or(here, |received| &received.status.place)
                .clone()
        };
        let others = entry.keeper.entries().into_iter();
        let mut members: Vec<_> = others
            .map(|(id, _)| subset::Member {
                place: place(&id),
                id,
            })
            .collect();
        if !members.iter().any(|member| member.id == entry.id) {
            members.push(subset::Member {
                id: entry.id.clone(),
                place: here.clone(),
            });
        }
        members
    }

    fn retain(&self, alive: &[(id::EntryId, SocketAddr)]) {
        let is_alive = |id: &id::EntryId| alive.iter().any(|(other, _)| other == id);
        self.statuses.lock().retain(|id, _| is_alive(id));
    }
}

/// Exchanges statuses until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    loop {
        let alive = other_entries(&entry);
        entry.peer_list.retain(&alive);
        let sampled = alive.into_iter().sample(&mut rand::rng(), FANOUT);
        for (_, addr) in sampled {
            let status = exchange_status(&entry, addr).await;
            let theirs = status.and_then(|status| status.suspects);
            let Some(theirs) = theirs else { continue };
            if theirs == entry.suspects.digest(entry.now()) {
                entry.suspects.mark_synced();
            } else {
                suspects::exchange(&entry, addr).await;
            }
        }
        let pause = match entry.suspects.is_synced() {
            true => EXCHANGE_INTERVAL,
            false => FIRST_EXCHANGE_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

/// The other live entries, as listed in the store.
pub fn other_entries(entry: &entry::Entry) -> Vec<(id::EntryId, SocketAddr)> {
    let entries = entry.keeper.entries().into_iter();
    let others = entries.filter(|(id, _)| *id != entry.id);
    others
        .filter_map(|(id, addr)| Some((id, addr.parse().ok()?)))
        .collect()
}

/// Exchanges statuses with the entry at `addr`; `None` if it does not answer.
pub async fn exchange_status(entry: &entry::Entry, addr: SocketAddr) -> Option<peer::PeerStatus> {
    let own_status = entry.status();
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: peer::PeerClient| async move { client.status(cx, own_status).await };
    let status = entry.peers.call(addr, call).await.ok()?;
    entry.peer_list.update(entry, status.clone());
    Some(status)
}
