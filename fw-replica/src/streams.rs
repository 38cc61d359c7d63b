//! Origins of streams: the service, and the software version of the upstream, at which each began.
//!
//! *Load pattern:* upstreams of several software versions serve side by side. Callers take up streams that
//! broke, through any entry, also when the one that began the stream has gone.
//!
//! *Without it:* an entry would have to guess at which version a stream may go on.
//!
//! *Grounds:* a version that was recorded stays true, so records have no end but that of the capacity. What is
//! not on record is not guessed, so that they need neither a disk nor a confirmation.

use std::num::NonZeroUsize;

use fw_base::id;
use lru::LruCache;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Id of a stream: that of the caller's attempt that brought its first event.
pub type StreamId = SmolStr;
/// Version of an upstream's software.
pub type Version = SmolStr;

/// Where a stream began, and may go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service. Versions of two services may have the same names.
    pub service: id::ServiceId,
    /// The software version of the upstream.
    pub version: Version,
}

/// Most streams on record, in about 17 MB: those of eight seconds at 16,000 a second. The oldest goes first.
const CAPACITY: NonZeroUsize = NonZeroUsize::new(131_072).expect("not zero");

/// Streams and their origins.
#[derive(Debug)]
pub struct Table {
    origins: Mutex<LruCache<StreamId, Origin>>,
}

impl Default for Table {
    fn default() -> Self {
        // Memory is taken as records come.
        let mut origins = LruCache::unbounded();
        origins.resize(CAPACITY);
        Self {
            origins: Mutex::new(origins),
        }
    }
}

impl Table {
    /// Records that the first event of `stream` came from `origin`.
    pub fn record(&self, stream: StreamId, origin: Origin) {
        self.origins.lock().put(stream, origin);
    }

    /// The origin of `stream`, if it is on record.
    pub fn find(&self, stream: &StreamId) -> Option<Origin> {
        self.origins.lock().peek(stream).cloned()
    }
}
