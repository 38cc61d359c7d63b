//! Requests to the store and their replies.

use fw_base::id;

/// Id of a lease, assigned by the store; 0 for none.
pub type LeaseId = i64;

/// One key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kv {
    /// The key.
    pub key: String,
    /// The value; empty in a deletion event.
    pub value: Vec<u8>,
    /// Revision at which the key was last created.
    pub create_revision: id::Revision,
    /// Revision at which the key was last written.
    pub mod_revision: id::Revision,
    /// Number of writes since the key was created.
    pub version: i64,
    /// The lease that the key is bound to, or 0.
    pub lease: LeaseId,
}

/// A read of one key or of all keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// The key, or the prefix.
    pub key: String,
    /// Whether `key` is a prefix.
    pub prefix: bool,
    /// Maximum number of keys to return; 0 for all.
    pub limit: i64,
    /// Revision to read at; 0 for the latest.
    pub revision: id::Revision,
}

impl Range {
    /// Reads the latest value of one key.
    pub fn one(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            ..Self::default()
        }
    }

    /// Reads the latest values of all keys that begin with `key`.
    pub fn prefix(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            prefix: true,
            ..Self::default()
        }
    }
}

/// The reply to a [`Range`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// The keys in ascending order.
    pub kvs: Vec<Kv>,
    /// Revision of the store at the time of the reply.
    pub revision: id::Revision,
    /// Whether there are more keys than `limit`.
    pub more: bool,
}

/// A condition of a transaction: the named property of the key equals the value.
///
/// All revisions and the version of a missing key are 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// Compares the revision of the last write.
    ModRevision(String, id::Revision),
    /// Compares the revision of creation.
    CreateRevision(String, id::Revision),
    /// Compares the number of writes since creation.
    Version(String, i64),
    /// Compares the value.
    Value(String, Vec<u8>),
    /// Compares the lease.
    Lease(String, LeaseId),
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value, at most a megabyte.
        value: Vec<u8>,
        /// The lease to bind the key to, or 0.
        lease: LeaseId,
    },
    /// Deletes a key or all keys with a prefix.
    Delete {
        /// The key, or the prefix.
        key: String,
        /// Whether `key` is a prefix.
        prefix: bool,
    },
    /// Reads within the transaction.
    Get(Range),
}

impl Op {
    /// Writes a key without a lease.
    pub fn put(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        }
    }

    /// Deletes one key.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete {
            key: key.into(),
            prefix: false,
        }
    }

    /// Reads one key.
    pub fn get(key: impl Into<String>) -> Self {
        Self::Get(Range::one(key))
    }
}

/// A transaction: runs `then` if all of `compares` hold, otherwise `otherwise`, atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The steps if every condition holds.
    pub then: Vec<Op>,
    /// The steps if a condition does not hold.
    pub otherwise: Vec<Op>,
}

impl Txn {
    /// Whether any step writes or deletes.
    pub fn can_write(&self) -> bool {
        let mut steps = self.then.iter().chain(&self.otherwise);
        steps.any(|op| !matches!(op, Op::Get(_)))
    }
}

/// The reply to one [`Op`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key was written.
    Put,
    /// Keys were deleted.
    Deleted {
        /// The number of deleted keys.
        count: i64,
    },
    /// Keys were read.
    Range(RangeReply),
}

/// The outcome of a [`Txn`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all conditions held and `then` was run.
    pub succeeded: bool,
    /// Revision of the store after the transaction. For a transaction that wrote, the revision
    /// of its writes.
    pub revision: id::Revision,
    /// One reply for each step that was run, in order.
    pub responses: Vec<Reply>,
}

impl TxnOutcome {
    /// The keys that all reads of the transaction returned, in order.
    pub fn into_kvs(self) -> Vec<Kv> {
        let got = self.responses.into_iter().filter_map(|reply| match reply {
            Reply::Range(range_reply) => Some(range_reply.kvs),
            Reply::Put | Reply::Deleted { .. } => None,
        });
        got.flatten().collect()
    }
}

/// A lease as the store granted or renewed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// Time from the store's reply until the lease lapses unless renewed.
    pub ttl: std::time::Duration,
}
