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
        let Some(mark) = self.suspects.get(fingerprint) else {
            return Outcome::Normal;
        };
        if mark.until <= now {
            return Outcome::Normal;
        }
        if mark.quarantined {
            return Outcome::Refused(Refusal {
                kind: error::Kind::Quarantined,
                retry_after: mark.until - now,
            });
        }
        Outcome::Alone {
            avoid: mark.upstream.clone(),
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
        let convicted = (alone && crashes >= 2) || crashes >= self.options.shared_crash_limit;
        let lasts = if convicted {
            self.options.quarantine_for
        } else {
            self.options.suspect_for
        };
        let mark = Suspect {
            crashes,
            quarantined: convicted,
            upstream: upstream.clone(),
            until: now + lasts,
        };
        if self.suspects.insert(fingerprint, mark).is_none() {
            self.by_age.push_back(fingerprint);
        }
    }

    /// A request with `fingerprint` ran to its end: a suspicion is lifted.
    pub fn record_success(&mut self, fingerprint: &digest::Digest) {
        let suspect = |mark: &Suspect| !mark.quarantined;
        if self.suspects.get(fingerprint).is_some_and(suspect) {
            self.suspects.remove(fingerprint);
            self.by_age.retain(|known| known != fingerprint);
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
        let mark = self.suspects.get(fingerprint);
        mark.filter(|mark| mark.until > now)
            .map_or(0, |mark| mark.crashes)
    }

    fn make_room(&mut self, now: Duration, fingerprint: &digest::Digest) {
        if self.suspects.contains_key(fingerprint) || self.suspects.len() < self.options.capacity {
            return;
        }
        let marks = &mut self.suspects;
        marks.retain(|_, mark| mark.until > now);
        self.by_age.retain(|known| marks.contains_key(known));
        if marks.len() < self.options.capacity {
            return;
        }
        // A quarantine is worth more than a suspicion, so the oldest suspicion goes first.
        let suspect = self
            .by_age
            .iter()
            .position(|known| !marks[known].quarantined);
        if let Some(oldest) = self.by_age.remove(suspect.unwrap_or(0)) {
            marks.remove(&oldest);
        }
    }
}
