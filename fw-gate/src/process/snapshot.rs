//! What an entry knows from the platform's store, passed on by way of the replicas.
//!
//! *Failure:* all entries lose power while the store is away, or the store turns one entry away for
//! seconds. Without a disk an entry that starts then knows no route and no upstream, and could
//! serve nobody until the store is back.
//!
//! Entries that reach the store give the replicas what they know, whenever it changes; one that
//! does not reach it asks them. A configuration never goes back, since an older version is not put
//! in force, and an upstream list is taken only from a newer revision of the store.

use std::time::Duration;

use fw_replica::service;
use serde::{Deserialize, Serialize};

use super::fleet;
use crate::version::config;

/// Pause between two questions while the store does not answer.
pub const ASK: Duration = Duration::from_millis(300);
/// The same while nothing is known: callers wait for it.
pub const ASK_FIRST: Duration = Duration::from_millis(50);

/// What is known from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: config::Config,
    /// The upstreams, by id.
    pub upstreams: Vec<fleet::Listed>,
}

/// What was passed on last.
#[derive(Debug, Default)]
pub struct Posted {
    as_of: u64,
    bytes: Vec<u8>,
}

impl Posted {
    /// A bulletin of `known`, if it differs from the last.
    pub fn news(&mut self, as_of: u64, known: &Snapshot) -> Option<service::Bulletin> {
        self.as_of = self.as_of.max(as_of);
        let bytes = match postcard::to_stdvec(known) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!(%err, "what is known cannot be encoded for the replicas");
                return None;
            }
        };
        if bytes == self.bytes {
            return None;
        }
        self.bytes.clone_from(&bytes);
        Some(service::Bulletin {
            as_of,
            bytes: bytes.into(),
        })
    }

    /// The next bulletin is posted whether anything has changed or not.
    pub fn forget(&mut self) {
        self.bytes.clear();
    }

    /// Revision of the store up to which this entry knows.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Reads a bulletin, unless it is older than what is known.
    pub fn read(&mut self, bulletin: &service::Bulletin) -> Option<Snapshot> {
        if bulletin.as_of <= self.as_of {
            return None;
        }
        match postcard::from_bytes(&bulletin.bytes) {
            Ok(known) => {
                self.as_of = bulletin.as_of;
                Some(known)
            }
            Err(err) => {
                tracing::error!(%err, "a bulletin cannot be read");
                None
            }
        }
    }
}
