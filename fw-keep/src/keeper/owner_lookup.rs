//! Looks up the owners of shards that calls wait for.
//!
//! *Failure:* while an entry acquires thousands of shards, the watch events read between two batches lag
//! behind by many messages. A shard that a call waits for is free by then, but not yet in the table, so it
//! is acquired last and the call is refused.

use fw_base::id;
use fw_store::kv;

use crate::journal::keys;
use crate::keeper::Inner;
use crate::keeper::acquire;

/// Refreshes the owners of prioritized shards that the table assigns to other processes.
pub(super) async fn refresh(inner: &Inner) {
    let shards = prioritized_elsewhere(inner);
    if shards.is_empty() {
        return;
    }
    let root = &inner.opts.root;
    let gets = shards
        .iter()
        .map(|shard| kv::Op::get(keys::owner(root, *shard)));
    let txn = kv::Txn {
        then: gets.collect(),
        ..kv::Txn::default()
    };
    let found = match inner.store.txn(&txn).await {
        Ok(found) => found,
        Err(err) => {
            tracing::info!(entry = %inner.opts.entry, %err, "cannot read the owners of shards that calls wait for");
            return;
        }
    };
    inner.record_contact();
    let revision = found.revision;
    inner
        .table
        .write()
        .update_owners(root, &shards, found.into_kvs(), revision);
    tracing::info!(entry = %inner.opts.entry, asked = shards.len(), revision, "read the owners of shards that calls wait for");
}

/// Prioritized shards that other processes keep according to the table.
fn prioritized_elsewhere(inner: &Inner) -> Vec<id::ShardId> {
    let table = inner.table.read();
    let prioritized = inner.prioritized.lock();
    let kept = table.kept_by_others(inner.nonce).map(|(shard, _)| shard);
    let elsewhere = kept.filter(|shard| prioritized.contains(shard));
    elsewhere.take(acquire::BATCH).collect()
}
