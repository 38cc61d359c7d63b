//! Asks the store who keeps the shards that calls wait for.
//!
//! *Failure:* an entry takes thousands of shards, and what the watch tells between two groups is behind by many
//! messages. A shard that a call waits for is free by then, but not in the table, so that it is taken last and
//! the call refused.

use fw_base::id;
use fw_store::kv;

use crate::journal::keys;
use crate::keeper::Inner;
use crate::keeper::acquire;

/// Notes in the table who keeps the shards that calls wait for and did not find where it says.
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
            tracing::info!(entry = %inner.opts.entry, %err, "the store does not tell who keeps the shards that calls wait for");
            return;
        }
    };
    inner.record_contact();
    let revision = found.revision;
    inner
        .table
        .write()
        .update_owners(root, &shards, found.into_kvs(), revision);
    tracing::info!(entry = %inner.opts.entry, asked = shards.len(), revision, "looked up who keeps the shards that calls wait for");
}

/// The shards that calls wait for and that others keep by the table.
fn prioritized_elsewhere(inner: &Inner) -> Vec<id::ShardId> {
    let table = inner.table.read();
    let prioritized = inner.prioritized.lock();
    let kept = table.kept_by_others(inner.nonce).map(|(shard, _)| shard);
    let elsewhere = kept.filter(|shard| prioritized.contains(shard));
    elsewhere.take(acquire::BATCH).collect()
}
