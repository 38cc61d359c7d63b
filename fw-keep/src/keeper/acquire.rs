//! Takes shards: creates their keeper's keys where nobody else has.

use fw_base::id;
use fw_store::kv;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::lease::Backoff;
use crate::keeper::table::OwnerValue;

/// Shards in one transaction, which has up to two steps for each; etcd allows 128.
pub(super) const BATCH: usize = 60;

/// Transactions tried for one batch. Each failure removes the shards that others hold, so more
/// than a few mean that the store does not answer.
const TRIES: usize = 4;

/// A shard to take.
#[derive(Clone, Debug)]
pub(super) struct Want {
    pub(super) shard: id::ShardId,
    /// The journal's head must have this value; not checked if absent.
    pub(super) head: Option<Option<Vec<u8>>>,
}

/// What became of the shards asked for. Those in neither list are undecided.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) taken: Vec<(id::ShardId, id::Fence)>,
    /// Somebody else holds them, or has changed their journal.
    pub(super) lost: Vec<id::ShardId>,
}

/// Takes shards under `lease`, for as long as that is the one in force.
///
/// With a new lease the caller has to judge anew what it may take: the shards of others, whose leases
/// have lapsed as well, are left to them for a while.
pub(super) async fn run(inner: &Inner, lease: kv::LeaseId, wants: Vec<Want>) -> Outcome {
    let mut outcome = Outcome::default();
    for chunk in wants.chunks(BATCH) {
        batch(inner, lease, chunk.to_vec(), &mut outcome).await;
    }
    note(inner, &outcome);
    outcome
}

async fn batch(inner: &Inner, lease: kv::LeaseId, mut wants: Vec<Want>, outcome: &mut Outcome) {
    let mut backoff = Backoff::new();
    for _ in 0..TRIES {
        let is_in_force = lease != 0 && *inner.lease.borrow() == lease;
        if wants.is_empty() || !is_in_force {
            return;
        }
        match inner.store.txn(&txn(inner, &wants, lease)).await {
            Ok(done) if done.succeeded => {
                inner.note_contact();
                let taken = wants.iter().map(|want| (want.shard, done.revision));
                outcome.taken.extend(taken);
                return;
            }
            Ok(done) => {
                inner.note_contact();
                wants = judge(inner, wants, &done.into_kvs(), outcome);
            }
            // The next try finds our own key if this one took effect after all.
            Err(_) => backoff.pause().await,
        }
    }
}

fn txn(inner: &Inner, wants: &[Want], lease: kv::LeaseId) -> kv::Txn {
    let root = &inner.opts.root;
    let value = own(inner).encode();
    let mut txn = kv::Txn::default();
    for want in wants {
        let owner = keys::owner(root, want.shard);
        let head = keys::head(root, want.shard);
        txn.compares
            .push(kv::Compare::CreateRevision(owner.clone(), 0));
        txn.otherwise.push(kv::Op::get(&owner));
        if let Some(expected) = &want.head {
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

/// Sorts the shards by what the store holds; returns those that are still free.
fn judge(inner: &Inner, wants: Vec<Want>, kvs: &[kv::Kv], outcome: &mut Outcome) -> Vec<Want> {
    let find = |key: String| kvs.iter().find(|kv| kv.key == key);
    let mut free = Vec::new();
    for want in wants {
        let owner = find(keys::owner(&inner.opts.root, want.shard));
        let head = find(keys::head(&inner.opts.root, want.shard)).map(|kv| kv.value.clone());
        let is_same = want.head.as_ref().is_none_or(|expected| *expected == head);
        let is_ours = |kv: &kv::Kv| {
            OwnerValue::decode(&kv.value).is_some_and(|value| value.nonce == inner.nonce)
        };
        match owner {
            None if is_same => free.push(want),
            Some(kv) if is_ours(kv) && is_same => {
                outcome.taken.push((want.shard, kv.create_revision));
            }
            _ => outcome.lost.push(want.shard),
        }
    }
    free
}

fn note(inner: &Inner, outcome: &Outcome) {
    count("taken", outcome.taken.len());
    count("lost", outcome.lost.len());
    let mut table = inner.table.write();
    for (shard, fence) in &outcome.taken {
        let own = own(inner).holder(*fence);
        table.note(*shard, Some(own), *fence);
    }
}

/// The value of this process's keys.
fn own(inner: &Inner) -> OwnerValue {
    OwnerValue {
        entry: inner.opts.entry.clone(),
        nonce: inner.nonce,
    }
}

fn count(outcome: &'static str, number: usize) {
    metrics::counter!(keeper::ACQUIRES_TOTAL, "outcome" => outcome).increment(number as u64);
}
