//! Identity of a request at several levels of likeness.
//!
//! *Load pattern:* a request that crashes upstreams comes again in variants: with the same input after other
//! turns, or with a body that has grown since.
//!
//! *Without it:* one digest of the whole request counts each variant anew; one of a part that many requests
//! share has all of them refused for one.
//!
//! *Rule:* a failure is recorded at each level. The record of a path or a body, which a group of requests shares,
//! restricts them only if no single variant accounts for all failures, that of a path also only if no single
//! upstream does. A completed run disproves the failures at all levels of its request.
//!
//! *Grounds:* where others of a group complete, the group is not the cause, and its finer levels go on to count. Where
//! one variant alone fails, its own record restricts it. So a group is refused only while variants of it fail
//! one after the other and none completes. Requests of all kinds share a path: an upstream that crashes by itself
//! at each start meets many of them.

use std::collections::BTreeSet;
use std::time::Duration;

use fw_base::id;
use xxhash_rust::xxh3;

use super::{
    CRASH_WEIGHT, Evidence, Failure, FailureId, Fingerprint, Incarnation, MAX_FAILURES, Outcome,
    OwnerId, Suspect, Table, UpstreamHash, Weight,
};

/// Level of likeness, from the coarsest to the finest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Requests to one path.
    Path,
    /// Requests to one path with one body, as the caller sent it.
    Body,
    /// Repetitions of one request: the turn that it continues and the query are the same too.
    Request,
}

/// Number of levels.
pub const LEVELS: usize = 3;

/// Weights of the evidence against a request, by level.
pub type Weights = [Weight; LEVELS];

/// Fingerprints of a request at all levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Of all requests to its path.
    pub path: Fingerprint,
    /// Of all requests to its path with its body.
    pub body: Fingerprint,
    /// Of its repetitions.
    pub request: Fingerprint,
}

/// What the records of a request permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// An attempt; each of these records permits one at a time in the whole system.
    Attempt {
        /// The records.
        exclusive: Vec<Fingerprint>,
    },
    /// No attempt.
    Refused {
        /// Level of the record that refuses it.
        level: Level,
        /// Time until one attempt may be made.
        retry_after: Duration,
    },
}

/// A record whose failures a completed run has disproved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lifted {
    /// Weight of the evidence before.
    pub weight: Weight,
    /// What is known now.
    pub suspect: Suspect,
}

impl Identity {
    /// Fingerprints from the coarsest to the finest level.
    pub fn fingerprints(&self) -> [Fingerprint; LEVELS] {
        [self.path, self.body, self.request]
    }

    fn levels(&self) -> [(Level, Fingerprint); LEVELS] {
        [
            (Level::Path, self.path),
            (Level::Body, self.body),
            (Level::Request, self.request),
        ]
    }

    /// Id of a failure `at` an incarnation in the record of `level`, after the upstream has started `unlisted` times
    /// more.
    fn failure_id(&self, level: Level, at: &Incarnation, unlisted: usize) -> FailureId {
        let variant = match level {
            Level::Path => &self.body,
            Level::Body | Level::Request => &self.request,
        };
        let upstream = FailureId::from(upstream_hash(&at.upstream));
        let start = xxh3::xxh3_64_with_seed(at.upstream.as_bytes(), at.started_at);
        let start = start.wrapping_add(unlisted as u64) & 0xffff;
        (xxh3::xxh3_64(variant.as_bytes()) << 32) | (upstream << 16) | start
    }
}

/// Short hash of an upstream's id. Two upstreams may share it; failures at them then count as failures at one.
pub fn upstream_hash(id: &id::UpstreamId) -> UpstreamHash {
    (xxh3::xxh3_64(id.as_bytes()) & 0xffff) as UpstreamHash
}

/// The incarnation that a failure id names.
pub(super) fn incarnation_of(id: FailureId) -> u32 {
    id as u32
}

fn upstream_of(id: FailureId) -> UpstreamHash {
    (incarnation_of(id) >> 16) as UpstreamHash
}

fn variant_of(id: FailureId) -> u32 {
    (id >> 32) as u32
}

/// Whether the failures of a group differ in what `part` takes from their ids.
fn is_spread<T: Ord>(evidence: &Evidence, part: impl Fn(FailureId) -> T) -> bool {
    let parts = evidence.failures.keys().map(|id| part(*id));
    let parts: BTreeSet<T> = parts.collect();
    parts.len() > 1
}

