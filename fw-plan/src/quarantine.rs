//! Quarantine of requests that crash the upstreams that run them, agreed between processes.
//!
//! *Load pattern:* one request crashes each upstream that runs it, and its caller sends it again
//! through any entry.
//!
//! *Without it:* a single request takes down a whole service, with all that runs beside it. A count
//! kept by each entry alone lets every entry crash as many upstreams as the limit says, and again
//! after each restart.
//!
//! *Rule:* each failure of an attempt is recorded at several [levels](Level), with its weight and with
//! the weight known when the attempt was sent. Copies in flight together add up to one failure,
//! however many upstreams fail under them. After a crash the request is a suspect and runs one attempt at a time, under a
//! [claim](Claims). A completed run disproves all failures recorded by then. From
//! [`Options::weight_limit`] on it is refused, but for one attempt after a delay that grows with each
//! further crash.
//!
//! *Grounds:* a request that is not the cause completes soon, unless other faults meet it by chance
//! several times in succession; the loss of a rack under three copies of a popular request is one
//! failure. A broken connection alone weighs less: the upstream may have crashed and restarted
//! before it was looked at, or have lost one answer. So does a crash at an incarnation that is known
//! to have crashed: the upstream may have started again unlisted, or its link may break again and
//! again. Evidence only grows and merges in any order, so that processes need no common clock and no
//! common order.
//!
//! Memory is bounded by [`Options::capacity`]; the owner with the most records loses one first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use fw_base::{digest, id};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

pub use identity::{Identity, LEVELS, Level, Lifted, Permission, Weights, upstream_hash};

mod identity;

/// Digest that all repetitions of a request share, or all requests of a group.
pub type Fingerprint = digest::Digest;
/// Identifies a failure, however many processes report it. The lower half names the incarnation of the upstream,
/// its upper part the upstream; in the record of a group, the upper half names the variant of the request.
pub type FailureId = u64;
/// Weight of evidence: the sum over successive failures, each in knowledge of those before.
pub type Weight = u32;
/// Identifies the team that a record is charged to; 0 without teams.
pub type OwnerId = u64;
/// Identifies the attempt that holds a claim.
pub type HolderId = u64;
/// Number of a change of a [`Table`].
pub type Version = u64;
/// Short hash of an upstream's id.
pub type UpstreamHash = u16;
/// Start time of an upstream, in milliseconds since the Unix epoch; 0 if it is not known.
pub type StartTime = u64;

/// An upstream between one of its starts and its end. It may start again under its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The upstream.
    pub upstream: id::UpstreamId,
    /// When it started.
    pub started_at: StartTime,
}

/// Most failures kept of one request, disproved or not.
const MAX_FAILURES: usize = 16;
/// Weight of a crash.
pub const CRASH_WEIGHT: Weight = 2;
/// Weight of a connection that broke at an upstream that accepts another.
const BREAK_WEIGHT: Weight = 1;

/// Limits and durations of suspicion and quarantine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Weight from which a request is refused; by default that of three crashes.
    pub weight_limit: Weight,
    /// Weight from which a request runs one attempt at a time: that of a crash.
    pub exclusive_from: Weight,
    /// Delay from the last failure until a refused request gets one more attempt.
    pub first_probation: Duration,
    /// Factor by which each further crash extends that delay.
    pub probation_growth: u32,
    /// Longest such delay.
    pub max_probation: Duration,
    /// How long a suspicion is kept after the last failure.
    pub suspect_for: Duration,
    /// How long a quarantine is kept after the last failure: longer than the longest delay.
    pub quarantine_for: Duration,
    /// How long a claim lasts unless it is released.
    pub claim_ttl: Duration,
    /// Greatest number of records.
    pub capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            weight_limit: 3 * CRASH_WEIGHT,
            exclusive_from: CRASH_WEIGHT,
            first_probation: Duration::from_secs(60),
            probation_growth: 4,
            max_probation: Duration::from_secs(3_600),
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(7_200),
            // Most runs end sooner; a crash under a longer one still counts.
            claim_ttl: Duration::from_secs(2),
            // A request has a record at each level.
            capacity: 1_024 * LEVELS,
        }
    }
}

/// The owner of the records of `team`.
pub fn owner(team: Option<&id::TeamId>) -> OwnerId {
    team.map_or(0, |team| xxh3::xxh3_64(team.as_bytes()))
}

/// One failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Failure {
    /// Weight of all evidence up to this failure.
    total: Weight,
    /// Its own weight.
    weight: Weight,
}

