//! Loads newly acquired shards by replaying their journals.
//!
//! Small journals share a store call; a large one is read a few segments at a time.

use fw_base::id;
use fw_store::kv;

use crate::journal::keys;
use crate::journal::replay;
use crate::journal::segment::Head;
use crate::journal::writer::Writer;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::slot::Kept;
use crate::keeper::slot::Slot;
use crate::shard::Shard;

/// Maximum number of shards per transaction, with two reads each; etcd allows 128 operations.
const BATCH: usize = 60;

/// Maximum bytes of segments read in one call. Bounds the memory used by loading, apart from the shards.
const MAX_READ_BYTES: u64 = 4_000_000;

/// Segments read per call from a journal larger than [`MAX_READ_BYTES`]; each is up to a megabyte.
const SEGMENTS_PER_READ: u64 = 4;

/// An acquired shard whose journal is not yet read.
#[derive(Clone, Debug)]
struct UnloadedShard {
    shard: id::ShardId,
    fence: id::Fence,
    /// The stored value of the journal's head.
    head: Option<Vec<u8>>,
    /// The decoded head, or the default if it cannot be decoded; used for its sizes.
    decoded_head: Head,
}

/// Loads the shards; those whose journal cannot be read stay absent and are retried later.
pub(super) async fn run(inner: &Inner, taken: Vec<(id::ShardId, id::Fence)>) {
    for chunk in taken.chunks(BATCH) {
        // Read before the calls: a lease that lapses during them puts the shards in doubt.
        let epoch = inner.ownership_epoch();
        let Some(unloaded) = read_heads(inner, chunk).await else {
            count("unavailable", chunk.len());
            continue;
        };
        for group in group_by_size(unloaded) {
            load_group(inner, group, epoch).await;
        }
        // These shards were not yet kept when ownership was invalidated, so they were not verified.
        if inner.ownership_epoch() != epoch {
            inner.verify_due.notify_one();
        }
    }
}

async fn read_heads(
    inner: &Inner,
    taken: &[(id::ShardId, id::Fence)],
) -> Option<Vec<UnloadedShard>> {
    let root = &inner.opts.root;
    let reads = taken.iter().flat_map(|(shard, _)| {
        let owner = kv::Op::get(keys::owner(root, *shard));
        [owner, kv::Op::get(keys::head(root, *shard))]
    });
    let kvs = read(inner, reads.collect()).await?;
    let is_ours = |(shard, fence): &&(id::ShardId, id::Fence)| {
        let key = keys::owner(root, *shard);
        let owner = kvs.iter().find(|kv| kv.key == key);
        owner.is_some_and(|kv| kv.create_revision == *fence)
    };
    let unloaded = taken.iter().filter(is_ours).map(|(shard, fence)| {
        let key = keys::head(root, *shard);
        let head = kvs
            .iter()
            .find(|kv| kv.key == key)
            .map(|kv| kv.value.clone());
        let decoded = head
            .as_ref()
            .and_then(|v| Head::decode(&key, *shard, v).ok());
        UnloadedShard {
            shard: *shard,
            fence: *fence,
            head,
            decoded_head: decoded.unwrap_or_default(),
        }
    });
    Some(unloaded.collect())
}

/// Groups shards so that each group's journals are read with one call.
fn group_by_size(unloaded: Vec<UnloadedShard>) -> Vec<Vec<UnloadedShard>> {
    let mut groups: Vec<Vec<UnloadedShard>> = Vec::new();
    let mut bytes = u64::MAX;
    for shard in unloaded {
        bytes = bytes.saturating_add(shard.decoded_head.bytes);
        match groups.last_mut() {
            Some(group) if bytes <= MAX_READ_BYTES => group.push(shard),
            _ => {
                bytes = shard.decoded_head.bytes;
                groups.push(vec![shard]);
            }
        }
    }
    groups
}

async fn load_group(inner: &Inner, group: Vec<UnloadedShard>, epoch: u64) {
    let is_large = group
        .iter()
        .any(|shard| shard.decoded_head.bytes > MAX_READ_BYTES);
    let values = if is_large {
        read_large(inner, &group[0]).await
    } else {
        read_small(inner, &group).await
    };
    let Some(values) = values else {
        count("unavailable", group.len());
        return;
    };
    for unloaded in group {
        let prefix = keys::segments(&inner.opts.root, unloaded.shard);
        let own = values.iter().filter(|kv| kv.key.starts_with(&prefix));
        let own = own.map(|kv| (kv.key.clone(), kv.value.clone())).collect();
        install(inner, unloaded, own, epoch);
    }
}

async fn read_small(inner: &Inner, group: &[UnloadedShard]) -> Option<Vec<kv::Kv>> {
    let prefixes = group
        .iter()
        .map(|unloaded| keys::segments(&inner.opts.root, unloaded.shard));
    let reads = prefixes.map(|prefix| kv::Op::Get(kv::Range::prefix(prefix)));
    read(inner, reads.collect()).await
}

async fn read_large(inner: &Inner, unloaded: &UnloadedShard) -> Option<Vec<kv::Kv>> {
    let head = &unloaded.decoded_head;
    let mut kvs = Vec::new();
    for first in (0..head.next_seq).step_by(SEGMENTS_PER_READ as usize) {
        let last = (first + SEGMENTS_PER_READ).min(head.next_seq);
        let reads = (first..last).map(|seq| {
            let key = keys::segment(&inner.opts.root, unloaded.shard, head.generation, seq);
            kv::Op::get(key)
        });
        kvs.extend(read(inner, reads.collect()).await?);
    }
    Some(kvs)
}

async fn read(inner: &Inner, reads: Vec<kv::Op>) -> Option<Vec<kv::Kv>> {
    let txn = kv::Txn {
        then: reads,
        ..kv::Txn::default()
    };
    let outcome = inner.store.txn(&txn).await.ok()?;
    inner.record_contact();
    Some(outcome.into_kvs())
}

fn install(inner: &Inner, unloaded: UnloadedShard, values: Vec<(String, Vec<u8>)>, epoch: u64) {
    let UnloadedShard { shard, fence, .. } = unloaded;
    let opts = &inner.opts;
    let replayed = replay::read(&opts.root, shard, unloaded.head, values);
    let damaged = replayed.is_damaged();
    count(if damaged { "damaged" } else { "clean" }, 1);
    let loaded = Shard::load(shard, replayed.items)
        .with_retention(opts.retention)
        .with_max_pending(opts.max_pending);
    if let Some(reason) = loaded.damage() {
        tracing::error!(entry = %inner.opts.entry, shard, reason, "journal damaged");
    }
    let writer = Writer::new(
        &opts.root,
        shard,
        fence,
        replayed.head,
        replayed.stored_head,
        opts.journal,
    );
    let mut slot = inner.slot(shard).lock();
    // No other task can have loaded it meanwhile: only `membership` loads shards.
    if slot.kept().is_none() {
        let kept = Kept::new(loaded, writer, epoch);
        *inner.last_loaded.lock() = Some(kept.since);
        *slot = Slot::Kept(Box::new(kept));
    }
}

fn count(outcome: &'static str, number: usize) {
    metrics::counter!(keeper::REPLAYS_TOTAL, "outcome" => outcome).increment(number as u64);
}
