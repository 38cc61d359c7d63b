//! Follows the table of live entries, and acquires and hands over shards as it changes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_store::kv;
use fw_store::watch::Watch;
use tokio::time;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::acquire;
use crate::keeper::close;
use crate::keeper::lease::Backoff;
use crate::keeper::load;
use crate::keeper::owner_lookup;
use crate::keeper::table::Table;
use crate::keeper::watch_health::WatchHealth;

/// Shards acquired or handed over at a time. A shard has no keeper while it moves: if thousands moved
/// together, each would be without a keeper until the last one has moved.
const MOVE_BATCH: usize = 60;

/// Grace period before this entry may take shards that it did not keep before.
struct Grace {
    /// Whether an earlier lease was held.
    had_lease: bool,
    lease: kv::LeaseId,
    until: Instant,
}

pub(super) async fn run(inner: Arc<Inner>) {
    let mut grace = Grace {
        had_lease: false,
        lease: 0,
        until: Instant::now(),
    };
    let mut watch_health = WatchHealth::new(&inner.opts.entry);
    loop {
        let mut watch = read_table(&inner).await;
        follow(&inner, &mut watch, &mut grace, &mut watch_health).await;
    }
}

async fn read_table(inner: &Inner) -> Watch {
    let prefix = keys::live(&inner.opts.root);
    let mut backoff = Backoff::new();
    loop {
        if let Ok(read) = inner.store.range(&kv::Range::prefix(&prefix)).await {
            inner.record_contact();
            let mut table = inner.table.write();
            table.reset(&inner.opts.root, read.kvs, read.revision);
            supersede_taken(inner, &table);
            drop(table);
            return inner.store.watch(prefix, read.revision + 1);
        }
        backoff.pause().await;
    }
}

/// Follows the watch until the table has to be read again.
async fn follow(
    inner: &Inner,
    watch: &mut Watch,
    grace: &mut Grace,
    watch_health: &mut WatchHealth,
) {
    let mut lease = inner.lease.subscribe();
    let mut sweep = time::interval(inner.opts.sweep_interval);
    let mut rebalance_at = time::Instant::now() + debounce(inner);
    loop {
        tokio::select! {
            next = watch.next() => match next {
                Ok(batch) => {
                    inner.record_contact();
                    watch_health.record_progress(batch.revision);
                    if apply(inner, batch.events) {
                        rebalance_at = rebalance_at.min(time::Instant::now() + debounce(inner));
                    }
                }
                Err(fw_store::error::Error::Compacted { .. }) => return,
                Err(err) => {
                    watch_health.record_failure(&err, watch.age());
                    // Leases may have lapsed since, and shards may have new keepers.
                    if watch.age() > inner.opts.ttl {
                        return;
                    }
                    // The watch reconnects by itself after a pause.
                    time::sleep(debounce(inner)).await;
                }
            },
            _ = lease.changed() => rebalance_at = rebalance_at.min(time::Instant::now() + debounce(inner)),
            () = time::sleep_until(rebalance_at) => {
                let pause = match rebalance(inner, grace).await {
                    Next::Again => Duration::ZERO,
                    Next::Wait => inner.opts.ttl / 3,
                };
                rebalance_at = time::Instant::now() + pause;
            }
            _ = sweep.tick() => sweep_all(inner),
        }
    }
}

/// Applies watch events to the table; returns whether the plan has to be computed again.
fn apply(inner: &Inner, events: Vec<fw_store::watch::Event>) -> bool {
    let mut table = inner.table.write();
    let mut changes_plan = false;
    let has_events = !events.is_empty();
    for event in events {
        changes_plan |= table.apply(&inner.opts.root, event);
    }
    supersede_taken(inner, &table);
    // Entries whose tables differ for an instant may each leave a shard to the other. Shards taken by
    // others change the plan for the rest, so it is computed again while any shard is free.
    changes_plan || (has_events && table.has_free_shards())
}

/// Stops serving shards that other entries have taken. Their programs continue there, so the state in
/// memory here is outdated, and callers of newer turns would be refused permanently.
fn supersede_taken(inner: &Inner, table: &Table) {
    for (shard, fence) in table.kept_by_others(inner.nonce) {
        inner.supersede(shard, fence);
    }
}

/// Delay after a change of the table, so that a burst of changes, as when a data centre restarts, is
/// handled once.
fn debounce(inner: &Inner) -> Duration {
    inner.opts.debounce + keeper::jitter(inner.opts.debounce)
}