/// Whether failures in the record of `level` restrict its requests.
fn restricts(level: Level, evidence: &Evidence) -> bool {
    match level {
        Level::Path => is_spread(evidence, variant_of) && is_spread(evidence, upstream_of),
        Level::Body => is_spread(evidence, variant_of),
        Level::Request => true,
    }
}

impl Table {
    /// What the records of a request permit.
    pub fn permission(&self, now: Duration, identity: &Identity) -> Permission {
        let mut exclusive = Vec::new();
        for (level, fingerprint) in identity.levels() {
            match self.decide_at(now, level, &fingerprint) {
                Outcome::Normal => {}
                Outcome::Exclusive => exclusive.push(fingerprint),
                Outcome::Refused { retry_after } => {
                    return Permission::Refused { level, retry_after };
                }
            }
        }
        Permission::Attempt { exclusive }
    }

    fn decide_at(&self, now: Duration, level: Level, fingerprint: &Fingerprint) -> Outcome {
        let entry = self.entries.get(fingerprint);
        match entry.is_some_and(|entry| restricts(level, &entry.evidence)) {
            true => self.decide(now, fingerprint),
            false => Outcome::Normal,
        }
    }

    /// Weights of the evidence against a request.
    pub fn weights(&self, now: Duration, identity: &Identity) -> Weights {
        identity
            .fingerprints()
            .map(|fingerprint| self.weight(now, &fingerprint))
    }

    /// Upstreams at which the request failed, if it runs one attempt at a time by its own record. Its next attempt
    /// should be made elsewhere, so that a failure speaks against the request and not against one upstream.
    pub fn failed_upstreams(&self, now: Duration, identity: &Identity) -> Vec<UpstreamHash> {
        let is_suspect = self.decide(now, &identity.request) != Outcome::Normal;
        let entry = self.entries.get(&identity.request);
        let entry = entry.filter(|_| is_suspect);
        let failures = entry.map(|entry| entry.evidence.failures.keys());
        let failures = failures.into_iter().flatten();
        failures.map(|id| upstream_of(*id)).collect()
    }

    /// Records `failures` of one attempt `at` an upstream, one for each level. Returns what is known of the request,
    /// from the coarsest to the finest level.
    pub fn record_failure_at(
        &mut self,
        now: Duration,
        identity: &Identity,
        owner: OwnerId,
        at: &Incarnation,
        failures: [Failure; LEVELS],
    ) -> [Suspect; LEVELS] {
        let levels = identity.levels();
        std::array::from_fn(|index| {
            let (level, fingerprint) = levels[index];
            let (id, failure) = self.locate(identity, (level, fingerprint), at, failures[index]);
            self.record_failure(now, fingerprint, owner, id, failure)
        })
    }

    /// The id of a failure at one level, and its weight. A crash at an incarnation that was known to have crashed
    /// when the attempt was sent is one of a start that the list does not state.
    fn locate(
        &self,
        identity: &Identity,
        (level, fingerprint): (Level, Fingerprint),
        at: &Incarnation,
        failure: Failure,
    ) -> (FailureId, Failure) {
        let listed = identity.failure_id(level, at, 0);
        let entry = self.entries.get(&fingerprint);
        let Some(entry) = entry.filter(|_| failure.weight == CRASH_WEIGHT) else {
            return (listed, failure);
        };
        let is_known = |id| {
            let before = entry.evidence.at_incarnation(id);
            before.is_some_and(|before| before.total <= failure.known())
        };
        let before = entry.evidence.at_incarnation(listed);
        if before.is_none_or(|before| before.weight < CRASH_WEIGHT) || !is_known(listed) {
            return (listed, failure);
        }
        let mut ids = (1..=MAX_FAILURES).map(|unlisted| identity.failure_id(level, at, unlisted));
        let unlisted = ids.find(|id| !is_known(*id));
        let failure = Failure::broken_connection(failure.known());
        (unlisted.unwrap_or(listed), failure)
    }

    /// Records that a run of the request completed. Returns the records in which that disproves a failure.
    pub fn record_success_at(&mut self, now: Duration, identity: &Identity) -> Vec<Lifted> {
        let mut lifted = Vec::new();
        for fingerprint in identity.fingerprints() {
            let weight = self.weight(now, &fingerprint);
            let suspect = self.record_success(now, &fingerprint);
            lifted.extend(suspect.map(|suspect| Lifted { weight, suspect }));
        }
        lifted
    }
}
