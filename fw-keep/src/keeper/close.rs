//! Hands shards over: flushes their last changes to the store, then deletes their owner keys.

use std::time::Duration;

use fw_base::id;
use fw_store::kv;
use tokio::time;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::CloseReport;
use crate::keeper::Inner;
use crate::keeper::slot::Slot;

/// Maximum number of shards per transaction; etcd allows 128 operations.
const BATCH: usize = 120;

/// Interval at which a shard is checked for unflushed changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Hands over all shards at a graceful stop.
pub(super) async fn run(inner: &Inner) -> CloseReport {
    inner.closing.send_replace(true);
    deregister(inner).await;
    let mut kept = Vec::new();
    for shard in 0..inner.opts.shards {
        if let Some(slot) = inner.slot(shard).lock().kept() {
            slot.is_leaving = true;
            kept.push(shard);
        }
    }
    let all = kept.len();
    let handed_over = release(inner, kept).await;
    let lease = *inner.lease.borrow();
    if lease != 0 {
        // If this fails, the lease expires.
        let _ = inner.store.revoke(lease).await;
    }
    CloseReport {
        handed_over,
        unflushed: all - handed_over,
    }
}

/// Hands over shards that are marked as leaving; returns the number handed over.
pub(super) async fn release(inner: &Inner, shards: Vec<id::ShardId>) -> usize {
    let deadline = time::Instant::now() + inner.opts.close_wait;
    let mut done = Vec::new();
    for shard in shards {
        if wait_flushed(inner, shard, deadline).await {
            done.push(shard);
        } else if !inner.is_closing() {
            cancel_handover(inner, shard);
        }
    }
    for chunk in done.chunks(BATCH) {
        delete_owner_keys(inner, chunk).await;
    }
    done.len()
}

/// Removes the entry from the table, so that no shards are assigned to it any more.
async fn deregister(inner: &Inner) {
    let key = keys::entry(&inner.opts.root, &inner.opts.entry);
    let txn = kv::Txn {
        then: vec![kv::Op::delete(key)],
        ..kv::Txn::default()
    };
    // If this fails, the key is deleted when the lease expires.
    let _ = inner.store.txn(&txn).await;
}

async fn wait_flushed(inner: &Inner, shard: id::ShardId, deadline: time::Instant) -> bool {
    loop {
        match inner.slot(shard).lock().kept() {
            None => return false,
            Some(kept) if kept.is_flushed() => return true,
            Some(_) => (),
        }
        if time::Instant::now() >= deadline {
            return false;
        }
        inner.mark_dirty(shard);
        time::sleep(POLL_INTERVAL).await;
    }
}

fn cancel_handover(inner: &Inner, shard: id::ShardId) {
    if let Some(kept) = inner.slot(shard).lock().kept() {
        kept.is_leaving = false;
    }
}

async fn delete_owner_keys(inner: &Inner, shards: &[id::ShardId]) {
    let mut txn = kv::Txn::default();
    for shard in shards {
        let fence = match inner.slot(*shard).lock().kept() {
            Some(kept) => kept.writer.fence(),
            None => continue,
        };
        let owner = keys::owner(&inner.opts.root, *shard);
        // A key with another fencing number belongs to the shard's new keeper.
        txn.compares
            .push(kv::Compare::CreateRevision(owner.clone(), fence));
        txn.then.push(kv::Op::delete(owner));
        *inner.slot(*shard).lock() = Slot::Absent;
        metrics::counter!(keeper::LOST_TOTAL, "reason" => "handed_over").increment(1);
    }
    // If this fails or its answer is lost, the table still names this process as the keeper of those
    // shards, and they are loaded again.
    let Ok(done) = inner.store.txn(&txn).await else {
        return;
    };
    if done.succeeded {
        let mut table = inner.table.write();
        let given = shards.iter();
        given.for_each(|shard| table.update_owner(*shard, None, done.revision));
    }
}
