//! Identity of a request at several levels of likeness.
//!
//! *Load pattern:* a request that crashes upstreams comes again in variants: with the same input after other
//! turns, or with a body that has grown since.
//!
//! *Without it:* one digest of the whole request counts each variant anew; one of a part that many requests
//! share has all of them refused for one.
//!
//! *Rule:* a failure is recorded at each level. The record of a path or a body, which a group of requests shares,
//! restricts them only if no single variant accounts for all failures. A completed run disproves the
//! failures at all levels of its request.
//!
//! *Grounds:* where others of a group complete, the group is not the cause, and its finer levels go on to count. Where
//! one variant alone fails, its own record restricts it. So a group is refused only while variants of it fail
//! one after the other and none completes.

use std::collections::BTreeSet;
use std::time::Duration;

use fw_base::id;
use xxhash_rust::xxh3;

use super::{
    Evidence, Failure, FailureId, Fingerprint, Outcome, OwnerId, Suspect, Table, Weight, failure_at,
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

    /// Id of a failure at the upstream `id` in the record of `level`.
    fn failure_id(&self, level: Level, id: &id::UpstreamId) -> FailureId {
        match level {
            Level::Path => failure_of_variant(id, &self.body),
            Level::Body => failure_of_variant(id, &self.request),
            Level::Request => failure_at(id),
        }
    }
}

/// Id of the failures of `variant` at the upstream `id`.
fn failure_of_variant(id: &id::UpstreamId, variant: &Fingerprint) -> FailureId {
    let variant = xxh3::xxh3_64(variant.as_bytes());
    (variant << 32) | FailureId::from(upstream_of(failure_at(id)))
}

/// The upstream that a failure id names.
pub(super) fn upstream_of(id: FailureId) -> u32 {
    id as u32
}

fn variant_of(id: FailureId) -> u32 {
    (id >> 32) as u32
}

/// Whether the failures of a group took several of its variants, each at an upstream of its own.
fn spans_variants(evidence: &Evidence) -> bool {
    let variants = evidence.failures.keys().map(|id| variant_of(*id));
    let variants: BTreeSet<u32> = variants.collect();
    variants.len() > 1
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
        let restricts =
            level == Level::Request || entry.is_some_and(|entry| spans_variants(&entry.evidence));
        match restricts {
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

    /// Records `failures` of one attempt at `upstream`, one for each level. Returns what is known of the request,
    /// from the coarsest to the finest level.
    pub fn record_failure_at(
        &mut self,
        now: Duration,
        identity: &Identity,
        owner: OwnerId,
        upstream: &id::UpstreamId,
        failures: [Failure; LEVELS],
    ) -> [Suspect; LEVELS] {
        let levels = identity.levels();
        std::array::from_fn(|index| {
            let (level, fingerprint) = levels[index];
            let id = identity.failure_id(level, upstream);
            self.record_failure(now, fingerprint, owner, id, failures[index])
        })
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
