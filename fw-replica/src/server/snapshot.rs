//! Snapshot of the platform's store: published by entries that read it, served to all others.

use std::time::{Duration, Instant};

use fw_base::clock;
use fw_plan::lapse;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::Shared;
use crate::{record, service};

/// `read`, unless it is older than `current` or has the same contents.
fn changed(
    current: Option<&service::SnapshotPart>,
    read: Option<service::SnapshotPart>,
) -> Option<service::SnapshotPart> {
    let read = read?;
    let changes = |current: &service::SnapshotPart| {
        current.as_of <= read.as_of && current.bytes != read.bytes
    };
    current.is_none_or(changes).then_some(read)
}

/// The last published read of the platform's store.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    /// The entry that made it.
    entry: u32,
    /// Revision up to which this replica has all parts.
    as_of: u64,
    /// When it was published.
    received_at: Instant,
    /// Time since boot, if proven: the replica has all that the store had acknowledged by then.
    requested_at: Option<Duration>,
}

/// Reads of the platform's store that entries have published.
#[derive(Debug)]
pub(super) struct StoreReads {
    /// Identifies this start of the replica.
    run: u64,
    /// The last read of which all parts are stored here.
    last: watch::Sender<Option<LastRead>>,
    /// Reads without a gap between them, by the time since boot.
    contiguous: Mutex<lapse::Reads>,
    /// Held while parts are compared and written, so that the newest part is written last.
    write_lock: tokio::sync::Mutex<()>,
}

impl StoreReads {
    /// No read has been published yet.
    pub(super) fn new(run: u64, opts: lapse::Options) -> Self {
        Self {
            run,
            last: watch::Sender::default(),
            contiguous: Mutex::new(lapse::Reads::new(opts)),
            write_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Earliest time at which a read was requested, by this replica's clock; `None` without a clock
    /// reading from this start of the replica.
    fn requested_at(&self, reading: Option<service::ClockReading>) -> Option<Duration> {
        let reading = reading.filter(|reading| reading.run == self.run);
        reading.map(|reading| reading.at)
    }

    /// Time since the first and last of the contiguous reads were requested.
    fn contiguous_span(&self) -> Option<service::ReadSpan> {
        let span = self.contiguous.lock().span()?;
        let now = clock::since_boot();
        Some(service::ReadSpan {
            first: now.saturating_sub(span.first),
            last: now.saturating_sub(span.last),
        })
    }
}

impl Shared {
    /// Stores the parts of `read` that are newer than the stored ones.
    pub async fn store_snapshot(&self, read: service::Snapshot) {
        let _keeping = self.store_reads.write_lock.lock().await;
        let stored = self.snapshot();
        // A part that the disk refuses is missing here, and is sent again with the next
        // publication.
        if let Some(config) = changed(stored.config.as_ref(), read.config) {
            self.write(record::Record::Config(config)).await;
        }
        if let Some(upstreams) = changed(stored.upstreams.as_ref(), read.upstreams) {
            self.write(record::Record::Upstreams(upstreams)).await;
        }
    }

    /// Stores what an entry has read, unless newer parts are stored.
    ///
    /// A publication may be delayed on its way. Its read therefore counts as requested no later
    /// than the last clock reading that the reader had from this replica before the read. It proves
    /// the stored parts current only if the digests match.
    pub async fn publish(&self, req: service::Publish) -> service::Published {
        let requested_at = self.store_reads.requested_at(req.requested_at);
        if let Some(at) = requested_at {
            // A delayed publication proves nothing about the time since its read.
            let mut contiguous = self.store_reads.contiguous.lock();
            contiguous.add_read(at, clock::since_boot());
        }
        if req.as_of < self.as_of() {
            // The replica has all parts of a newer read.
            return self.publish_reply(true);
        }
        self.store_snapshot(req.changed).await;
        let is_complete = self.state.lock().digests() == req.digests;
        if is_complete {
            self.store_reads.last.send_modify(|last| {
                let (as_of, known) = last.map_or((0, None), |last| (last.as_of, last.requested_at));
                *last = Some(LastRead {
                    entry: req.entry,
                    as_of: req.as_of.max(as_of),
                    received_at: Instant::now(),
                    requested_at: requested_at.max(known),
                });
            });
        }
        self.publish_reply(is_complete)
    }

    fn publish_reply(&self, is_complete: bool) -> service::Published {
        service::Published {
            is_complete,
            now: self.read_clock(),
        }
    }

    /// Newest revision of the store that any part or read reflects.
    fn as_of(&self) -> u64 {
        let read = self.store_reads.last.borrow().map_or(0, |last| last.as_of);
        read.max(self.state.lock().snapshot().as_of())
    }

    /// Newest revision and digests of the stored parts.
    pub fn known_version(&self) -> service::KnownVersion {
        service::KnownVersion {
            as_of: self.as_of(),
            digests: self.state.lock().digests(),
        }
    }

    /// Whether the requester at version `known` lacks a part that is not older than its own.
    fn has_update_for(&self, known: service::KnownVersion) -> bool {
        let lacks = self.state.lock().digests().differing_from(known.digests);
        !lacks.is_empty() && self.as_of() >= known.as_of
    }

    /// The parts that the requester at version `known` lacks, and the digests of all.
    fn parts_for(&self, known: service::KnownVersion) -> (service::Snapshot, service::PartDigests) {
        let has_update = self.has_update_for(known);
        let state = self.state.lock();
        let newer = match has_update {
            true => state.parts_missing_from(known.digests),
            false => service::Snapshot::default(),
        };
        (newer, state.digests())
    }

    /// Reads this replica's clock, for others to send back.
    pub(super) fn read_clock(&self) -> service::ClockReading {
        service::ClockReading {
            run: self.store_reads.run,
            at: clock::since_boot(),
        }
    }

    /// The parts that the requester at version `known` lacks. Waits up to `wait` until a read of
    /// the platform's store is published or the member list changes.
    pub async fn poll_update(
        &self,
        known: service::KnownVersion,
        wait: Duration,
    ) -> service::Update {
        let started = Instant::now();
        let mut reads = self.store_reads.last.subscribe();
        let mut view = self.view.subscribe();
        if !self.has_update_for(known) {
            let changed = async {
                tokio::select! {
                    _ = reads.changed() => {}
                    _ = view.changed() => {}
                }
            };
            // After a time-out, the reply still states the age of the last read.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        // Loaded before the parts, which are therefore at least as new.
        let last = *self.store_reads.last.borrow();
        let (newer, digests) = self.parts_for(known);
        service::Update {
            newer,
            digests,
            reads: self.store_reads.contiguous_span(),
            view: self.view.borrow().clone(),
            held_for: started.elapsed(),
            last_read: last.map(|last| service::LastRead {
                by: last.entry,
                as_of: last.as_of,
                ago: last.received_at.elapsed(),
                asked: last
                    .requested_at
                    .map(|asked| clock::since_boot().saturating_sub(asked)),
            }),
        }
    }
}
