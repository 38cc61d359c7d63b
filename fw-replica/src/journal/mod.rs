//! Append-only journal of records, in segment files of bounded size.
//!
//! Records are appended to the newest file, the current segment, and acknowledged only after a
//! sync. A segment that has reached [`Options::segment_bytes`] is followed by a new one. A segment
//! is removed once the retention of all its records is over, so that the disk holds retained
//! records only and not all that were ever written.
//!
//! Each segment begins with the records that never expire ([`Standing`]), so that older segments
//! can be removed. It gets its name only when these are on disk: a loss of power leaves either no
//! new segment or one with its whole head.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::record;

pub use files::{Files, Place, SegmentId};
pub use frame::encode;

mod files;
mod frame;

/// Errors of the journal.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The disk failed.
    #[snafu(display("cannot {what} the journal: {source}"))]
    Io {
        /// The operation.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A record does not match this version's types.
    #[snafu(display("segment {segment} holds an unreadable record at byte {at}: {source}"))]
    Unreadable {
        /// The segment.
        segment: SegmentId,
        /// Offset of its payload.
        at: u32,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The segment was removed, as all its records had expired.
    #[snafu(display("segment {segment} was removed"))]
    Removed {
        /// The segment.
        segment: SegmentId,
    },
}

/// Options of a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size at which a segment is followed by a new one. With 4 MiB, a disk of 390 MB holds about
    /// ninety, so that at most one ninetieth of it is retained too long, and reading one again
    /// takes some milliseconds of a processor.
    pub segment_bytes: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
        }
    }
}

/// The newest record of each kind that never expires.
#[derive(Clone, Debug, Default)]
struct Standing {
    synced: Option<record::Record>,
    members: Option<record::Record>,
    config: Option<record::Record>,
    upstreams: Option<record::Record>,
    quarantine: Option<record::Record>,
}

impl Standing {
    fn update(&mut self, record: &record::Record) {
        let slot = match record {
            record::Record::Synced(_) => &mut self.synced,
            record::Record::Members(_) => &mut self.members,
            record::Record::Config(_) => &mut self.config,
            record::Record::Upstreams(_) => &mut self.upstreams,
            record::Record::Quarantine(_) => &mut self.quarantine,
            record::Record::Turn(_) | record::Record::QuorumTurn(_) | record::Record::Charge(_) => {
                return;
            }
        };
        *slot = Some(record.clone());
    }

    fn records(&self) -> impl Iterator<Item = &record::Record> {
        let all = [
            &self.synced,
            &self.members,
            &self.config,
            &self.upstreams,
            &self.quarantine,
        ];
        all.into_iter().flatten()
    }
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    dir: PathBuf,
    opts: Options,
    files: Files,
    current: SegmentId,
    end: u32,
    standing: Standing,
}

impl Journal {
    /// Opens the journal in `dir`, passes each record to `each`, and truncates a torn end.
    ///
    /// After a loss of power, a write that was not synced may be present, missing or torn, whatever
    /// came after it. Nothing behind the first broken frame was ever acknowledged.
    ///
    /// # Errors
    ///
    /// When the disk fails or a whole record cannot be decoded.
    pub fn open(
        dir: &Path,
        opts: Options,
        mut each: impl FnMut(record::Record, Place),
    ) -> Result<Self, Error> {
        std::fs::create_dir_all(dir).context(IoSnafu { what: "create" })?;
        let mut journal = Self {
            dir: dir.to_owned(),
            opts,
            files: Files::default(),
            current: 0,
            end: 0,
            standing: Standing::default(),
        };
        for segment in files::list(dir)? {
            let file = files::open(dir, segment)?;
            journal.current = segment;
            journal.end = journal.replay(segment, &file, &mut each)?;
        }
        match journal.files.get(journal.current) {
            Some(file) => cut(&file, journal.end)?,
            None => journal.rotate()?,
        }
        Ok(journal)
    }

