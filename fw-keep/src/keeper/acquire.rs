//! Acquires shards by creating their owner keys in the store, where absent.

use fw_base::id;
use fw_store::kv;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::lease::Backoff;
use crate::keeper::table::OwnerValue;

/// Maximum number of shards per transaction, which has up to two operations for each; etcd allows 128.
pub(super) const BATCH: usize = 60;

/// Maximum number of transactions per batch. Each failed one removes the shards that others hold, so
/// that repeated failures mean that the store does not answer.
const MAX_ATTEMPTS: usize = 4;

/// A shard to acquire.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) shard: id::ShardId,
    /// Value that the journal's head must have (`Some(None)`: no head); `None` skips the check.
    pub(super) head: Option<Option<Vec<u8>>>,
}

/// Outcome of the requests. Shards in neither list are undecided.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) taken: Vec<(id::ShardId, id::Fence)>,
    /// Shards that another process holds, or whose journal it has changed.
    pub(super) lost: Vec<id::ShardId>,
}

/// Acquires shards under `lease`, as long as that lease is in force.
///
/// After a new lease the caller has to decide again which shards it may take: if the leases of other
/// entries have lapsed as well, their shards are left to them for a while.
pub(super) async fn run(inner: &Inner, lease: kv::LeaseId, requests: Vec<Request>) -> Outcome {
    let mut outcome = Outcome::default();
    for chunk in requests.chunks(BATCH) {
        acquire_batch(inner, lease, chunk.to_vec(), &mut outcome).await;
    }
    record(inner, &outcome);
    outcome
}

async fn acquire_batch(
    inner: &Inner,
    lease: kv::LeaseId,
    mut requests: Vec<Request>,
    outcome: &mut Outcome,
) {
    let mut backoff = Backoff::new();
    for _ in 0..MAX_ATTEMPTS {
        let is_in_force = lease != 0 && *inner.lease.borrow() == lease;
        if requests.is_empty() || !is_in_force {
            return;
        }
        match inner.store.txn(&txn(inner, &requests, lease)).await {
            Ok(done) if done.succeeded => {
                inner.record_contact();
                let taken = requests
                    .iter()
                    .map(|request| (request.shard, done.revision));
                outcome.taken.extend(taken);
                return;
            }
            Ok(done) => {
                inner.record_contact();
                requests = classify(inner, requests, &done.into_kvs(), outcome);
            }
            // If this attempt took effect, the next one finds our own key.
            Err(_) => backoff.pause().await,
        }
    }
}

fn txn(inner: &Inner, requests: &[Request], lease: kv::LeaseId) -> kv::Txn {
    let root = &inner.opts.root;
    let value = owner_value(inner).encode();
    let mut txn = kv::Txn::default();
    for request in requests {
        let owner = keys::owner(root, request.shard);
        let head = keys::head(root, request.shard);
        txn.compares
            .push(kv::Compare::CreateRevision(owner.clone(), 0));
        txn.otherwise.push(kv::Op::get(&owner));
        if let Some(expected) = &request.head {
            txn.compares.push(match expected {
                Some(value) => kv::Compare::Value(head.clone(), value.clone()),
                None => kv::Compare::CreateRevision(head.clone(), 0),
            });
            txn.otherwise.push(kv::Op::get(head));
        }
        txn.then.push(kv::Op::Put {
            key: owner,
            value: value.clone(),
            lease,
        });
    }
    txn
}

/// Classifies the requested shards by the stored keys; returns those that are still free.
fn classify(
    inner: &Inner,
    requests: Vec<Request>,
    kvs: &[kv::Kv],
    outcome: &mut Outcome,
) -> Vec<Request> {
    let find = |key: String| kvs.iter().find(|kv| kv.key == key);
    let mut free = Vec::new();
    for request in requests {
        let owner = find(keys::owner(&inner.opts.root, request.shard));
        let head = find(keys::head(&inner.opts.root, request.shard)).map(|kv| kv.value.clone());
        let is_same = request
            .head
            .as_ref()
            .is_none_or(|expected| *expected == head);
        let is_ours = |kv: &kv::Kv| {
            OwnerValue::decode(&kv.value).is_some_and(|value| value.nonce == inner.nonce)
        };
        match owner {
            None if is_same => free.push(request),
            Some(kv) if is_ours(kv) && is_same => {
                outcome.taken.push((request.shard, kv.create_revision));
            }
            _ => outcome.lost.push(request.shard),
        }
    }
    free
}

fn record(inner: &Inner, outcome: &Outcome) {
    count("taken", outcome.taken.len());
    count("lost", outcome.lost.len());
    let mut table = inner.table.write();
    for (shard, fence) in &outcome.taken {
        let holder = owner_value(inner).into_holder(*fence);
        table.update_owner(*shard, Some(holder), *fence);
    }
}

/// The value of the owner keys of this process.
fn owner_value(inner: &Inner) -> OwnerValue {
    OwnerValue {
        entry: inner.opts.entry.clone(),
        nonce: inner.nonce,
    }
}

fn count(outcome: &'static str, number: usize) {
    metrics::counter!(keeper::ACQUIRES_TOTAL, "outcome" => outcome).increment(number as u64);
}
