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
pub const UPDATE_WAIT: Duration = Duration::from_millis(450);
/// Pause before replicas that told nothing are asked again.
pub const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// The same while nothing is known: callers wait for it.
pub const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a replica tells, as far as it was not known.
#[derive(Debug, Default)]
pub struct Decoded {
    /// The configuration.
    pub config: Option<config::Config>,
    /// All upstreams.
    pub upstreams: Option<Vec<fleet::ListedUpstream>>,
    /// Whether all is known now that the replica knows.
    pub is_complete: bool,
}

/// What is known, and of which revision of the store.
#[derive(Debug, Default)]
pub struct Cache {
    digests: service::Marks,
    /// Revision up to which all that the store holds is known.
    as_of: u64,
    /// Newest revision of which something is known. What a replica has on its disk says nothing of
    /// what else there was.
    newest: u64,
    config_version: Option<config::Version>,
    upstreams: Bytes,
    /// Whether each part was told in a form that cannot be read, and not since in one that can.
    undecodable: Undecodable,
}

#[derive(Clone, Copy, Debug, Default)]
struct Undecodable {
    config: bool,
    upstreams: bool,
}

impl Cache {
    /// Digests of what is known.
    pub fn digests(&self) -> service::Marks {
        self.digests
    }

    /// Revision up to which all that the store holds is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// What is known, for replicas to tell what is lacking.
    pub fn known_version(&self) -> service::Known {
        service::Known {
            as_of: self.newest,
            marks: self.digests,
        }
    }

    /// Whether the newest parts that were told could be read.
    fn is_decodable(&self) -> bool {
        !self.undecodable.config && !self.undecodable.upstreams
    }

    /// Whether the newest configuration that was read or told could be decoded.
    pub fn has_decodable_config(&self) -> bool {
        !self.undecodable.config
    }

    /// The store was read, and held a configuration that could be decoded, or could not.
    pub fn set_config_decodable(&mut self, decodable: bool) {
        self.undecodable.config = !decodable;
    }

    /// The store was read, and held this at revision `as_of`. Returns what has changed.
    pub fn record_read(
        &mut self,
        as_of: u64,
        config: &config::Config,
        upstreams: &[fleet::ListedUpstream],
    ) -> service::Bulletins {
        self.as_of = self.as_of.max(as_of);
        self.newest = self.newest.max(as_of);
        let mut changed = service::Bulletins::default();
        if self.config_version != Some(config.version)
            && let Some(part) = encode_part(as_of, config)
        {
            self.config_version = Some(config.version);
            self.digests.config = part.digest();
            changed.config = Some(part);
        }
        let list = encode_part(as_of, upstreams);
        if let Some(part) = list.filter(|part| part.digest() != self.digests.upstreams) {
            self.undecodable.upstreams = false;
            self.digests.upstreams = part.digest();
            self.upstreams = part.bytes.clone();
            changed.upstreams = Some(part);
        }
        changed
    }

    /// Makes all parts, for a replica that lacks some. Rarely wanted, so the configuration is encoded
    /// only then.
    pub fn full_snapshot(
        &self,
        config: Arc<config::Config>,
    ) -> impl Fn() -> service::Bulletins + use<> {
        let as_of = self.as_of;
        let upstreams = service::Bulletin {
            as_of,
            bytes: self.upstreams.clone(),
        };
        move || service::Bulletins {
            config: encode_part(as_of, config.as_ref()),
            upstreams: Some(upstreams.clone()),
        }
    }

    /// Takes what a replica tells; `None` if what is known is newer.
    ///
    /// A revision does not determine a part, so it counts as known only once the digests agree, and a part of
    /// the same revision is taken.
    pub fn apply_update(&mut self, update: &service::News) -> Option<Decoded> {
        let service::News { newer, last, .. } = update;
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
            .and_then(|part| self.apply_config(part));
        let upstreams = newer.upstreams.as_ref();
        let upstreams = upstreams.and_then(|part| self.apply_upstreams(part));
        let is_complete = last.is_some() && self.is_decodable() && self.digests == update.marks;
        if is_complete {
            self.as_of = as_of;
        }
        Some(Decoded {
            config,
            upstreams,
            is_complete,
        })
    }

    fn apply_config(&mut self, part: &service::Bulletin) -> Option<config::Config> {
        // One that cannot be read is not asked for again.
        self.digests.config = part.digest();
        let config = decode_part::<config::Config>(part);
        self.undecodable.config = config.is_none();
        self.config_version = config.as_ref().map(|config| config.version);
        config
    }

    fn apply_upstreams(&mut self, part: &service::Bulletin) -> Option<Vec<fleet::ListedUpstream>> {
        self.digests.upstreams = part.digest();
        self.upstreams = part.bytes.clone();
        let upstreams = decode_part(part);
        self.undecodable.upstreams = upstreams.is_none();
        upstreams
    }
}

fn encode_part<T: Serialize + ?Sized>(as_of: u64, part: &T) -> Option<service::Bulletin> {
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

fn decode_part<T: DeserializeOwned>(part: &service::Bulletin) -> Option<T> {
    match postcard::from_bytes(&part.bytes) {
        Ok(decoded) => Some(decoded),
        Err(err) => {
            tracing::error!(%err, as_of = part.as_of, "what a replica tells cannot be read");
            None
        }
    }
}
