//! Quarantine of requests that crash the upstreams that run them, agreed between processes.
//!
//! *Load pattern:* one request crashes each upstream that runs it, and its caller sends it again
//! through any entry.
//!
//! *Without it:* a single request takes down a whole service, with all that runs beside it. A count
//! kept by each entry alone lets every entry crash as many upstreams as the limit says, and again
//! after each restart.
//!
//! *Rule:* a crash is recorded by the incarnation of the upstream, with its round: one more than the
//! rounds known when the attempt was sent. Copies in flight together are one round, however many
//! upstreams fail under them. A request with a recorded round is a suspect and runs one attempt at a
//! time, under a [claim](Claims). A completed run disproves all crashes recorded by then. From
//! [`Options::round_limit`] rounds on it is refused, but for one attempt after a delay that grows
//! with each further round.
//!
//! *Grounds:* a request that is not the cause survives a round unless another fault meets it by
//! chance, as often as there are rounds; the loss of a rack under three copies of a popular request is
//! one round. Evidence only grows and merges in any order, so that processes need no common clock
//! and no common order.
//!
//! Memory is bounded by [`Options::capacity`]; the owner with the most records loses one first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use fw_base::{digest, id};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Digest that all repetitions of a request share.
pub type Fingerprint = digest::Digest;
/// Identifies one incarnation of an upstream.
pub type IncarnationId = u64;
/// Number of successive crashes, each in knowledge of those before.
pub type Round = u32;
/// Identifies the team that a record is charged to; 0 without teams.
pub type OwnerId = u64;
/// Identifies the attempt that holds a claim.
pub type HolderId = u64;
/// Number of a change of a [`Table`].
pub type Version = u64;

/// Most incarnations kept of one request, crashed or disproved.
const MAX_INCARNATIONS: usize = 16;

/// Limits and durations of suspicion and quarantine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Rounds from which a request is refused.
    pub round_limit: Round,
    /// Delay from the last crash until a refused request gets one more attempt.
    pub first_probation: Duration,
    /// Factor by which each further round extends that delay.
    pub probation_growth: u32,
    /// Longest such delay.
    pub max_probation: Duration,
    /// How long a suspicion is kept after the last crash.
    pub suspect_for: Duration,
    /// How long a quarantine is kept after the last crash: longer than the longest delay.
    pub quarantine_for: Duration,
    /// How long a claim lasts unless it is released.
    pub claim_ttl: Duration,
    /// Greatest number of requests on record.
    pub capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            round_limit: 3,
            first_probation: Duration::from_secs(60),
            probation_growth: 4,
            max_probation: Duration::from_secs(3_600),
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(7_200),
            // Most runs end sooner; a crash under a longer one still counts.
            claim_ttl: Duration::from_secs(2),
            capacity: 1_024,
        }
    }
}

/// The incarnation of the upstream `id`, whose id changes at each start.
pub fn incarnation(id: &id::UpstreamId) -> IncarnationId {
    xxh3::xxh3_64(id.as_bytes())
}

/// The owner of the records of `team`.
pub fn owner(team: Option<&id::TeamId>) -> OwnerId {
    team.map_or(0, |team| xxh3::xxh3_64(team.as_bytes()))
}

/// Crashes under one request. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Incarnations that crashed, with the round of each.
    crashes: BTreeMap<IncarnationId, Round>,
    /// Incarnations whose crash a later completed run has disproved as evidence.
    disproved: BTreeSet<IncarnationId>,
}

impl Evidence {
    /// Rounds shown by the crashes that are not disproved.
    pub fn rounds(&self) -> Round {
        let highest = self.crashes.values().max().copied().unwrap_or(0);
        highest.min(self.crashes.len() as Round)
    }

    /// Number of crashes that are not disproved.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Records the crash of `incarnation` under an attempt of `round`; returns whether that is new.
    pub fn record_crash(&mut self, incarnation: IncarnationId, round: Round) -> bool {
        if self.disproved.contains(&incarnation) {
            return false;
        }
        let known = self.crashes.entry(incarnation).or_insert(0);
        let is_new = round > *known;
        *known = round.max(*known);
        self.shrink();
        is_new
    }

    /// Records that a run completed, which disproves all crashes; returns whether there were any.
    pub fn disprove(&mut self) -> bool {
        let had_any = !self.crashes.is_empty();
        let crashed = std::mem::take(&mut self.crashes);
        self.disproved.extend(crashed.into_keys());
        self.shrink();
        had_any
    }