impl Failure {
    /// A crash under an attempt that was sent when evidence of weight `known` was known.
    pub const fn crash(known: Weight) -> Self {
        Self {
            total: known + CRASH_WEIGHT,
            weight: CRASH_WEIGHT,
        }
    }

    /// A broken connection under an attempt that was sent when evidence of weight `known` was known.
    pub const fn broken_connection(known: Weight) -> Self {
        Self {
            total: known + BREAK_WEIGHT,
            weight: BREAK_WEIGHT,
        }
    }

    /// Weight of the evidence that was known when the attempt was sent.
    const fn known(self) -> Weight {
        self.total - self.weight
    }
}

/// Failures under one request. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    failures: BTreeMap<FailureId, Failure>,
    /// Failures that a later completed run has disproved as evidence.
    disproved: BTreeSet<FailureId>,
}

impl Evidence {
    /// Weight of the failures that are not disproved.
    pub fn weight(&self) -> Weight {
        let highest = self.failures.values().map(|failure| failure.total).max();
        let sum = self.failures.values().map(|failure| failure.weight).sum();
        highest.unwrap_or(0).min(sum)
    }

    /// Number of failures that are not disproved.
    pub fn failures(&self) -> usize {
        self.failures.len()
    }

    /// Records a failure. Of those at one incarnation only the greatest is kept: more of them speak against the
    /// upstream, and a crash takes many variants of a group with it, which would leave no room for the failures
    /// elsewhere.
    pub fn record(&mut self, id: FailureId, failure: Failure) {
        if self.is_disproved(id) {
            return;
        }
        let incarnation = identity::incarnation_of(id);
        let at_incarnation = |known: &FailureId| identity::incarnation_of(*known) == incarnation;
        let mut failures = self.failures.iter();
        let known = failures.find(|(known, _)| at_incarnation(known));
        if known.is_some_and(|(known_id, known)| (*known, *known_id) >= (failure, id)) {
            return;
        }
        self.failures.retain(|known, _| !at_incarnation(known));
        self.failures.insert(id, failure);
        self.shrink();
    }

    /// The failure at the incarnation of `id` that is not disproved, under whichever variant.
    fn at_incarnation(&self, id: FailureId) -> Option<Failure> {
        let incarnation = identity::incarnation_of(id);
        let mut failures = self.failures.iter();
        let known = failures.find(|(known, _)| identity::incarnation_of(**known) == incarnation);
        known.map(|(_, failure)| *failure)
    }

    /// Whether the failures at the incarnation of `id` are disproved, under whichever variant.
    fn is_disproved(&self, id: FailureId) -> bool {
        let incarnation = identity::incarnation_of(id);
        let mut disproved = self.disproved.iter();
        disproved.any(|disproved| identity::incarnation_of(*disproved) == incarnation)
    }

    /// Records that a run completed, which disproves all failures; returns whether there were any.
    pub fn disprove(&mut self) -> bool {
        let had_any = !self.failures.is_empty();
        let failed = std::mem::take(&mut self.failures);
        // Others still count the failures that are disproved now, unlike those of before.
        while self.disproved.len() + failed.len() > MAX_FAILURES {
            self.disproved.pop_first();
        }
        self.disproved.extend(failed.into_keys());
        had_any
    }

    /// Adds what another process knows; returns whether any of it is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.disproved.extend(&other.disproved);
        for (id, failure) in &other.failures {
            self.record(*id, *failure);
        }
        let mut failures = std::mem::take(&mut self.failures);
        failures.retain(|id, _| !self.is_disproved(*id));
        self.failures = failures;
        self.shrink();
        *self != before
    }

    /// Drops the failures of the lowest totals, and any of the disproved ones, beyond the bound.
    fn shrink(&mut self) {
        while self.failures.len() > MAX_FAILURES {
            let lowest = self.failures.iter().min_by_key(|(_, failure)| **failure);
            let Some(lowest) = lowest.map(|(id, _)| *id) else {
                return;
            };
            self.failures.remove(&lowest);
        }
        while self.disproved.len() > MAX_FAILURES {
            self.disproved.pop_first();
        }
    }
}

/// What a process knows of one request, as sent to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The team that the record is charged to.
    pub owner: OwnerId,
    /// Its failures.
    pub evidence: Evidence,
    /// Time since the last failure.
    pub age: Duration,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Without restriction.
    Normal,
    /// One attempt at a time in the whole system.
    Exclusive,
    /// Not at all.
    Refused {
        /// Time until one attempt may be made.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    owner: OwnerId,
    evidence: Evidence,
    /// Time of the last failure, on the scale of [`Table::at`].
    last_failure: Duration,
    version: Version,
}

