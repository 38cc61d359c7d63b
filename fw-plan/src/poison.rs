//! Requests that crash the upstreams which run them.
//!
//! *Load pattern:* one request crashes each engine that runs it, and its caller, or a retry,
//! sends it again.
//!
//! *Without it:* a single request takes down one engine after another, each with all the turns
//! that ran beside it.
//!
//! *Rule:* when an upstream crashes, every request that ran there is suspect. A suspect runs alone
//! at its next try, and elsewhere, so that a second crash convicts it and nobody else: it is
//! quarantined and refused until that expires. A suspect that survives is cleared. Several crashes
//! in company convict as well, for copies that were under way before the first crash.
//!
//! *Grounds:* two crashes are the fewest that can tell the cause from its neighbours. Suspicion lasts
//! for the minutes in which callers repeat a request; a quarantine for an hour, after which one more
//! engine is risked in case that the engines were mended.
//!
//! Memory is bounded: beyond [`Options::capacity`] the oldest suspicion is dropped.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;

use crate::Refusal;

/// How suspicion is held.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a suspicion lasts.
    pub suspect_for: Duration,
    /// How long a quarantine lasts.
    pub quarantine_for: Duration,
    /// Crashes in company that convict without a trial alone.
    pub shared_crash_limit: u32,
    /// Most fingerprints remembered.
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

/// How a request is to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Like any other.
    Normal,
    /// Alone in an engine, and not on this upstream if there is another.
    Alone {
        /// Where it was running at the crash.
        avoid: id::UpstreamId,
    },
    /// Not at all.
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
    /// Without any suspicion.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            suspects: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// How a request with `fingerprint` is to be run.
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

    /// `upstream` crashed while a request with `fingerprint` ran there, alone or not.
    pub fn record_crash(
        &mut self,
        now: Duration,
        upstream: &id::UpstreamId,
        fingerprint: digest::Digest,
        alone: bool,
    ) {
        self.make_room(now, &fingerprint);
        let crashes = self.crashes_before(now, &fingerprint) + 1;
        // Alone, there is nobody else to blame; but a first crash may be the engine's own.
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

    /// A request with `fingerprint` ran to its end: a suspicion is lifted.
    pub fn record_success(&mut self, fingerprint: &digest::Digest) {
        let is_suspect = |suspect: &Suspect| !suspect.quarantined;
        if self.suspects.get(fingerprint).is_some_and(is_suspect) {
            self.suspects.remove(fingerprint);
            self.by_age.retain(|other| other != fingerprint);
        }
    }

    /// Fingerprints remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is remembered.
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
        // A quarantine is worth more than a suspicion, so the oldest suspicion goes first.
        let oldest = self
            .by_age
            .iter()
            .position(|other| !suspects[other].quarantined);
        if let Some(oldest) = self.by_age.remove(oldest.unwrap_or(0)) {
            suspects.remove(&oldest);
        }
    }
}
