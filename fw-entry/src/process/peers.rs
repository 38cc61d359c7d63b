//! What entries tell each other of themselves: place, revision in force, shards, load.
//!
//! Each entry asks a few others at random now and then. A revision spreads that way in the
//! logarithm of their number of rounds, also while the store is away, and the traffic of one entry
//! does not grow with the fleet.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);

/// For how long a status tells how things are.
const FRESH: Duration = Duration::from_secs(3);

/// Entries asked in one round.
const ASKED: usize = 2;

/// What other entries last said of themselves.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<HashMap<id::EntryId, Heard>>,
}

#[derive(Debug)]
struct Heard {
    at: Instant,
    status: peer::PeerStatus,
}

impl Peers {
    /// Whether some entry told a moment ago that the store answers it.
    pub fn reach_store(&self, lately: Duration) -> bool {
        let known = self.known.lock();
        known.values().any(|heard| {
            let age = heard.at.elapsed();
            age < FRESH && heard.status.store_silent + age < lately
        })
    }

    /// An entry told its status.
    pub fn heard(&self, entry: &entry::Entry, status: peer::PeerStatus) {
        entry.records.seen_elsewhere(status.revision);
        let heard = Heard {
            at: Instant::now(),
            status,
        };
        let mut known = self.known.lock();
        known.insert(heard.status.entry.clone(), heard);
    }

    /// What the entries that are alive last said.
    pub fn statuses(&self) -> Vec<peer::PeerStatus> {
        let known = self.known.lock();
        known.values().map(|heard| heard.status.clone()).collect()
    }

    /// This entry and the others, for [`subset`]. One whose place is not known yet counts as of
    /// this place.
    pub fn members(&self, entry: &entry::Entry) -> Vec<subset::Member> {
        let here = &entry.settings.instance.place;
        let known = self.known.lock();
        let place = |id: &id::EntryId| {
            known
                .get(id)
                .map_or(here, |heard| &heard.status.place)
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
        self.known.lock().retain(|id, _| is_alive(id));
    }
}

/// Exchanges statuses until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut ticks = tokio::time::interval(ROUND);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let alive = others(&entry);
        entry.peer_list.retain(&alive);
        let asked = alive.into_iter().sample(&mut rand::rng(), ASKED);
        for (_, addr) in asked {
            ask(&entry, addr).await;
        }
    }
}

/// The other live entries, as the store lists them.
pub fn others(entry: &entry::Entry) -> Vec<(id::EntryId, SocketAddr)> {
    let entries = entry.keeper.entries().into_iter();
    let others = entries.filter(|(id, _)| *id != entry.id);
    others
        .filter_map(|(id, addr)| Some((id, addr.parse().ok()?)))
        .collect()
}

/// Exchanges statuses with the entry at `addr`; `None` if it does not answer.
pub async fn ask(entry: &entry::Entry, addr: SocketAddr) -> Option<peer::PeerStatus> {
    let mine = entry.status();
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: peer::PeerClient| async move { client.status(cx, mine).await };
    let status = entry.peers.call(addr, call).await.ok()?;
    entry.peer_list.heard(entry, status.clone());
    Some(status)
}
