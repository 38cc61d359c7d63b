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
    known: Option<&service::SnapshotPart>,
    read: Option<service::SnapshotPart>,
) -> Option<service::SnapshotPart> {
    let read = read?;
    let changes =
        |known: &service::SnapshotPart| known.as_of <= read.as_of && known.bytes != read.bytes;
    known.is_none_or(changes).then_some(read)
}

/// The last read of the platform's store that an entry told of.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    /// Who read.
    by: u32,
    /// Up to which revision all is known here.
    as_of: u64,
    /// When it told.
    at: Instant,
    /// All that the store had acknowledged at this time since boot is known here, if that is proven.
    asked: Option<Duration>,
}

/// StoreReads of the platform's store that entries told of.
#[derive(Debug)]
pub(super) struct StoreReads {
    /// Names this start of the replica.
    run: u64,
    /// The last one of which all parts are here.
    last: watch::Sender<Option<LastRead>>,
    /// Those that followed each other without a gap, by the time since boot.
    steady: Mutex<lapse::Reads>,
    /// Held while bulletins are compared and written, so that the newest is written last.
    keeping: tokio::sync::Mutex<()>,
}

impl StoreReads {
    /// None is known yet.
    pub(super) fn new(run: u64, opts: lapse::Options) -> Self {
        Self {
            run,
            last: watch::Sender::default(),
            steady: Mutex::new(lapse::Reads::new(opts)),
            keeping: tokio::sync::Mutex::default(),
        }
    }

    /// When a read was asked at the earliest, by this replica's clock; `None` if its reader knew no
    /// moment of this start.
    fn asked_at(&self, asked: Option<service::ClockReading>) -> Option<Duration> {
        let asked = asked.filter(|asked| asked.run == self.run);
        asked.map(|asked| asked.at)
    }

    /// How long ago the reads without a gap were asked.
    fn steady(&self) -> Option<service::ReadSpan> {
        let span = self.steady.lock().span()?;
        let now = clock::since_boot();
        Some(service::ReadSpan {
            first: now.saturating_sub(span.first),
            last: now.saturating_sub(span.last),
        })
    }
}

impl Shared {
    /// Keeps `read` unless newer is known.
    pub async fn keep(&self, read: service::Snapshot) {
        let _keeping = self.reads.keeping.lock().await;
        let known = self.bulletins();
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
    pub async fn post(&self, post: service::Publish) -> service::Published {
        let asked = self.reads.asked_at(post.requested_at);
        if let Some(at) = asked {
            // A post that was held up says nothing of the time since.
            let mut steady = self.reads.steady.lock();
            steady.add_read(at, clock::since_boot());
        }
        if post.as_of < self.as_of() {
            // Nothing of it is missing here.
            return self.posted(true);
        }
        self.keep(post.changed).await;
        let is_whole = self.state.lock().marks() == post.digests;
        if is_whole {
            self.reads.last.send_modify(|last| {
                let (as_of, known) = last.map_or((0, None), |last| (last.as_of, last.asked));
                *last = Some(LastRead {
                    by: post.entry,
                    as_of: post.as_of.max(as_of),
                    at: Instant::now(),
                    asked: asked.max(known),
                });
            });
        }
        self.posted(is_whole)
    }

    fn posted(&self, is_whole: bool) -> service::Published {
        service::Published {
            is_complete: is_whole,
            now: self.moment(),
        }
    }

    /// Newest revision of the store of which something is known here.
    fn as_of(&self) -> u64 {
        let read = self.reads.last.borrow().map_or(0, |last| last.as_of);
        read.max(self.state.lock().bulletins().as_of())
    }

    /// Newest revision, and digests, of what entries know from the platform's store.
    pub fn known(&self) -> service::KnownVersion {
        service::KnownVersion {
            as_of: self.as_of(),
            digests: self.state.lock().marks(),
        }
    }

    /// Whether the owner of `known` lacks a part that is not older than what it knows.
    fn has_news(&self, known: service::KnownVersion) -> bool {
        let lacks = self.state.lock().marks().differing_from(known.digests);
        !lacks.is_empty() && self.as_of() >= known.as_of
    }

    /// The parts that the owner of `known` lacks, and digests of all.
    fn parts_for(&self, known: service::KnownVersion) -> (service::Snapshot, service::PartDigests) {
        let has_news = self.has_news(known);
        let state = self.state.lock();
        let newer = match has_news {
            true => state.bulletins_unlike(known.digests),
            false => service::Snapshot::default(),
        };
        (newer, state.marks())
    }

    /// The present moment, for others to hand back.
    pub(super) fn moment(&self) -> service::ClockReading {
        service::ClockReading {
            run: self.reads.run,
            at: clock::since_boot(),
        }
    }

    /// What the owner of `known` lacks; waits up to `wait` until an entry has read the platform's store, or
    /// the member list has changed.
    pub async fn news(&self, known: service::KnownVersion, wait: Duration) -> service::Update {
        let begun = Instant::now();
        let mut reads = self.reads.last.subscribe();
        let mut view = self.view.subscribe();
        if !self.has_news(known) {
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
        let last = *self.reads.last.borrow();
        let (newer, marks) = self.parts_for(known);
        service::Update {
            newer,
            digests: marks,
            reads: self.reads.steady(),
            view: self.view.borrow().clone(),
            held_for: begun.elapsed(),
            last_read: last.map(|last| service::LastRead {
                by: last.by,
                as_of: last.as_of,
                ago: last.at.elapsed(),
                asked: last
                    .asked
                    .map(|asked| clock::since_boot().saturating_sub(asked)),
            }),
        }
    }
}
