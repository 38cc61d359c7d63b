//! The state of the store: keys with all their versions, a log of changes, and leases.
//!
//! No I/O and no clock: the time comes in as an argument.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

/// One version of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kv {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty for a deletion.
    pub value: Vec<u8>,
    /// Revision of creation; 0 marks a deletion.
    pub create_revision: i64,
    /// Revision of this version.
    pub mod_revision: i64,
    /// Number of writes since creation.
    pub version: i64,
    /// The lease it is bound to, or 0.
    pub lease: i64,
}

impl Kv {
    /// Whether this version marks a deletion.
    pub fn is_deletion(&self) -> bool {
        self.create_revision == 0
    }
}

/// A span of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// First key.
    pub key: Vec<u8>,
    /// End, exclusive; empty for the one key, `\0` for no end.
    pub end: Vec<u8>,
}

impl Span {
    /// Whether `key` lies within.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// A condition: property of a key equals the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// Revision of the last write.
    Mod(Vec<u8>, i64),
    /// Revision of creation.
    Create(Vec<u8>, i64),
    /// Writes since creation.
    Version(Vec<u8>, i64),
    /// Value.
    Value(Vec<u8>, Vec<u8>),
    /// Lease.
    Lease(Vec<u8>, i64),
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The lease, or 0.
        lease: i64,
    },
    /// Deletes a span.
    Delete(Span),
    /// Reads a span.
    Get(Read),
}

/// A read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    /// The keys.
    pub span: Span,
    /// Most keys to return; 0 for all.
    pub limit: usize,
    /// Revision to read at; 0 for the newest.
    pub revision: i64,
}

/// What a step did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Written.
    Put,
    /// Deleted so many keys.
    Deleted(usize),
    /// Read these keys.
    Range {
        /// The keys, in order.
        kvs: Vec<Kv>,
        /// Whether the limit left keys out.
        more: bool,
    },
}

/// What a transaction did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Revision afterwards.
    pub revision: i64,
    /// One reply a step.
    pub replies: Vec<Reply>,
}

/// Why a step is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The revision was compacted; the oldest that can be read is given.
    Compacted(i64),
    /// The revision is not there yet.
    FutureRevision,
    /// The lease does not exist.
    NoLease,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The state.
#[derive(Debug)]
pub struct Mvcc {
    revision: i64,
    /// Changes at or below this revision are gone.
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
    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The oldest revision that a watch may start from.
    pub fn oldest_watchable(&self) -> i64 {
        self.compacted + 1
    }

    /// Reads a span.
    ///
    /// # Errors
    ///
    /// When the revision asked for is compacted or yet to come.
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

    /// Runs a transaction. Refused as a whole if one step is.
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

    /// Changes within `span` from `from` on, oldest first.
    ///
    /// # Errors
    ///
    /// When some of them are compacted.
    pub fn changes(&self, span: &Span, from: i64) -> Result<Vec<Kv>, Refusal> {
        self.first_changes(span, from, usize::MAX)
    }

    /// The first changes within `span` from `from` on, oldest first: those of up to `most` revisions.
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

    /// Forgets changes at or below `revision`; the live versions stay.
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

    /// Renews a lease; `None` if it has ended.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id).filter(|l| l.expires_at > now)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; `false` if it had ended.
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

    /// Ends every lease that lapsed before `now`.
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
            // A missing key has no value, so that the comparison fails.
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

/// The version in force at `revision`, unless that is a deletion.
fn version_at(versions: &[Kv], revision: i64) -> Option<&Kv> {
    let count = versions.partition_point(|kv| kv.mod_revision <= revision);
    let newest = versions.get(count.checked_sub(1)?)?;
    (!newest.is_deletion()).then_some(newest)
}
