//! What entries have read from the platform's store, kept and told to the others.

use std::time::{Duration, Instant};

use fw_base::clock;
use fw_plan::lapse;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::Shared;
use crate::{record, service};

/// `read`, unless it is what is `known`, or that is newer.
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

/// The last read of the platform's store that an entry told of.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    /// Who read.
    entry: u32,
    /// Up to which revision all is known here.
    as_of: u64,
    /// When it told.
    received_at: Instant,
    /// All that the store had acknowledged at this time since boot is known here, if that is proven.
    requested_at: Option<Duration>,
}

/// StoreReads of the platform's store that entries told of.
#[derive(Debug)]
pub(super) struct StoreReads {
    /// Names this start of the replica.
    run: u64,
    /// The last one of which all parts are here.
    last: watch::Sender<Option<LastRead>>,
    /// Those that followed each other without a gap, by the time since boot.
    contiguous: Mutex<lapse::Reads>,
    /// Held while bulletins are compared and written, so that the newest is written last.
    write_lock: tokio::sync::Mutex<()>,
}

impl StoreReads {
    /// None is known yet.
    pub(super) fn new(run: u64, opts: lapse::Options) -> Self {
        Self {
            run,
            last: watch::Sender::default(),
            contiguous: Mutex::new(lapse::Reads::new(opts)),
            write_lock: tokio::sync::Mutex::default(),
        }
    }

    /// When a read was asked at the earliest, by this replica's clock; `None` if its reader knew no
    /// moment of this start.
    fn requested_at(&self, reading: Option<service::ClockReading>) -> Option<Duration> {
        let reading = reading.filter(|reading| reading.run == self.run);
        reading.map(|reading| reading.at)
    }

    /// How long ago the reads without a gap were asked.
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
    /// Keeps `read` unless newer is known.
    pub async fn store_snapshot(&self, read: service::Snapshot) {
        let _keeping = self.store_reads.write_lock.lock().await;
        let known = self.snapshot();
        // What the disk refuses is missing here, and comes again with the next post.
        if let Some(config) = changed(known.config.as_ref(), read.config) {
            self.write(record::Record::Config(config)).await;
        }
        if let Some(upstreams) = changed(known.upstreams.as_ref(), read.upstreams) {
            self.write(record::Record::Upstreams(upstreams)).await;
        }
    }

    /// Keeps what an entry has read, unless newer is known.
    ///
    /// A post may have been held up on its way: its read counts as asked no later than the last moment of this
    /// replica that the reader had been told before. It proves what is kept here only if the digests agree.
    pub async fn publish(&self, req: service::Publish) -> service::Published {
        let requested_at = self.store_reads.requested_at(req.requested_at);
        if let Some(at) = requested_at {
            // A post that was held up says nothing of the time since.
            let mut contiguous = self.store_reads.contiguous.lock();
            contiguous.note_read(at, clock::since_boot());
        }
        if req.as_of < self.as_of() {
            // Nothing of it is missing here.
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
            is_complete: is_complete,
            now: self.read_clock(),
        }
    }

    /// Newest revision of the store of which something is known here.
    fn as_of(&self) -> u64 {
        let read = self.store_reads.last.borrow().map_or(0, |last| last.as_of);
        read.max(self.state.lock().snapshot().as_of())
    }

    /// Newest revision, and digests, of what entries know from the platform's store.
    pub fn known_version(&self) -> service::KnownVersion {
        service::KnownVersion {
            as_of: self.as_of(),
            digests: self.state.lock().digests(),
        }
    }

    /// Whether the owner of `known` lacks a part that is not older than what it knows.
    fn has_update_for(&self, known: service::KnownVersion) -> bool {
        let lacks = self.state.lock().digests().differing_from(known.digests);
        !lacks.is_empty() && self.as_of() >= known.as_of
    }

    /// The parts that the owner of `known` lacks, and digests of all.
    fn parts_for(&self, known: service::KnownVersion) -> (service::Snapshot, service::PartDigests) {
        let has_update = self.has_update_for(known);
        let state = self.state.lock();
        let newer = match has_update {
            true => state.parts_missing_from(known.digests),
            false => service::Snapshot::default(),
        };
        (newer, state.digests())
    }

    /// The present moment, for others to hand back.
    pub(super) fn read_clock(&self) -> service::ClockReading {
        service::ClockReading {
            run: self.store_reads.run,
            at: clock::since_boot(),
        }
    }

    /// What the owner of `known` lacks; waits up to `wait` until an entry has read the platform's store, or
    /// the member list has changed.
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
            // Over without a read, the answer tells how old the last one is.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        // Taken before the parts, so that these are as new at least.
        let last = *self.store_reads.last.borrow();
        let (newer, digests) = self.parts_for(known);
        service::Update {
            newer,
            digests: digests,
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
