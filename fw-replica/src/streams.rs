//! Software versions of the upstreams at which streams began.
//!
//! *Load pattern:* upstreams of several software versions serve side by side. Callers take up streams that
//! broke, through any entry, also when the one that began the stream has gone.
//!
//! *Without it:* an entry would have to guess at which version a stream may go on.
//!
//! *Grounds:* a version that was recorded stays true, so records have no end but that of the capacity. What is
//! not on record is not guessed, so that they need neither a disk nor a confirmation.

use std::num::NonZeroUsize;

use lru::LruCache;
use parking_lot::Mutex;
use smol_str::SmolStr;

/// Id of a stream: that of the caller's attempt that brought its first event.
pub type StreamId = SmolStr;
/// Version of an upstream's software.
pub type Version = SmolStr;

/// Most streams on record, in about 15 MB: those of eight seconds at 16,000 a second. The oldest goes first.
const CAPACITY: NonZeroUsize = NonZeroUsize::new(131_072).expect("not zero");

/// Streams and the versions at which they began.
#[derive(Debug)]
pub struct Table {
    versions: Mutex<LruCache<StreamId, Version>>,
}

impl Default for Table {
    fn default() -> Self {
        // Memory is taken as records come.
        let mut versions = LruCache::unbounded();
        versions.resize(CAPACITY);
        Self {
            versions: Mutex::new(versions),
        }
    }
}

impl Table {
    /// Records that the first event of `stream` came from an upstream of `version`.
    pub fn record(&self, stream: StreamId, version: Version) {
        self.versions.lock().put(stream, version);
    }

    /// The version at which `stream` began, if it is on record.
    pub fn find(&self, stream: &StreamId) -> Option<Version> {
        self.versions.lock().peek(stream).cloned()
    }
}