    /// Appends `records` and syncs them. Returns the place of each, or `None` where one cannot be
    /// encoded.
    ///
    /// # Errors
    ///
    /// When the disk refuses. Any partial write is truncated, so that the journal can be used once
    /// the disk accepts writes again.
    pub fn append(&mut self, records: &[record::Record]) -> Result<Vec<Option<Place>>, Error> {
        if self.end >= self.opts.segment_bytes
            && let Err(err) = self.rotate()
        {
            // A disk that refuses a new file may still accept writes to the current one.
            tracing::warn!(%err, segment = self.current, "a new journal segment could not be created");
        }
        let (frames, places) = self.encode_all(records);
        self.write(&frames)?;
        for record in records {
            self.standing.update(record);
            self.files
                .extend_retention(self.current, record.retain_until());
        }
        Ok(places)
    }

    /// Removes the oldest segment.
    ///
    /// # Errors
    ///
    /// When the disk refuses. The segment is no longer read from all the same.
    pub fn remove(&mut self, segment: SegmentId) -> Result<(), Error> {
        if segment == self.current {
            return Ok(());
        }
        self.files.remove(segment);
        let path = files::path(&self.dir, segment);
        std::fs::remove_file(path).context(IoSnafu {
            what: "remove a segment of",
        })?;
        sync_dir(&self.dir)
    }

    /// The segments, for reads from other threads.
    pub fn files(&self) -> Files {
        self.files.clone()
    }

    /// Reads a whole segment; returns the end of its last whole frame.
    fn replay(
        &mut self,
        segment: SegmentId,
        file: &File,
        each: &mut impl FnMut(record::Record, Place),
    ) -> Result<u32, Error> {
        let file = file.try_clone().context(IoSnafu { what: "open" })?;
        self.files.add(segment, file);
        self.files.scan(segment, |record, place| {
            self.standing.update(&record);
            self.files.extend_retention(segment, record.retain_until());
            each(record, place);
        })
    }

    fn encode_all(&self, records: &[record::Record]) -> (Vec<u8>, Vec<Option<Place>>) {
        let mut frames = Vec::new();
        let place = |record| {
            let at = self.end + frames.len() as u32 + frame::HEADER_LEN;
            let encoded = encode(record, &mut frames);
            let len =
                encoded.inspect_err(|err| tracing::error!(%err, "a record could not be encoded"));
            Some(Place {
                segment: self.current,
                at,
                len: len.ok()?,
            })
        };
        let places = records.iter().map(place).collect();
        (frames, places)
    }

    fn write(&mut self, frames: &[u8]) -> Result<(), Error> {
        let segment = self.current;
        let file = self.files.get(segment);
        let file = file.ok_or(Error::Removed { segment })?;
        if let Err(err) = write_synced(&file, self.end, frames) {
            cut(&file, self.end)?;
            return Err(err);
        }
        self.end += frames.len() as u32;
        Ok(())
    }

    /// Begins a new segment with the standing records at its head.
    fn rotate(&mut self) -> Result<(), Error> {
        let segment = self.current + 1;
        let head: Vec<_> = self.standing.records().cloned().collect();
        let mut frames = Vec::new();
        for record in &head {
            encode(record, &mut frames).context(UnreadableSnafu { segment, at: 0_u32 })?;
        }
        let file = files::create(&self.dir, segment, &frames)?;
        sync_dir(&self.dir)?;
        self.files.add(segment, file);
        self.current = segment;
        self.end = frames.len() as u32;
        Ok(())
    }
}

fn write_synced(file: &File, at: u32, frames: &[u8]) -> Result<(), Error> {
    use std::os::unix::fs::FileExt;

    file.write_all_at(frames, u64::from(at))
        .context(IoSnafu { what: "write" })?;
    file.sync_data().context(IoSnafu { what: "sync" })
}

/// Truncates the file to `end`.
fn cut(file: &File, end: u32) -> Result<(), Error> {
    file.set_len(u64::from(end))
        .context(IoSnafu { what: "cut" })?;
    file.sync_all().context(IoSnafu { what: "sync" })
}

/// Makes created and removed file names durable.
fn sync_dir(dir: &Path) -> Result<(), Error> {
    let handle = File::open(dir).context(IoSnafu { what: "open" })?;
    handle.sync_all().context(IoSnafu {
        what: "sync the directory of",
    })
}
