//! Distribution of the operators' records: keeps those in force at the newest revision.
//!
//! A pending watch costs the store as much as a call, so one entry of each place watches the store and
//! the others poll that entry. It is derived from the list of live entries, without an election: two
//! watchers cost one more watch, and a short time without one costs a fallback to the store. An entry
//! that sees a newer revision in any message fetches it at once.

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

/// Interval between two requests to the watcher.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time without an answer from the watcher after which an entry watches the store itself.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Most entries queried for newer records before the store is read.
const MAX_PEERS_QUERIED: usize = 3;

/// Interval at which a watcher checks whether it still has this role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps the records in force at the newest revision until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let mut answered = Instant::now();
    loop {
        match watcher(&entry) {
            Some((id, addr)) if answered.elapsed() < WATCHER_TIMEOUT => {
                if fetch_from(&entry, addr).await {
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

/// The entry that watches the store for this place; `None` if it is this entry.
fn watcher(entry: &entry::Entry) -> Option<(id::EntryId, SocketAddr)> {
    let here = &entry.settings.instance.place;
    let members = entry.peer_list.members(entry);
    let near = members.into_iter().filter(|member| member.place == *here);
    let first = near.map(|member| member.id).min()?;
    let others = peers::other_entries(entry);
    others.into_iter().find(|(id, _)| *id == first)
}

/// Fetches newer records from an entry; false if it did not answer.
async fn fetch_from(entry: &entry::Entry, addr: SocketAddr) -> bool {
    let than = entry.records.revision();
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: peer::PeerClient| async move { client.records(cx, than).await };
    let Ok(reply) = entry.peers.call(addr, call).await else {
        return false;
    };
    if let Some(records) = reply {
        apply(entry, &records.set);
    }
    true
}

fn apply(entry: &entry::Entry, text: &str) {
    let outcome = match set::Set::from_json(text) {
        Ok(set) => {
            entry.records.holder.offer(set);
            "ok"
        }
        Err(_) => "malformed",
    };
    metrics::counter!(FETCHES, "source" => "peer", "outcome" => outcome).increment(1);
}

/// Waits until the next poll is due. If another process uses newer records by then, they are fetched
/// from any entry that has them or from the store: the process that has them may be unreachable.
async fn wait_or_catch_up(entry: &entry::Entry, watcher: &id::EntryId) {
    tokio::select! {
        () = tokio::time::sleep(POLL_INTERVAL) => {}
        () = entry.records.wait_for_newer() => {
            tracing::debug!(%watcher, "another process uses newer records");
            fetch_newer(entry).await;
        }
    }
}

/// Fetches newer records from an entry that has them, or else from the store.
async fn fetch_newer(entry: &entry::Entry) {
    let before = entry.records.revision();
    fetch_from_peers(entry).await;
    if entry.records.revision() == before {
        fetch_from_store(entry).await;
    }
}

/// Fetches newer records from an entry that uses them.
///
/// An entry that alone is cut off from the store would otherwise see newer revisions in every status
/// and still serve its callers by the old records. This also saves the store one read by every entry
/// after every change.
async fn fetch_from_peers(entry: &entry::Entry) {
    let statuses = entry.peer_list.statuses().into_iter();
    let newer = statuses.filter(|status| status.revision > entry.records.revision());
    let newer: Vec<_> = newer.map(|status| status.entry).collect();
    let others = peers::other_entries(entry).into_iter();
    let newer = others.filter(|(id, _)| newer.contains(id));
    for (_, addr) in newer.take(MAX_PEERS_QUERIED) {
        if fetch_from(entry, addr).await {
            return;
        }
    }
}

async fn fetch_from_store(entry: &entry::Entry) {
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
    info!(entry = %entry.id, place = %entry.settings.instance.place, "watching the store for records");
    let watch = load::follow(&entry.store, &entry.records.holder);
    tokio::pin!(watch);
    loop {
        tokio::select! {
            () = &mut watch => return,
            () = entry.records.wait_for_newer() => fetch_newer(entry).await,
            () = tokio::time::sleep(ROLE_CHECK_INTERVAL) => {
                if watcher(entry).is_some() {
                    return;
                }
            }
        }
    }
}