/// Requests with recorded failures.
#[derive(Debug)]
pub struct Table {
    options: Options,
    entries: HashMap<Fingerprint, Entry>,
    version: Version,
}

impl Table {
    /// An empty table.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            version: 0,
        }
    }

    /// Whether other processes have to know evidence of `weight`: below, it restricts no attempt. Broken
    /// connections are frequent, and most of them are followed by a completed run.
    pub fn is_shared(&self, weight: Weight) -> bool {
        weight >= self.options.exclusive_from
    }

    /// How the request may run.
    pub fn decide(&self, now: Duration, fingerprint: &Fingerprint) -> Outcome {
        let entry = self.entries.get(fingerprint);
        let Some(entry) = entry.filter(|entry| self.is_live(now, entry)) else {
            return Outcome::Normal;
        };
        let weight = entry.evidence.weight();
        if weight < self.options.exclusive_from {
            return Outcome::Normal;
        }
        let since = self.at(now).saturating_sub(entry.last_failure);
        match self.probation_delay(weight) {
            Some(delay) if since < delay => Outcome::Refused {
                retry_after: delay - since,
            },
            _ => Outcome::Exclusive,
        }
    }

    /// Weight of the evidence against the request.
    pub fn weight(&self, now: Duration, fingerprint: &Fingerprint) -> Weight {
        let entry = self.entries.get(fingerprint);
        let entry = entry.filter(|entry| self.is_live(now, entry));
        entry.map_or(0, |entry| entry.evidence.weight())
    }

    /// Records a failure under an attempt, and returns what is known of the request.
    pub fn record_failure(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        owner: OwnerId,
        id: FailureId,
        failure: Failure,
    ) -> Suspect {
        let mut evidence = Evidence::default();
        evidence.record(id, failure);
        let suspect = Suspect {
            fingerprint,
            owner,
            evidence,
            age: Duration::ZERO,
        };
        self.merge(now, &suspect);
        self.get(now, &fingerprint).unwrap_or(suspect)
    }

    /// Records that a run of the request completed. Returns what is known of it if that disproves a
    /// failure.
    pub fn record_success(&mut self, now: Duration, fingerprint: &Fingerprint) -> Option<Suspect> {
        let entry = self.entries.get_mut(fingerprint)?;
        if !entry.evidence.disprove() {
            return None;
        }
        self.version += 1;
        entry.version = self.version;
        self.get(now, fingerprint)
    }

    /// Adds what another process knows; returns whether any of it is new.
    pub fn merge(&mut self, now: Duration, suspect: &Suspect) -> bool {
        self.make_room(now, &suspect.fingerprint);
        let last_failure = self.at(now).saturating_sub(suspect.age);
        let entry = self.entries.entry(suspect.fingerprint);
        let entry = entry.or_insert_with(|| Entry {
            owner: suspect.owner,
            evidence: Evidence::default(),
            last_failure,
            version: 0,
        });
        entry.last_failure = entry.last_failure.max(last_failure);
        let is_new = entry.evidence.merge(&suspect.evidence);
        if is_new {
            self.version += 1;
            entry.version = self.version;
        }
        is_new
    }

    /// What is known of the request.
    pub fn get(&self, now: Duration, fingerprint: &Fingerprint) -> Option<Suspect> {
        let entry = self.entries.get(fingerprint)?;
        Some(self.suspect(now, fingerprint, entry))
    }

    /// Number of the last change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All that has changed since `version`.
    pub fn changed_since(&self, now: Duration, version: Version) -> Vec<Suspect> {
        let changed = self.entries.iter();
        let changed = changed.filter(|(_, entry)| entry.version > version);
        changed
            .map(|(fingerprint, entry)| self.suspect(now, fingerprint, entry))
            .collect()
    }

    /// All requests on record whose retention is not over.
    pub fn live(&self, now: Duration) -> Vec<Suspect> {
        let live = self.live_entries(now);
        live.map(|(fingerprint, entry)| self.suspect(now, fingerprint, entry))
            .collect()
    }

    /// All requests that are refused, now or but for their next attempt on probation.
    pub fn quarantined(&self, now: Duration) -> Vec<Suspect> {
        let live = self.live_entries(now);
        let refused = live.filter(|(_, entry)| self.reaches_limit(&entry.evidence));
        refused
            .map(|(fingerprint, entry)| self.suspect(now, fingerprint, entry))
            .collect()
    }

    /// Digest of the evidence on record, equal at processes that know the same; 0 without any.
    pub fn digest(&self, now: Duration) -> u64 {
        let digests = self.live_entries(now).map(|(fingerprint, entry)| {
            let mut hasher = xxh3::Xxh3Default::new();
            fingerprint.hash(&mut hasher);
            entry.evidence.hash(&mut hasher);
            hasher.finish()
        });
        digests.fold(0, |all, digest| all ^ digest)
    }

    /// Whether the request is refused, now or but for its next attempt on probation.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.entries.get(fingerprint);
        entry.is_some_and(|entry| self.reaches_limit(&entry.evidence))
    }

    /// Number of requests on record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is on record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Delay from the last failure until a request with evidence of `weight` gets one more attempt; `None`
    /// below the limit.
    fn probation_delay(&self, weight: Weight) -> Option<Duration> {
        let further = weight.checked_sub(self.options.weight_limit)? / CRASH_WEIGHT;
        let growth = self.options.probation_growth.saturating_pow(further);
        let delay = self.options.first_probation.saturating_mul(growth);
        Some(delay.min(self.options.max_probation))
    }

    fn live_entries(&self, now: Duration) -> impl Iterator<Item = (&Fingerprint, &Entry)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| self.is_live(now, entry))
    }

    fn reaches_limit(&self, evidence: &Evidence) -> bool {
        evidence.weight() >= self.options.weight_limit
    }

    fn is_live(&self, now: Duration, entry: &Entry) -> bool {
        let ttl = match self.reaches_limit(&entry.evidence) {
            true => self.options.quarantine_for,
            false => self.options.suspect_for,
        };
        self.at(now) < entry.last_failure + ttl
    }

    /// `now` on the time scale of `Entry::last_failure`, whose zero lies before the start of the process, so
    /// that a failure before that start has a time.
    fn at(&self, now: Duration) -> Duration {
        self.options.quarantine_for + now
    }

    fn suspect(&self, now: Duration, fingerprint: &Fingerprint, entry: &Entry) -> Suspect {
        Suspect {
            fingerprint: *fingerprint,
            owner: entry.owner,
            evidence: entry.evidence.clone(),
            age: self.at(now).saturating_sub(entry.last_failure),
        }
    }

    /// Makes room for a new request. Of the owner with the most records, the one with the least evidence
    /// goes first, of these the oldest: no owner can push out those of another.
    fn make_room(&mut self, now: Duration, fingerprint: &Fingerprint) {
        if self.entries.contains_key(fingerprint) || self.entries.len() < self.options.capacity {
            return;
        }
        let mut entries = std::mem::take(&mut self.entries);
        entries.retain(|_, entry| self.is_live(now, entry));
        self.entries = entries;
        if self.entries.len() < self.options.capacity {
            return;
        }
        let mut counts: HashMap<OwnerId, usize> = HashMap::new();
        for entry in self.entries.values() {
            *counts.entry(entry.owner).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(_, count)| *count);
        let of_largest = self.entries.iter();
        let of_largest =
            of_largest.filter(|(_, entry)| Some(entry.owner) == largest.map(|(owner, _)| owner));
        let least =
            of_largest.min_by_key(|(_, entry)| (entry.evidence.weight(), entry.last_failure));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&least);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    holder: HolderId,
    until: Duration,
}

