//! What an entry knows from the platform's store, as it is passed on by way of the replicas.
//!
//! *Failure:* all entries lose power while the store is away, or the store turns one entry away for
//! seconds. Without a disk an entry that starts then knows no route and no upstream, and could
//! serve nobody until the store is back.
//!
//! Whoever reads the store gives the replicas what has changed; everybody else hears of it from
//! them. A configuration never goes back, since an older version is not put in force, and a part of an
//! older revision of the store is not taken.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_replica::service;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::fleet;
use crate::version::config;

/// How long a replica is asked to wait for news.
pub const AWAIT: Duration = Duration::from_millis(450);
/// Pause before replicas that told nothing are asked again.
pub const ASK: Duration = Duration::from_millis(300);
/// The same while nothing is known: callers wait for it.
pub const ASK_FIRST: Duration = Duration::from_millis(50);

/// What a replica tells, as far as it was not known.
#[derive(Debug, Default)]
pub struct Told {
    /// The configuration.
    pub config: Option<config::Config>,
    /// All upstreams.
    pub upstreams: Option<Vec<fleet::ListedUpstream>>,
    /// Whether all is known now that the replica knows.
    pub is_whole: bool,
}

/// What is known, and of which revision of the store.
#[derive(Debug, Default)]
pub struct Known {
    marks: service::PartDigests,
    /// Revision up to which all that the store holds is known.
    as_of: u64,
    /// Newest revision of which something is known. What a replica has on its disk says nothing of
    /// what else there was.
    newest: u64,
    version: Option<config::Version>,
    upstreams: Bytes,
    /// Whether each part was told in a form that cannot be read, and not since in one that can.
    is_unreadable: Unreadable,
}

#[derive(Clone, Copy, Debug, Default)]
struct Unreadable {
    config: bool,
    upstreams: bool,
}

impl Known {
    /// Digests of what is known.
    pub fn marks(&self) -> service::PartDigests {
        self.marks
    }

    /// Revision up to which all that the store holds is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// What is known, for replicas to tell what is lacking.
    pub fn known(&self) -> service::KnownVersion {
        service::KnownVersion {
            as_of: self.newest,
            digests: self.marks,
        }
    }

    /// Whether the newest parts that were told could be read.
    fn is_readable(&self) -> bool {
        !self.is_unreadable.config && !self.is_unreadable.upstreams
    }

    /// Whether the newest configuration that was read or told could be decoded.
    pub fn knows_config(&self) -> bool {
        !self.is_unreadable.config
    }

    /// The store was read, and held a configuration that could be decoded, or could not.
    pub fn found_config(&mut self, readable: bool) {
        self.is_unreadable.config = !readable;
    }

    /// The store was read, and held this at revision `as_of`. Returns what has changed.
    pub fn read(
        &mut self,
        as_of: u64,
        config: &config::Config,
        upstreams: &[fleet::ListedUpstream],
    ) -> service::Snapshot {
        self.as_of = self.as_of.max(as_of);
        self.newest = self.newest.max(as_of);
        let mut changed = service::Snapshot::default();
        if self.version != Some(config.version)
            && let Some(part) = bulletin(as_of, config)
        {
            self.version = Some(config.version);
            self.marks.config = part.digest();
            changed.config = Some(part);
        }
        let list = bulletin(as_of, upstreams);
        if let Some(part) = list.filter(|part| part.digest() != self.marks.upstreams) {
            self.is_unreadable.upstreams = false;
            self.marks.upstreams = part.digest();
            self.upstreams = part.bytes.clone();
            changed.upstreams = Some(part);
        }
        changed
    }

    /// Makes all parts, for a replica that lacks some. Rarely wanted, so the configuration is encoded
    /// only then.
    pub fn whole(&self, config: Arc<config::Config>) -> impl Fn() -> service::Snapshot + use<> {
        let as_of = self.as_of;
        let upstreams = service::SnapshotPart {
            as_of,
            bytes: self.upstreams.clone(),
        };
        move || service::Snapshot {
            config: bulletin(as_of, config.as_ref()),
            upstreams: Some(upstreams.clone()),
        }
    }

    /// Takes what a replica tells; `None` if what is known is newer.
    ///
    /// A revision does not determine a part, so it counts as known only once the digests agree, and a part of
    /// the same revision is taken.
    pub fn hear(&mut self, news: &service::Update) -> Option<Told> {
        let service::Update {
            newer,
            last_read: last,
            ..
        } = news;
        let as_of = last.map_or(newer.as_of(), |last| last.as_of);
        // Without a read since, it is what lies on the replica's disk.
        let is_older = match last {
            Some(_) => as_of < self.newest,
            None => as_of <= self.newest,
        };
        if is_older {
            metrics::counter!("fw_gate_news_dropped_total").increment(1);
            return None;
        }
        self.newest = as_of;
        let config = newer
            .config
            .as_ref()
            .and_then(|part| self.hear_config(part));
        let upstreams = newer.upstreams.as_ref();
        let upstreams = upstreams.and_then(|part| self.hear_upstreams(part));
        let is_whole = last.is_some() && self.is_readable() && self.marks == news.digests;
        if is_whole {
            self.as_of = as_of;
        }
        Some(Told {
            config,
            upstreams,
            is_whole,
        })
    }

    fn hear_config(&mut self, part: &service::SnapshotPart) -> Option<config::Config> {
        // One that cannot be read is not asked for again.
        self.marks.config = part.digest();
        let config = decode::<config::Config>(part);
        self.is_unreadable.config = config.is_none();
        self.version = config.as_ref().map(|config| config.version);
        config
    }

    fn hear_upstreams(
        &mut self,
        part: &service::SnapshotPart,
    ) -> Option<Vec<fleet::ListedUpstream>> {
        self.marks.upstreams = part.digest();
        self.upstreams = part.bytes.clone();
        let upstreams = decode(part);
        self.is_unreadable.upstreams = upstreams.is_none();
        upstreams
    }
}

fn bulletin<T: Serialize + ?Sized>(as_of: u64, part: &T) -> Option<service::SnapshotPart> {
    match postcard::to_stdvec(part) {
        Ok(bytes) => Some(service::SnapshotPart {
            as_of,
            bytes: bytes.into(),
        }),
        Err(err) => {
            tracing::error!(%err, "what is known cannot be encoded for the replicas");
            None
        }
    }
}

fn decode<T: DeserializeOwned>(part: &service::SnapshotPart) -> Option<T> {
    match postcard::from_bytes(&part.bytes) {
        Ok(known) => Some(known),
        Err(err) => {
            tracing::error!(%err, as_of = part.as_of, "what a replica tells cannot be read");
            None
        }
    }
}
