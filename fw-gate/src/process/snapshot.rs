//! The snapshot of the platform's store that entries exchange through the replicas.
//!
//! *Failure:* all entries lose power while the store is unavailable, or the store refuses one entry for
//! seconds. An entry has no disk, so one that starts then would have no route and no upstream, and could
//! serve no request until the store is back.
//!
//! The entry that reads the store publishes the changed parts to the replicas, and all other entries fetch
//! them from there. A configuration is never rolled back: an older version is not put in force, and a part
//! of an older revision of the store is not applied.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_replica::service;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::fleet;
use crate::version::config;

/// How long a replica may hold a request for an update until it has one.
pub const UPDATE_WAIT: Duration = Duration::from_millis(450);
/// Pause before replicas that had no update are polled again.
pub const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// The same pause while there is no configuration yet and callers wait for one.
pub const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of a replica's update that were new to this entry, decoded.
#[derive(Debug, Default)]
pub struct Decoded {
    /// The configuration.
    pub config: Option<config::Config>,
    /// All upstreams.
    pub upstreams: Option<Vec<fleet::ListedUpstream>>,
    /// Whether this entry now has everything that the replica has.
    pub is_complete: bool,
}

/// The parts of the snapshot that this entry has, and the revision of the store that they are from.
#[derive(Debug, Default)]
pub struct Cache {
    digests: service::PartDigests,
    /// Revision of the store at which all parts are known to be current.
    as_of: u64,
    /// Newest revision that any part is from. A part from a replica's disk gives no evidence that the other
    /// parts are of its revision too.
    newest: u64,
    config_version: Option<config::Version>,
    upstreams: Bytes,
    /// The parts whose newest version could not be decoded.
    undecodable: Undecodable,
}

#[derive(Clone, Copy, Debug, Default)]
struct Undecodable {
    config: bool,
    upstreams: bool,
}

impl Cache {
    /// Digests of the parts.
    pub fn digests(&self) -> service::PartDigests {
        self.digests
    }

    /// Revision of the store at which all parts are known to be current.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Revision and digests of the parts, by which a replica decides what to send.
    pub fn known_version(&self) -> service::KnownVersion {
        service::KnownVersion {
            as_of: self.newest,
            digests: self.digests,
        }
    }

    /// Whether the newest version of each part could be decoded.
    fn is_decodable(&self) -> bool {
        !self.undecodable.config && !self.undecodable.upstreams
    }

    /// Whether the newest configuration, from the store or a replica, could be decoded.
    pub fn has_decodable_config(&self) -> bool {
        !self.undecodable.config
    }

    /// Records whether the configuration that was read from the store could be decoded.
    pub fn set_config_decodable(&mut self, decodable: bool) {
        self.undecodable.config = !decodable;
    }

    /// Records the content of the store at revision `as_of`. Returns the parts that have changed.
    pub fn record_read(
        &mut self,
        as_of: u64,
        config: &config::Config,
        upstreams: &[fleet::ListedUpstream],
    ) -> service::Snapshot {
        self.as_of = self.as_of.max(as_of);
        self.newest = self.newest.max(as_of);
        let mut changed = service::Snapshot::default();
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

    /// Returns a function that builds all parts, for a replica that lacks some. This is rare, so the
    /// configuration is encoded only on demand.
    pub fn full_snapshot(
        &self,
        config: Arc<config::Config>,
    ) -> impl Fn() -> service::Snapshot + use<> {
        let as_of = self.as_of;
        let upstreams = service::SnapshotPart {
            as_of,
            bytes: self.upstreams.clone(),
        };
        move || service::Snapshot {
            config: encode_part(as_of, config.as_ref()),
            upstreams: Some(upstreams.clone()),
        }
    }

    /// Applies a replica's update; `None` if this entry has a newer snapshot.
    ///
    /// A revision does not determine the content of a part, so a revision counts as complete only once the
    /// digests agree, and a part of the same revision is applied.
    pub fn apply_update(&mut self, update: &service::Update) -> Option<Decoded> {
        let service::Update {
            newer,
            last_read: last,
            ..
        } = update;
        let as_of = last.map_or(newer.as_of(), |last| last.as_of);
        // If no entry has read the store since the replica started, the parts are from its disk.
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
        let is_complete = last.is_some() && self.is_decodable() && self.digests == update.digests;
        if is_complete {
            self.as_of = as_of;
        }
        Some(Decoded {
            config,
            upstreams,
            is_complete,
        })
    }

    fn apply_config(&mut self, part: &service::SnapshotPart) -> Option<config::Config> {
        // The digest is kept also if decoding fails, so that the part is not fetched again.
        self.digests.config = part.digest();
        let config = decode_part::<config::Config>(part);
        self.undecodable.config = config.is_none();
        self.config_version = config.as_ref().map(|config| config.version);
        config
    }

    fn apply_upstreams(
        &mut self,
        part: &service::SnapshotPart,
    ) -> Option<Vec<fleet::ListedUpstream>> {
        self.digests.upstreams = part.digest();
        self.upstreams = part.bytes.clone();
        let upstreams = decode_part(part);
        self.undecodable.upstreams = upstreams.is_none();
        upstreams
    }
}

fn encode_part<T: Serialize + ?Sized>(as_of: u64, part: &T) -> Option<service::SnapshotPart> {
    match postcard::to_stdvec(part) {
        Ok(bytes) => Some(service::SnapshotPart {
            as_of,
            bytes: bytes.into(),
        }),
        Err(err) => {
            tracing::error!(%err, "cannot encode a part of the snapshot for the replicas");
            None
        }
    }
}

fn decode_part<T: DeserializeOwned>(part: &service::SnapshotPart) -> Option<T> {
    match postcard::from_bytes(&part.bytes) {
        Ok(decoded) => Some(decoded),
        Err(err) => {
            tracing::error!(%err, as_of = part.as_of, "cannot decode a part of a replica's snapshot");
            None
        }
    }
}
