//! Hands shards over: their last changes go to the store, then their keeper's keys are deleted.

use std::time::Duration;

use fw_base::id;
use fw_store::kv;
use tokio::time;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::CloseReport;
use crate::keeper::Inner;
use crate::keeper::slot::Slot;

/// Shards in one transaction; etcd allows 128 steps.
const BATCH: usize = 120;

/// Time between two looks at whether the last changes are in the store.
const LOOK: Duration = Duration::from_millis(5);

/// Hands over everything at a graceful stop.
pub(super) async fn run(inner: &Inner) -> CloseReport {
    inner.closing.send_replace(true);
    leave(inner).await;
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
        // If this fails, the lease lapses by itself.
        let _ = inner.store.revoke(lease).await;
    }
    CloseReport {
        handed_over,
        unflushed: all - handed_over,
    }
}

/// Hands over shards that are marked as leaving; returns how many.
pub(super) async fn release(inner: &Inner, shards: Vec<id::ShardId>) -> usize {
    let deadline = time::Instant::now() + inner.opts.close_wait;
    let mut done = Vec::new();
    for shard in shards {
        if flushed(inner, shard, deadline).await {
            done.push(shard);
        } else if !inner.is_closing() {
            stay(inner, shard);
        }
    }
    for chunk in done.chunks(BATCH) {
        delete(inner, chunk).await;
    }
    done.len()
}

/// Takes the entry off the table, so that no other waits for it to take shards.
async fn leave(inner: &Inner) {
    let key = keys::entry(&inner.opts.root, &inner.opts.entry);
    let txn = kv::Txn {
        then: vec![kv::Op::delete(key)],
        ..kv::Txn::default()
    };
    // If this fails, the key goes with the lease.
    let _ = inner.store.txn(&txn).await;
}

async fn flushed(inner: &Inner, shard: id::ShardId, deadline: time::Instant) -> bool {
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
        time::sleep(LOOK).await;
    }
}

fn stay(inner: &Inner, shard: id::ShardId) {
    if let Some(kept) = inner.slot(shard).lock().kept() {
        kept.is_leaving = false;
    }
}

async fn delete(inner: &Inner, shards: &[id::ShardId]) {
    let mut txn = kv::Txn::default();
    for shard in shards {
        let fence = match inner.slot(*shard).lock().kept() {
            Some(kept) => kept.writer.fence(),
            None => continue,
        };
        let owner = keys::owner(&inner.opts.root, *shard);
        // A key of another fencing number is its new keeper's.
        txn.compares
            .push(kv::Compare::CreateRevision(owner.clone(), fence));
        txn.then.push(kv::Op::delete(owner));
        *inner.slot(*shard).lock() = Slot::Absent;
        metrics::counter!(keeper::LOST_TOTAL, "reason" => "handed_over").increment(1);
    }
    // If this fails or its answer is lost, the table says so and the shards are loaded again.
    let Ok(done) = inner.store.txn(&txn).await else {
        return;
    };
    if done.succeeded {
        let mut table = inner.table.write();
        let given = shards.iter();
        given.for_each(|shard| table.note(*shard, None, done.revision));
    }
}
