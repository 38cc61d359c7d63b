//! State of the store: multi-version keys, a change log, and leases.
//!
//! Performs no I/O and reads no clock: the caller passes the current time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

/// One version of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kv {
    /// Key.
    pub key: Vec<u8>,
    /// Value; empty for a deletion.
    pub value: Vec<u8>,
    /// Revision in which the key was created; 0 marks a deletion.
    pub create_revision: i64,
    /// Revision in which this version was written.
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    pub version: i64,
    /// Lease that the key is attached to, or 0.
    pub lease: i64,
}

impl Kv {
    /// Whether this version is a tombstone.
    pub fn is_deletion(&self) -> bool {
        self.create_revision == 0
    }
}

/// A range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// First key, inclusive.
    pub key: Vec<u8>,
    /// End, exclusive. Empty for the single key `key`, `\0` for an unbounded range.
    pub end: Vec<u8>,
}

impl Span {
    /// Whether the range contains `key`.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// A transaction condition: a property of a key equals a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// Compares the revision of the last write.
    Mod(Vec<u8>, i64),
    /// Compares the revision of creation.
    Create(Vec<u8>, i64),
    /// Compares the number of writes since creation.
    Version(Vec<u8>, i64),
    /// Compares the value.
    Value(Vec<u8>, Vec<u8>),
    /// Compares the lease.
    Lease(Vec<u8>, i64),
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// Lease to attach the key to, or 0.
        lease: i64,
    },
    /// Deletes a range of keys.
    Delete(Span),
    /// Reads a range of keys.
    Get(Read),
}

/// A range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    /// Keys to read.
    pub span: Span,
    /// Maximum number of keys to return; 0 for all.
    pub limit: usize,
    /// Revision to read at; 0 for the current one.
    pub revision: i64,
}

/// Result of one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key was written.
    Put,
    /// Number of deleted keys.
    Deleted(usize),
    /// Result of a range read.
    Range {
        /// The key-value pairs, in key order.
        kvs: Vec<Kv>,
        /// Whether the limit truncated the result.
        more: bool,
    },
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether all conditions were met.
    pub succeeded: bool,
    /// Revision after the transaction.
    pub revision: i64,
    /// One reply per operation.
    pub replies: Vec<Reply>,
}

/// Reason why an operation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The revision has been compacted; holds the oldest available revision.
    Compacted(i64),
    /// The revision is higher than the current one.
    FutureRevision,
    /// The lease does not exist.
    NoLease,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// State of the store.
#[derive(Debug)]
pub struct Mvcc {
    revision: i64,
    /// Changes at or below this revision have been compacted.
    compacted: i64,
    keys: BTreeMap<Vec<u8>, Vec<Kv>>,
    log: Vec<Kv>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Default for Mvcc {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            log: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_000,
        }
    }
}

impl Mvcc {
    /// Current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Oldest revision that a watch can start from.
    pub fn oldest_watchable(&self) -> i64 {
        self.compacted + 1
    }

    /// Reads a range of keys.
    ///
    /// # Errors
    ///
    /// When the requested revision is compacted or in the future.
    pub fn read(&self, read: &Read) -> Result<Reply, Refusal> {
        if read.revision > self.revision {
            return Err(Refusal::FutureRevision);
        }
        if read.revision != 0 && read.revision < self.compacted {
            return Err(Refusal::Compacted(self.compacted));
        }
        let at = if read.revision == 0 {
            self.revision
        } else {
            read.revision
        };
        let mut kvs = self.live_at(&read.span, at);
        let more = read.limit != 0 && kvs.len() > read.limit;
        if more {
            kvs.truncate(read.limit);
        }
        Ok(Reply::Range { kvs, more })
    }

    /// Runs a transaction. If one operation is refused, none is applied.
    ///
    /// # Errors
    ///
    /// When a lease is unknown or a read is refused.
    pub fn txn(
        &mut self,
        compares: &[Compare],
        then: Vec<Op>,
        otherwise: Vec<Op>,
    ) -> Result<Outcome, Refusal> {
        let succeeded = compares.iter().all(|compare| self.is_met(compare));
        let ops = if succeeded { then } else { otherwise };
        self.check(&ops)?;
        let revision = self.revision + 1;
        let log_len = self.log.len();
        let replies = ops.into_iter().map(|op| self.apply(op, revision)).collect();
        if self.log.len() > log_len {
            self.revision = revision;
        }
        Ok(Outcome {
            succeeded,
            revision: self.revision,
            replies,
        })
    }

    /// Changes within `span` since revision `from`, inclusive, oldest first.
    ///
    /// # Errors
    ///
    /// When some of them are compacted.
    pub fn changes(&self, span: &Span, from: i64) -> Result<Vec<Kv>, Refusal> {
        self.first_changes(span, from, usize::MAX)
    }