/// Claims on the single attempt of a suspect.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<Fingerprint, Claim>,
}

impl Claims {
    /// Grants the attempt to `holder` for `ttl`, unless another holds it.
    pub fn claim(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        holder: HolderId,
        ttl: Duration,
    ) -> bool {
        self.claims.retain(|_, claim| claim.until > now);
        let until = now + ttl;
        let claim = self.claims.entry(fingerprint);
        claim.or_insert(Claim { holder, until }).holder == holder
    }

    /// Grants the attempts of all of `fingerprints` to `holder` for `ttl`, or none of them.
    pub fn claim_all(
        &mut self,
        now: Duration,
        fingerprints: &[Fingerprint],
        holder: HolderId,
        ttl: Duration,
    ) -> bool {
        let mut granted = 0;
        for fingerprint in fingerprints {
            if !self.claim(now, *fingerprint, holder, ttl) {
                break;
            }
            granted += 1;
        }
        if granted == fingerprints.len() {
            return true;
        }
        for fingerprint in &fingerprints[..granted] {
            self.release(fingerprint, holder);
        }
        false
    }

    /// Ends the claim of `holder`.
    pub fn release(&mut self, fingerprint: &Fingerprint, holder: HolderId) {
        let held = self.claims.get(fingerprint);
        if held.is_some_and(|claim| claim.holder == holder) {
            self.claims.remove(fingerprint);
        }
    }
}
