//! Keeps the records in force at the newest revision.
//!
//! A waiting watch costs the store as much as a call, so one entry of each place watches and the
//! others ask it. Which one follows from the list of live entries without any election: two
//! watchers cost a watch more, none for a moment costs a fallback to the store. Whoever hears of a
//! newer revision in any message fetches it at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_record::load;
use fw_record::set;
use fw_wire::peer;
use fw_wire::transport;
use tracing::info;

use crate::process::entry;
use crate::process::peers;

/// Counter of fetches of newer records, by source and outcome.
pub const FETCHES: &str = "fw_entry_record_fetches_total";

/// Time between two questions to the watcher.
const ASK: Duration = Duration::from_millis(300);

/// Without an answer from the watcher for this long, an entry watches by itself.
const WATCHER_PATIENCE: Duration = Duration::from_millis(1200);

/// Most entries asked for newer records before the store is.
const PEERS_ASKED: usize = 3;

/// How often a watcher looks whether it still is to watch.
const ROLE_CHECK: Duration = Duration::from_secs(2);

/// Keeps the records in force at the newest revision until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut answered = Instant::now();
    loop {
        match watcher(&entry) {
            Some((id, addr)) if answered.elapsed() < WATCHER_PATIENCE => {
                if ask(&entry, addr).await {
                    answered = Instant::now();
                }
                wait_or_catch_up(&entry, &id).await;
            }
            _ => {
                follow(&entry).await;
                answered = Instant::now();
            }
        }
    }
}

/// The entry of this place that watches; `None` for this one.
fn watcher(entry: &entry::Entry) -> Option<(id::EntryId, SocketAddr)> {
    let here = &entry.settings.instance.place;
    let members = entry.peer_list.members(entry);
    let near = members.into_iter().filter(|member| member.place == *here);
    let first = near.map(|member| member.id).min()?;
    let others = peers::others(entry);
    others.into_iter().find(|(id, _)| *id == first)
}

/// Asks an entry for newer records; false if it did not answer.
async fn ask(entry: &entry::Entry, addr: SocketAddr) -> bool {
    let than = entry.records.revision();
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: peer::PeerClient| async move { client.records(cx, than).await };
    let Ok(reply) = entry.peers.call(addr, call).await else {
        return false;
    };
    if let Some(records) = reply {
        take(entry, &records.set);
    }
    true
}

fn take(entry: &entry::Entry, text: &str) {
    let outcome = match set::Set::from_json(text) {
        Ok(set) => {
            entry.records.holder.offer(set);
            "ok"
        }
        Err(_) => "malformed",
    };
    metrics::counter!(FETCHES, "source" => "peer", "outcome" => outcome).increment(1);
}

/// Waits until it is time to ask again. If some process acts on newer records meanwhile, they are
/// read from the store: whoever has them need not be reachable.
async fn wait_or_catch_up(entry: &entry::Entry, watcher: &id::EntryId) {
    tokio::select! {
        () = tokio::time::sleep(ASK) => {}
        () = entry.records.is_behind() => {
            tracing::debug!(%watcher, "another process acts on newer records");
            read(entry).await;
        }
    }
}

/// Takes newer records from an entry that has them, or else from the store.
async fn read(entry: &entry::Entry) {
    let before = entry.records.revision();
    ask_newer(entry).await;
    if entry.records.revision() == before {
        read_store(entry).await;
    }
}

/// Asks an entry that acts on newer records for them.
///
/// An entry that is cut off from the store, while others are not, would otherwise hear of newer
/// records with every status and still serve its callers by the old ones. It also spares the
/// store a read by every entry after every change.
async fn ask_newer(entry: &entry::Entry) {
    let statuses = entry.peer_list.statuses().into_iter();
    let newer = statuses.filter(|status| status.revision > entry.records.revision());
    let newer: Vec<_> = newer.map(|status| status.entry).collect();
    let others = peers::others(entry).into_iter();
    let newer = others.filter(|(id, _)| newer.contains(id));
    for (_, addr) in newer.take(PEERS_ASKED) {
        if ask(entry, addr).await {
            return;
        }
    }
}

async fn read_store(entry: &entry::Entry) {
    let outcome = match load::read_all(&entry.store, &entry.records.current()).await {
        Ok(set) => {
            entry.records.holder.offer(set);
            "ok"
        }
        Err(_) => "failed",
    };
    metrics::counter!(FETCHES, "source" => "store", "outcome" => outcome).increment(1);
}

/// Watches the store for as long as this entry is its place's watcher.
async fn follow(entry: &entry::Entry) {
    info!(entry = %entry.id, place = %entry.settings.instance.place, "watches the records");
    let watch = load::follow(&entry.store, &entry.records.holder);
    tokio::pin!(watch);
    loop {
        tokio::select! {
            () = &mut watch => return,
            () = entry.records.is_behind() => read(entry).await,
            () = tokio::time::sleep(ROLE_CHECK) => {
                if watcher(entry).is_some() {
                    return;
                }
            }
        }
    }
}