    /// Changes within `span` since revision `from`, inclusive, oldest first, from at most `limit`
    /// revisions.
    ///
    /// # Errors
    ///
    /// When some of them are compacted.
    pub fn first_changes(&self, span: &Span, from: i64, limit: usize) -> Result<Vec<Kv>, Refusal> {
        if from <= self.compacted {
            return Err(Refusal::Compacted(self.oldest_watchable()));
        }
        let start = self.log.partition_point(|kv| kv.mod_revision < from);
        let changes = self.log[start..].iter().filter(|kv| span.contains(&kv.key));
        let mut found: Vec<Kv> = Vec::new();
        let mut revisions = 0;
        for kv in changes {
            let is_next = found
                .last()
                .is_none_or(|last| last.mod_revision < kv.mod_revision);
            revisions += usize::from(is_next);
            if revisions > limit {
                break;
            }
            found.push(kv.clone());
        }
        Ok(found)
    }

    /// Drops changes at or below `revision`; versions still in effect are kept.
    pub fn compact(&mut self, revision: i64) {
        self.compacted = revision.min(self.revision).max(self.compacted);
        let compacted = self.compacted;
        self.log.retain(|kv| kv.mod_revision > compacted);
        for versions in self.keys.values_mut() {
            let last = versions.partition_point(|kv| kv.mod_revision <= compacted);
            versions.drain(..last.saturating_sub(1));
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.next_lease, Lease { ttl, expires_at });
        self.next_lease
    }

    /// Renews a lease and returns its TTL, or `None` if the lease does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id).filter(|l| l.expires_at > now)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys; returns `false` if the lease does not exist.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys = self.live_keys_of(id);
        if keys.is_empty() {
            return true;
        }
        self.revision += 1;
        for key in keys {
            self.push(Kv {
                key,
                mod_revision: self.revision,
                ..Kv::default()
            });
        }
        true
    }

    /// Revokes all leases that have expired by `now`.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    fn live_at(&self, span: &Span, revision: i64) -> Vec<Kv> {
        let from = Bound::Included(span.key.clone());
        let tail = self.keys.range((from, Bound::Unbounded));
        let within = tail.take_while(|(key, _)| span.contains(key));
        let newest = within.filter_map(|(_, versions)| version_at(versions, revision));
        newest.cloned().collect()
    }

    fn live(&self, key: &[u8]) -> Option<&Kv> {
        version_at(self.keys.get(key)?, i64::MAX)
    }

    fn live_keys_of(&self, lease: i64) -> BTreeSet<Vec<u8>> {
        let newest = self.keys.values().filter_map(|v| version_at(v, i64::MAX));
        let bound = newest.filter(|kv| kv.lease == lease);
        bound.map(|kv| kv.key.clone()).collect()
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let absent = Kv::default();
        let live = |key| self.live(key).unwrap_or(&absent);
        match compare {
            Compare::Mod(key, rev) => live(key).mod_revision == *rev,
            Compare::Create(key, rev) => live(key).create_revision == *rev,
            Compare::Version(key, version) => live(key).version == *version,
            Compare::Lease(key, lease) => live(key).lease == *lease,
            // A missing key has no value, so the comparison fails.
            Compare::Value(key, value) => self.live(key).is_some_and(|kv| kv.value == *value),
        }
    }

    fn check(&self, ops: &[Op]) -> Result<(), Refusal> {
        for op in ops {
            match op {
                Op::Put { lease, .. } if *lease != 0 && !self.leases.contains_key(lease) => {
                    return Err(Refusal::NoLease);
                }
                Op::Get(read) => {
                    self.read(read)?;
                }
                _ => (),
            }
        }
        Ok(())
    }

    fn apply(&mut self, op: Op, revision: i64) -> Reply {
        match op {
            Op::Put { key, value, lease } => {
                self.put(key, value, lease, revision);
                Reply::Put
            }
            Op::Delete(span) => {
                let deleted = self.live_at(&span, i64::MAX);
                let count = deleted.len();
                for kv in deleted {
                    self.push(Kv {
                        key: kv.key,
                        mod_revision: revision,
                        ..Kv::default()
                    });
                }
                Reply::Deleted(count)
            }
            Op::Get(read) => self.read(&read).unwrap_or(Reply::Range {
                kvs: Vec::new(),
                more: false,
            }),
        }
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64, revision: i64) {
        let previous = self.live(&key);
        let create_revision = previous.map_or(revision, |kv| kv.create_revision);
        let version = previous.map_or(1, |kv| kv.version + 1);
        self.push(Kv {
            key,
            value,
            create_revision,
            mod_revision: revision,
            version,
            lease,
        });
    }

    fn push(&mut self, kv: Kv) {
        self.log.push(kv.clone());
        self.keys.entry(kv.key.clone()).or_default().push(kv);
    }
}

/// The version in effect at `revision`, or `None` if that is a deletion.
fn version_at(versions: &[Kv], revision: i64) -> Option<&Kv> {
    let count = versions.partition_point(|kv| kv.mod_revision <= revision);
    let newest = versions.get(count.checked_sub(1)?)?;
    (!newest.is_deletion()).then_some(newest)
}
