//! Poison requests: detects and quarantines requests that crash the upstreams that run them.
//!
//! *Load pattern:* one request crashes each engine that runs it, and its caller, or a retry, sends
//! it again.
//!
//! *Without it:* a single request takes down one engine after another, each with all the turns that
//! ran beside it.
//!
//! *Rule:* when an upstream crashes, every request that ran there is a suspect. A suspect runs
//! alone at its next attempt, and on another upstream, so that a second crash identifies it and
//! harms no other request: it is quarantined and refused until the quarantine expires. A suspect
//! that completes is cleared. Several crashes beside other requests also lead to quarantine, for
//! copies that were under way before the first crash.
//!
//! *Grounds:* two crashes are the fewest that distinguish the cause from the requests beside it.
//! Suspicion lasts for the minutes in which callers repeat a request; a quarantine lasts for an
//! hour, after which one more engine is risked in case the engines were repaired.
//!
//! Memory is bounded: beyond [`Options::capacity`] the oldest suspicion is dropped.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;

use crate::Refusal;

/// Durations and limits of suspicion and quarantine.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a suspicion lasts.
    pub suspect_for: Duration,
    /// How long a quarantine lasts.
    pub quarantine_for: Duration,
    /// Number of crashes beside other requests that lead to quarantine without an attempt alone.
    pub shared_crash_limit: u32,
    /// Greatest number of fingerprints that are remembered.
    pub capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(3_600),
            shared_crash_limit: 3,
            capacity: 10_000,
        }
    }
}

/// How a request is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Without restriction.
    Normal,
    /// Alone in an engine, and not on the given upstream if there is another.
    Alone {
        /// Upstream that crashed while the request ran there.
        avoid: id::UpstreamId,
    },
    /// It is not run.
    Refused(Refusal),
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: u32,
    quarantined: bool,
    upstream: id::UpstreamId,
    until: Duration,
}

/// Fingerprints under suspicion or quarantine.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    suspects: HashMap<digest::Digest, Suspect>,
    by_age: VecDeque<digest::Digest>,
}

impl Tracker {
    /// Without suspects.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            suspects: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// How a request with `fingerprint` is run.
    pub fn decide(&self, now: Duration, fingerprint: &digest::Digest) -> Outcome {
        let Some(suspect) = self.suspects.get(fingerprint) else {
            return Outcome::Normal;
        };
        if suspect.until <= now {
            return Outcome::Normal;
        }
        if suspect.quarantined {
            return Outcome::Refused(Refusal {
                kind: error::Kind::Quarantined,
                retry_after: suspect.until - now,
            });
        }
        Outcome::Alone {
            avoid: suspect.upstream.clone(),
        }
    }

    /// Records that `upstream` crashed while a request with `fingerprint` ran there, alone or not.
    pub fn record_crash(
        &mut self,
        now: Duration,
        upstream: &id::UpstreamId,
        fingerprint: digest::Digest,
        alone: bool,
    ) {
        self.make_room(now, &fingerprint);
        let crashes = self.crashes_before(now, &fingerprint) + 1;
        // A request that ran alone is the only possible cause, but a first crash may be the
        // engine's own.
        let quarantined = (alone && crashes >= 2) || crashes >= self.options.shared_crash_limit;
        let ttl = if quarantined {
            self.options.quarantine_for
        } else {
            self.options.suspect_for
        };
        let suspect = Suspect {
            crashes,
            quarantined,
            upstream: upstream.clone(),
            until: now + ttl,
        };
        if self.suspects.insert(fingerprint, suspect).is_none() {
            self.by_age.push_back(fingerprint);
        }
    }

    /// Records that a request with `fingerprint` completed, which lifts a suspicion.
    pub fn record_success(&mut self, fingerprint: &digest::Digest) {
        let is_suspect = |suspect: &Suspect| !suspect.quarantined;
        if self.suspects.get(fingerprint).is_some_and(is_suspect) {
            self.suspects.remove(fingerprint);
            self.by_age.retain(|other| other != fingerprint);
        }
    }

    /// Number of fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn crashes_before(&self, now: Duration, fingerprint: &digest::Digest) -> u32 {
        let suspect = self.suspects.get(fingerprint);
        suspect
            .filter(|suspect| suspect.until > now)
            .map_or(0, |suspect| suspect.crashes)
    }

    fn make_room(&mut self, now: Duration, fingerprint: &digest::Digest) {
        if self.suspects.contains_key(fingerprint) || self.suspects.len() < self.options.capacity {
            return;
        }
        let suspects = &mut self.suspects;
        suspects.retain(|_, suspect| suspect.until > now);
        self.by_age.retain(|other| suspects.contains_key(other));
        if suspects.len() < self.options.capacity {
            return;
        }
        // A quarantine is worth more than a suspicion, so the oldest suspicion is dropped first.
        let oldest = self
            .by_age
            .iter()
            .position(|other| !suspects[other].quarantined);
        if let Some(oldest) = self.by_age.remove(oldest.unwrap_or(0)) {
            suspects.remove(&oldest);
        }
    }
}
