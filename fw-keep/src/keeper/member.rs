//! Follows the table of live entries, and takes and hands over shards as it changes.

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
use crate::keeper::freshness::Freshness;
use crate::keeper::lease::Backoff;
use crate::keeper::load;
use crate::keeper::table::Table;
use crate::keeper::wanted;

/// Shards taken or handed over at a time. Between two keepers nobody answers for a shard: moved all
/// together, each of thousands would be without a keeper until the last one has moved.
const MOVED: usize = 60;

/// When this entry may take shards that it did not keep before.
struct Grace {
    /// Whether a lease was held before the one in force.
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
    let mut freshness = Freshness::new(&inner.opts.entry);
    loop {
        let mut watch = read_table(&inner).await;
        follow(&inner, &mut watch, &mut grace, &mut freshness).await;
    }
}

async fn read_table(inner: &Inner) -> Watch {
    let prefix = keys::live(&inner.opts.root);
    let mut backoff = Backoff::new();
    loop {
        if let Ok(read) = inner.store.range(&kv::Range::prefix(&prefix)).await {
            inner.note_contact();
            let mut table = inner.table.write();
            table.reset(&inner.opts.root, read.kvs, read.revision);
            give_way(inner, &table);
            drop(table);
            return inner.store.watch(prefix, read.revision + 1);
        }
        backoff.pause().await;
    }
}

/// Follows the watch until the table has to be read anew.
async fn follow(inner: &Inner, watch: &mut Watch, grace: &mut Grace, freshness: &mut Freshness) {
    let mut lease = inner.lease.subscribe();
    let mut sweep = time::interval(inner.opts.sweep_interval);
    let mut act_at = time::Instant::now() + settle(inner);
    loop {
        tokio::select! {
            next = watch.next() => match next {
                Ok(batch) => {
                    inner.note_contact();
                    freshness.told(batch.revision);
                    if apply(inner, batch.events) {
                        act_at = act_at.min(time::Instant::now() + settle(inner));
                    }
                }
                Err(fw_store::error::Error::Compacted { .. }) => return,
                Err(err) => {
                    freshness.failed(&err, watch.age());
                    // Leases may have lapsed since, and shards changed hands.
                    if watch.age() > inner.opts.ttl {
                        return;
                    }
                    // It opens again by itself, after a pause.
                    time::sleep(settle(inner)).await;
                }
            },
            _ = lease.changed() => act_at = act_at.min(time::Instant::now() + settle(inner)),
            () = time::sleep_until(act_at) => {
                let pause = match act(inner, grace).await {
                    Left::More => Duration::ZERO,
                    Left::Nothing => inner.opts.ttl / 3,
                };
                act_at = time::Instant::now() + pause;
            }
            _ = sweep.tick() => sweep_all(inner),
        }
    }
}

fn apply(inner: &Inner, events: Vec<fw_store::watch::Event>) -> bool {
    let mut table = inner.table.write();
    let mut matters = false;
    let is_news = !events.is_empty();
    for event in events {
        matters |= table.apply(&inner.opts.root, event);
    }
    give_way(inner, &table);
    // Entries that act on tables a moment apart may each leave a shard to the other. What others
    // take changes the plan for the rest, so it is looked at again while anything is free.
    matters || (is_news && table.has_free())
}

/// Stops serving shards that others have taken. Their programs go on there: what is in memory here is
/// their past, and callers of newer turns would be refused for good.
fn give_way(inner: &Inner, table: &Table) {
    for (shard, fence) in table.kept_by_others(inner.nonce) {
        inner.supersede(shard, fence);
    }
}

/// A burst of changes, as when a data centre restarts, is acted on once.
fn settle(inner: &Inner) -> Duration {
    inner.opts.debounce + keeper::jitter(inner.opts.debounce)
}

/// Whether an entry has more to do at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    /// Some shards are to be taken yet.
    More,
    /// It waits for news.
    Nothing,
}

async fn act(inner: &Inner, grace: &mut Grace) -> Left {
    let lease = *inner.lease.borrow();
    if lease == 0 || inner.is_closing() || !inner.opts.keeps {
        return Left::Nothing;
    }
    grace.note(lease, inner.opts.ttl);
    adopt(inner).await;
    wanted::look_up(inner).await;
    let plan = inner.table.write().plan(&inner.opts.entry, inner.opts.ttl);
    let left = take(inner, plan.acquire, grace).await;
    hand_over(inner, plan.release).await;
    left
}

/// Takes some of the `free` shards.
///
/// *Failure:* a plan of thousands of shards was carried out to its end. Meanwhile the store went away,
/// each group was tried several times in vain, and nothing that the store had to tell was read: seconds
/// after it was back the entry still took a dead entry for the keeper of its shards. So the table is
/// read after each group, and a store that does not answer ends the attempt.
async fn take(inner: &Inner, free: Vec<id::ShardId>, grace: &Grace) -> Left {
    let is_kept = |shard: &id::ShardId| inner.slot(*shard).lock().kept().is_some();
    let (kept, mut absent): (Vec<_>, Vec<_>) = free.into_iter().partition(is_kept);
    // These lapsed with our lease. Loading them would drop changes that the store lacks.
    if !kept.is_empty() {
        inner.doubt_shards(&kept);
    }
    if absent.is_empty() || !grace.is_over() {
        return Left::Nothing;
    }
    // A turn whose shard is among the last of thousands would be given up before it is taken.
    let part = inner.wanted_first(&mut absent, MOVED);
    let asked = part.len();
    let wants = part
        .into_iter()
        .map(|shard| acquire::Want { shard, head: None });
    let outcome = acquire::run(inner, grace.lease, wants.collect()).await;
    let (taken, lost) = (outcome.taken.len(), outcome.lost.len());
    load::run(inner, outcome.taken).await;
    tracing::info!(entry = %inner.opts.entry, asked, taken, lost, "shards taken");
    // What others hold is still free in a table that lags; it is not asked for again at once.
    let goes_on = taken > 0 && taken + lost == asked;
    if goes_on { Left::More } else { Left::Nothing }
}

impl Grace {
    /// After an outage of the store every entry finds its own lease lapsed and all shards free.
    /// Those that kept them hold changes that the store lacks, so they go first; others wait.
    fn note(&mut self, lease: kv::LeaseId, wait: Duration) {
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

/// Loads shards that the store says are ours and that are not loaded: the answer to their
/// acquisition was lost, or their journal could not be read.
async fn adopt(inner: &Inner) {
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

/// Hands over shards beyond this entry's share, as far as nothing is under way in them.
async fn hand_over(inner: &Inner, shards: Vec<id::ShardId>) {
    let quiet = |shard: &id::ShardId| {
        let mut slot = inner.slot(*shard).lock();
        let Some(kept) = slot.serving() else {
            return false;
        };
        if !kept.shard.is_quiet() {
            return false;
        }
        kept.is_leaving = true;
        true
    };
    for part in shards.chunks(MOVED) {
        let leaving: Vec<id::ShardId> = part.iter().copied().filter(quiet).collect();
        if !leaving.is_empty() {
            close::release(inner, leaving).await;
        }
    }
}

fn sweep_all(inner: &Inner) {
    let now = keeper::now();
    for shard in 0..inner.opts.shards {
        // Not kept: nothing to sweep.
        let _ = inner.with_shard(shard, |kept| kept.sweep(now));
    }
}
