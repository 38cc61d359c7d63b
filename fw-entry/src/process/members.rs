//! Follows the platform's instance list and runs heartbeats to the sides that this entry watches.

use std::collections::HashMap;
use std::sync::Arc;

use fw_base::id;
use fw_plan::subset;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tracing::info;

use super::entry;
use crate::connection::heartbeat;
use crate::connection::sides;

/// Counter of instance lists fetched, by outcome.
pub const FETCHES: &str = "fw_entry_instance_lists_total";

/// Polls the instance list and runs heartbeats until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>) {
    let Some(url) = entry.settings.platform.instances.clone() else {
        info!("no instance list is configured: there are no upstreams");
        entry.sides.update_list(entry.now(), &[]);
        return std::future::pending().await;
    };
    let http = fw_http::Client::default();
    let mut ticks = tokio::time::interval(entry.settings.platform.poll_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut heartbeats = Heartbeats::default();
    loop {
        ticks.tick().await;
        let list = fetch(&http, &url).await;
        let outcome = if list.is_some() { "ok" } else { "failed" };
        metrics::counter!(FETCHES, "outcome" => outcome).increment(1);
        // If the fetch fails, the last list stays in force and heartbeats continue.
        if let Some(list) = list {
            let watched = select_watched(&entry, list);
            let change = entry.sides.update_list(entry.now(), &watched);
            heartbeats.apply(&entry, &change);
        }
    }
}

async fn fetch(http: &fw_http::Client, url: &str) -> Option<Vec<sides::Instance>> {
    let answer = http.get(url).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// The instances that this entry watches: all in a small fleet, its subset in a large one, and those
/// with sessions of its shards.
fn select_watched(entry: &entry::Entry, list: Vec<sides::Instance>) -> Vec<sides::Instance> {
    if list.len() <= entry.settings.upstream.watch_all {
        return list;
    }
    let entries = entry.peer_list.members(entry);
    let options = subset::Options {
        near: entry.settings.upstream.watchers_near,
        far: entry.settings.upstream.watchers_far,
    };
    let is_assigned = |instance: &sides::Instance| {
        let member = subset::Member {
            id: instance.id.clone(),
            place: instance.place.clone(),
        };
        subset::watches(&entry.id, &entries, &member, &options)
    };
    let holds = |instance: &sides::Instance| {
        let side = entry.sides.side(&instance.id);
        side.is_some_and(|side| side.update(|state| !state.shards.is_empty()))
    };
    list.into_iter()
        .filter(|one| is_assigned(one) || holds(one))
        .collect()
}

/// Heartbeat tasks by upstream, aborted on drop.
#[derive(Default)]
struct Heartbeats {
    tasks: JoinSet<()>,
    handles: HashMap<id::UpstreamId, AbortHandle>,
}

impl Heartbeats {
    fn apply(&mut self, entry: &Arc<entry::Entry>, change: &sides::Change) {
        for side in &change.removed {
            if let Some(handle) = self.handles.remove(&side.instance.id) {
                handle.abort();
            }
        }
        for side in &change.added {
            info!(upstream = %side.instance.id, place = %side.instance.place, "upstream listed");
            let task = heartbeat::run(Arc::clone(entry), Arc::clone(side));
            let handle = self.tasks.spawn(task);
            self.handles.insert(side.instance.id.clone(), handle);
        }
        while self.tasks.try_join_next().is_some() {}
    }
}