    /// Adds what another process knows; returns whether any of it is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.disproved.extend(&other.disproved);
        for (incarnation, round) in &other.crashes {
            self.record_crash(*incarnation, *round);
        }
        let disproved = &self.disproved;
        self.crashes.retain(|crash, _| !disproved.contains(crash));
        self.shrink();
        *self != before
    }

    /// Drops crashes of the lowest rounds, and any of the disproved ones, beyond the bound.
    fn shrink(&mut self) {
        while self.crashes.len() > MAX_INCARNATIONS {
            let lowest = self.crashes.iter().min_by_key(|(_, round)| **round);
            let Some(lowest) = lowest.map(|(incarnation, _)| *incarnation) else {
                return;
            };
            self.crashes.remove(&lowest);
        }
        while self.disproved.len() > MAX_INCARNATIONS {
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
    /// Its crashes.
    pub evidence: Evidence,
    /// Time since the last crash.
    pub age: Duration,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Without restriction.
    Normal,
    /// One attempt at a time in the whole system.
    Exclusive {
        /// Round of a crash under this attempt.
        round: Round,
    },
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
    /// Time of the last crash, on the scale of [`Table::at`].
    last_crash: Duration,
    version: Version,
}

/// Requests with recorded crashes.
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

    /// How the request may run.
    pub fn decide(&self, now: Duration, fingerprint: &Fingerprint) -> Outcome {
        let entry = self.entries.get(fingerprint);
        let Some(entry) = entry.filter(|entry| self.is_live(now, entry)) else {
            return Outcome::Normal;
        };
        let rounds = entry.evidence.rounds();
        if rounds == 0 {
            return Outcome::Normal;
        }
        let since = self.at(now).saturating_sub(entry.last_crash);
        match self.probation_delay(rounds) {
            Some(delay) if since < delay => Outcome::Refused {
                retry_after: delay - since,
            },
            _ => Outcome::Exclusive { round: rounds + 1 },
        }
    }

    /// Records that `incarnation` crashed under an attempt of `round`, and returns what is known of the
    /// request.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        owner: OwnerId,
        incarnation: IncarnationId,
        round: Round,
    ) -> Suspect {
        let mut evidence = Evidence::default();
        evidence.record_crash(incarnation, round);
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
    /// crash.
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
        let last_crash = self.at(now).saturating_sub(suspect.age);
        let entry = self.entries.entry(suspect.fingerprint);
        let entry = entry.or_insert_with(|| Entry {
            owner: suspect.owner,
            evidence: Evidence::default(),
            last_crash,
            version: 0,
        });
        entry.last_crash = entry.last_crash.max(last_crash);
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

    /// All requests that are refused, now or but for their next attempt on probation.
    pub fn quarantined(&self, now: Duration) -> Vec<Suspect> {
        let live = self.entries.iter();
        let live = live.filter(|(_, entry)| self.is_live(now, entry));
        let refused = live.filter(|(_, entry)| self.reaches_limit(&entry.evidence));
        refused
            .map(|(fingerprint, entry)| self.suspect(now, fingerprint, entry))
            .collect()
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

    /// Delay from the last crash until a request with `rounds` gets one more attempt; `None` below the
    /// limit.
    fn probation_delay(&self, rounds: Round) -> Option<Duration> {
        let further = rounds.checked_sub(self.options.round_limit)?;
        let growth = self.options.probation_growth.saturating_pow(further);
        let delay = self.options.first_probation.saturating_mul(growth);
        Some(delay.min(self.options.max_probation))
    }

    fn reaches_limit(&self, evidence: &Evidence) -> bool {
        evidence.rounds() >= self.options.round_limit
    }

    fn is_live(&self, now: Duration, entry: &Entry) -> bool {
        let ttl = match self.reaches_limit(&entry.evidence) {
            true => self.options.quarantine_for,
            false => self.options.suspect_for,
        };
        self.at(now) < entry.last_crash + ttl
    }

    /// `now` on the time scale of `Entry::last_crash`, whose zero lies before the start of the process, so
    /// that a crash before that start has a time.
    fn at(&self, now: Duration) -> Duration {
        self.options.quarantine_for + now
    }

    fn suspect(&self, now: Duration, fingerprint: &Fingerprint, entry: &Entry) -> Suspect {
        Suspect {
            fingerprint: *fingerprint,
            owner: entry.owner,
            evidence: entry.evidence.clone(),
            age: self.at(now).saturating_sub(entry.last_crash),
        }
    }

    /// Makes room for a new request. Of the owner with the most records, the one with the fewest
    /// rounds goes first, of these the oldest: no owner can push out those of another.
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
        let least = of_largest.min_by_key(|(_, entry)| (entry.evidence.rounds(), entry.last_crash));
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

    /// Ends the claim of `holder`.
    pub fn release(&mut self, fingerprint: &Fingerprint, holder: HolderId) {
        let held = self.claims.get(fingerprint);
        if held.is_some_and(|claim| claim.holder == holder) {
            self.claims.remove(fingerprint);
        }
    }
}
