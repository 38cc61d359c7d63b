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

use crate::Refused;

/// How suspicion is held.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a suspicion lasts.
    pub suspect_for: Duration,
    /// How long a quarantine lasts.
    pub quarantine_for: Duration,
    /// Crashes in company that convict without a trial alone.
    pub crashes: u32,
    /// Most fingerprints remembered.
    pub capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspect_for: Duration::from_secs(600),
            quarantine_for: Duration::from_secs(3_600),
            crashes: 3,
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
    Refused(Refused),
}

#[derive(Clone, Debug)]
struct Mark {
    crashes: u32,
    convicted: bool,
    upstream: id::UpstreamId,
    until: Duration,
}

/// Fingerprints under suspicion or quarantine.
#[derive(Debug)]
pub struct Poison {
    options: Options,
    marks: HashMap<digest::Digest, Mark>,
    order: VecDeque<digest::Digest>,
}

impl Poison {
    /// Without any suspicion.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            marks: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// How a request with `fingerprint` is to be run.
    pub fn decide(&self, now: Duration, fingerprint: &digest::Digest) -> Outcome {
        let Some(mark) = self.marks.get(fingerprint) else {
            return Outcome::Normal;
        };
        if mark.until <= now {
            return Outcome::Normal;
        }
        if mark.convicted {
            return Outcome::Refused(Refused {
                kind: error::Kind::Quarantined,
                retry_after: mark.until - now,
            });
        }
        Outcome::Alone {
            avoid: mark.upstream.clone(),
        }
    }

    /// `upstream` crashed while a request with `fingerprint` ran there, alone or not.
    pub fn crashed(
        &mut self,
        now: Duration,
        upstream: &id::UpstreamId,
        fingerprint: digest::Digest,
        alone: bool,
    ) {
        self.make_room(now, &fingerprint);
        let crashes = self.crashes_before(now, &fingerprint) + 1;
        // Alone, there is nobody else to blame; but a first crash may be the engine's own.
        let convicted = (alone && crashes >= 2) || crashes >= self.options.crashes;
        let lasts = if convicted {
            self.options.quarantine_for
        } else {
            self.options.suspect_for
        };
        let mark = Mark {
            crashes,
            convicted,
            upstream: upstream.clone(),
            until: now + lasts,
        };
        if self.marks.insert(fingerprint, mark).is_none() {
            self.order.push_back(fingerprint);
        }
    }

    /// A request with `fingerprint` ran to its end: a suspicion is lifted.
    pub fn survived(&mut self, fingerprint: &digest::Digest) {
        let suspect = |mark: &Mark| !mark.convicted;
        if self.marks.get(fingerprint).is_some_and(suspect) {
            self.marks.remove(fingerprint);
            self.order.retain(|known| known != fingerprint);
        }
    }

    /// Fingerprints remembered.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn crashes_before(&self, now: Duration, fingerprint: &digest::Digest) -> u32 {
        let mark = self.marks.get(fingerprint);
        mark.filter(|mark| mark.until > now)
            .map_or(0, |mark| mark.crashes)
    }

    fn make_room(&mut self, now: Duration, fingerprint: &digest::Digest) {
        if self.marks.contains_key(fingerprint) || self.marks.len() < self.options.capacity {
            return;
        }
        let marks = &mut self.marks;
        marks.retain(|_, mark| mark.until > now);
        self.order.retain(|known| marks.contains_key(known));
        if marks.len() < self.options.capacity {
            return;
        }
        // A quarantine is worth more than a suspicion, so the oldest suspicion goes first.
        let suspect = self.order.iter().position(|known| !marks[known].convicted);
        if let Some(oldest) = self.order.remove(suspect.unwrap_or(0)) {
            marks.remove(&oldest);
        }
    }
}
