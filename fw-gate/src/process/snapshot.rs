//! What an entry knows from the platform's store, as it is passed on by way of the replicas.
//!
//! *Failure:* all entries lose power while the store is away, or the store turns one entry away for
//! seconds. Without a disk an entry that starts then knows no route and no upstream, and could
//! serve nobody until the store is back.
//!
//! Whoever reads the store gives the replicas what has changed; everybody else hears of it from
//! them. A configuration never goes back, since an older version is not put in force, and a part is
//! taken only from a newer revision of the store.

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

/// The parts that are newer than what was known.
#[derive(Debug, Default)]
pub struct Told {
    /// The configuration.
    pub config: Option<config::Config>,
    /// All upstreams.
    pub upstreams: Option<Vec<fleet::Listed>>,
}

/// What is known, and since which revision of the store.
#[derive(Debug, Default)]
pub struct Known {
    marks: service::Marks,
    /// Revision up to which all that the store holds is known.
    as_of: u64,
    version: Option<config::Version>,
    upstreams: Bytes,
    /// A configuration was told in a form that cannot be read, and none since that can.
    is_unreadable: bool,
}

impl Known {
    /// Revisions of what is known.
    pub fn marks(&self) -> service::Marks {
        self.marks
    }

    /// Revision up to which all that the store holds is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Whether the newest configuration that was told could be read.
    pub fn is_readable(&self) -> bool {
        !self.is_unreadable
    }

    /// The store was read, and held this at revision `as_of`. Returns what has changed.
    pub fn read(
        &mut self,
        as_of: u64,
        config: &config::Config,
        upstreams: &[fleet::Listed],
    ) -> service::Bulletins {
        self.as_of = self.as_of.max(as_of);
        let mut changed = service::Bulletins::default();
        if self.version != Some(config.version) {
            self.version = Some(config.version);
            self.is_unreadable = false;
            self.marks.config = as_of;
            changed.config = bulletin(as_of, config);
        }
        let list = bulletin(as_of, upstreams);
        if let Some(list) = list.filter(|list| list.bytes != self.upstreams) {
            self.marks.upstreams = as_of;
            self.upstreams = list.bytes.clone();
            changed.upstreams = Some(list);
        }
        changed
    }

    /// Makes all parts, for a replica that lacks some. Rarely wanted, so the configuration is encoded
    /// only then.
    pub fn whole(&self, config: Arc<config::Config>) -> impl Fn() -> service::Bulletins + use<> {
        let marks = self.marks;
        let upstreams = service::Bulletin {
            as_of: marks.upstreams,
            bytes: self.upstreams.clone(),
        };
        move || service::Bulletins {
            config: bulletin(marks.config, config.as_ref()),
            upstreams: Some(upstreams.clone()),
        }
    }

    /// Whether a part that a replica tells is newer than what is known, and than its own `mark`.
    fn is_news(&self, part: &'static str, told: &service::Bulletin, mark: u64) -> bool {
        if told.as_of > self.as_of.max(mark) {
            return true;
        }
        metrics::counter!("fw_gate_news_dropped_total", "part" => part).increment(1);
        tracing::info!(
            part,
            as_of = told.as_of,
            known = self.as_of,
            mark,
            "what a replica tells is no newer than what is known; dropped"
        );
        false
    }

    /// Takes the parts that are newer than what is known; with them all is known up to `as_of`.
    pub fn hear(&mut self, newer: service::Bulletins, as_of: u64) -> Told {
        let service::Bulletins { config, upstreams } = newer;
        let config = config.filter(|part| self.is_news("config", part, self.marks.config));
        let upstreams =
            upstreams.filter(|part| self.is_news("upstreams", part, self.marks.upstreams));
        let mut told = Told::default();
        if let Some(part) = config {
            // One that cannot be read is not asked for again.
            self.marks.config = part.as_of;
            told.config = decode::<config::Config>(&part);
            self.is_unreadable = told.config.is_none();
            self.version = told.config.as_ref().map(|config| config.version);
        }
        if let Some(part) = upstreams {
            self.marks.upstreams = part.as_of;
            told.upstreams = decode(&part);
            self.upstreams = part.bytes;
        }
        self.as_of = self.as_of.max(as_of);
        told
    }
}

fn bulletin<T: Serialize + ?Sized>(as_of: u64, part: &T) -> Option<service::Bulletin> {
    match postcard::to_stdvec(part) {
        Ok(bytes) => Some(service::Bulletin {
            as_of,
            bytes: bytes.into(),
        }),
        Err(err) => {
            tracing::error!(%err, "what is known cannot be encoded for the replicas");
            None
        }
    }
}

fn decode<T: DeserializeOwned>(part: &service::Bulletin) -> Option<T> {
    match postcard::from_bytes(&part.bytes) {
        Ok(known) => Some(known),
        Err(err) => {
            tracing::error!(%err, as_of = part.as_of, "what a replica tells cannot be read");
            None
        }
    }
}
