//! An in-memory store: the state machine of the stand-in store without its network, with the types
//! of the store's client.

use std::time::Duration;
use std::time::Instant;

use fw_fake::store::mvcc;
use fw_fake::store::mvcc::Mvcc;
use fw_store::kv;

/// A store whose leases end only when the test revokes them.
#[derive(Debug)]
pub struct Memory {
    mvcc: Mvcc,
    start: Instant,
}

impl Memory {
    pub fn new() -> Self {
        Self {
            mvcc: Mvcc::default(),
            start: Instant::now(),
        }
    }

    /// A lease that lasts until it is revoked.
    pub fn grant(&mut self) -> kv::LeaseId {
        self.mvcc.grant(Duration::from_secs(1), self.start)
    }

    pub fn revoke(&mut self, lease: kv::LeaseId) {
        self.mvcc.revoke(lease);
    }

    pub fn get(&self, key: &str) -> Option<kv::Kv> {
        self.range(&kv::Range::one(key)).kvs.pop()
    }

    pub fn range(&self, range: &kv::Range) -> kv::RangeReply {
        match self.mvcc.read(&read(range)).unwrap() {
            mvcc::Reply::Range { kvs, .. } => got(kvs),
            _ => kv::RangeReply::default(),
        }
    }

    /// Runs a transaction; `None` if the store refuses it.
    pub fn txn(&mut self, txn: &kv::Txn) -> Option<kv::TxnOutcome> {
        let compares: Vec<_> = txn.compares.iter().map(compare).collect();
        let then = txn.then.iter().map(op).collect();
        let otherwise = txn.otherwise.iter().map(op).collect();
        let done = self.mvcc.txn(&compares, then, otherwise).ok()?;
        Some(kv::TxnOutcome {
            succeeded: done.succeeded,
            revision: done.revision,
            responses: done.replies.into_iter().map(reply).collect(),
        })
    }
}

fn compare(compare: &kv::Compare) -> mvcc::Compare {
    let bytes = |key: &String| key.clone().into_bytes();
    match compare {
        kv::Compare::ModRevision(key, rev) => mvcc::Compare::Mod(bytes(key), *rev),
        kv::Compare::CreateRevision(key, rev) => mvcc::Compare::Create(bytes(key), *rev),
        kv::Compare::Version(key, version) => mvcc::Compare::Version(bytes(key), *version),
        kv::Compare::Value(key, value) => mvcc::Compare::Value(bytes(key), value.clone()),
        kv::Compare::Lease(key, lease) => mvcc::Compare::Lease(bytes(key), *lease),
    }
}

fn op(op: &kv::Op) -> mvcc::Op {
    match op {
        kv::Op::Put { key, value, lease } => mvcc::Op::Put {
            key: key.clone().into_bytes(),
            value: value.clone(),
            lease: *lease,
        },
        kv::Op::Delete { key, prefix } => mvcc::Op::Delete(span(key, *prefix)),
        kv::Op::Get(range) => mvcc::Op::Get(read(range)),
    }
}

fn read(range: &kv::Range) -> mvcc::Read {
    mvcc::Read {
        span: span(&range.key, range.prefix),
        ..mvcc::Read::default()
    }
}

fn span(key: &str, prefix: bool) -> mvcc::Span {
    let key = key.as_bytes().to_vec();
    let mut end = Vec::new();
    if prefix {
        end.clone_from(&key);
        *end.last_mut().unwrap() += 1;
    }
    mvcc::Span { key, end }
}

fn reply(reply: mvcc::Reply) -> kv::Reply {
    match reply {
        mvcc::Reply::Put => kv::Reply::Put,
        mvcc::Reply::Deleted(count) => kv::Reply::Deleted {
            count: i64::try_from(count).unwrap(),
        },
        mvcc::Reply::Range { kvs, .. } => kv::Reply::Range(got(kvs)),
    }
}

fn got(kvs: Vec<mvcc::Kv>) -> kv::RangeReply {
    let kvs = kvs.into_iter().map(|kv| kv::Kv {
        key: String::from_utf8(kv.key).unwrap(),
        value: kv.value,
        create_revision: kv.create_revision,
        mod_revision: kv.mod_revision,
        version: kv.version,
        lease: kv.lease,
    });
    kv::RangeReply {
        kvs: kvs.collect(),
        ..kv::RangeReply::default()
    }
}