/// When to rebalance next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// At once: more shards are to be acquired.
    Again,
    /// After the next change of the table or the regular pause.
    Wait,
}

async fn rebalance(inner: &Inner, grace: &mut Grace) -> Next {
    let lease = *inner.lease.borrow();
    if lease == 0 || inner.is_closing() || !inner.opts.keeps {
        return Next::Wait;
    }
    grace.on_lease(lease, inner.opts.ttl);
    load_missing(inner).await;
    owner_lookup::refresh(inner).await;
    let plan = inner.table.write().plan(&inner.opts.entry, inner.opts.ttl);
    let next = take_shards(inner, plan.acquire, grace).await;
    hand_over(inner, plan.release).await;
    next
}

/// Acquires one batch of the `free` shards.
///
/// *Failure:* if a plan of thousands of shards is carried out to its end and the store becomes unavailable
/// meanwhile, each batch is retried several times in vain and no watch events are read: seconds after the
/// store has recovered, the entry still regards a dead entry as the keeper of its shards. So watch events
/// are read after each batch, and a store that does not answer ends the attempt.
async fn take_shards(inner: &Inner, free: Vec<id::ShardId>, grace: &Grace) -> Next {
    let is_kept = |shard: &id::ShardId| inner.slot(*shard).lock().kept().is_some();
    let (kept, mut absent): (Vec<_>, Vec<_>) = free.into_iter().partition(is_kept);
    // These lapsed with our lease. Loading them would drop changes that are not yet in the store.
    if !kept.is_empty() {
        inner.invalidate_shards(&kept);
    }
    if absent.is_empty() || !grace.is_over() {
        return Next::Wait;
    }
    // A turn that waits for one of the last of thousands of shards would time out before it is taken.
    let batch = inner.take_prioritized_first(&mut absent, MOVE_BATCH);
    let asked = batch.len();
    let requests = batch
        .into_iter()
        .map(|shard| acquire::Request { shard, head: None });
    let outcome = acquire::run(inner, grace.lease, requests.collect()).await;
    let (taken, lost) = (outcome.taken.len(), outcome.lost.len());
    load::run(inner, outcome.taken).await;
    tracing::info!(entry = %inner.opts.entry, asked, taken, lost, "shards taken");
    // Shards held by others may still be free in a stale table; they are not requested again at once.
    let has_more = taken > 0 && taken + lost == asked;
    if has_more { Next::Again } else { Next::Wait }
}

impl Grace {
    /// Starts the grace period if `lease` replaces a lapsed one.
    ///
    /// After an outage of the store every lease has lapsed and all shards are free. Their former keepers
    /// hold changes that are not yet in the store, so they reacquire them first, and other entries wait.
    fn on_lease(&mut self, lease: kv::LeaseId, wait: Duration) {
        if lease == self.lease {
            return;
        }
        if self.had_lease {
            self.until = Instant::now() + wait;
        }
        self.had_lease = true;
        self.lease = lease;
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.until
    }
}

/// Loads shards that this process owns according to the table but has not loaded, because the answer to
/// their acquisition was lost or their journal could not be read.
async fn load_missing(inner: &Inner) {
    let kept = inner.table.read().kept_by(inner.nonce);
    let absent = |shard: &id::ShardId| inner.slot(*shard).lock().kept().is_none();
    let missing: Vec<_> = kept
        .into_iter()
        .filter(|(shard, _)| absent(shard))
        .collect();
    if !missing.is_empty() {
        load::run(inner, missing).await;
    }
}

/// Hands over shards in excess of this entry's share, except those with work in progress.
async fn hand_over(inner: &Inner, shards: Vec<id::ShardId>) {
    let start_leaving = |shard: &id::ShardId| {
        let mut slot = inner.slot(*shard).lock();
        let Some(kept) = slot.serving() else {
            return false;
        };
        if !kept.shard.is_idle() {
            return false;
        }
        kept.is_leaving = true;
        true
    };
    for batch in shards.chunks(MOVE_BATCH) {
        let leaving: Vec<id::ShardId> = batch.iter().copied().filter(start_leaving).collect();
        if !leaving.is_empty() {
            close::release(inner, leaving).await;
        }
    }
}

/// Removes expired state from all kept shards.
fn sweep_all(inner: &Inner) {
    let now = keeper::now();
    for shard in 0..inner.opts.shards {
        // An error means that the shard is not kept here, so there is nothing to remove.
        let _ = inner.with_shard(shard, |kept| kept.sweep(now));
    }
}
