//! The segments of a journal as files.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parking_lot::Mutex;
use snafu::ResultExt;

use super::{Error, IoSnafu, UnreadableSnafu, frame};
use crate::record;

/// Number of a segment, in order of creation.
pub type SegmentId = u32;

/// Name of a segment until its head is on disk.
const TEMP_NAME: &str = "records.new";
const PREFIX: &str = "records-";
const SUFFIX: &str = ".log";
/// Buffer for reading a whole segment.
const READ_BUFFER: usize = 64 << 10;

/// Location of a record's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The segment.
    pub segment: SegmentId,
    /// Offset in bytes.
    pub at: u32,
    /// Length in bytes.
    pub len: u32,
}

#[derive(Debug)]
struct Segment {
    file: Arc<File>,
    /// Latest end of retention of its records.
    until: record::UnixMs,
}

/// The open segments of a journal.
#[derive(Clone, Debug, Default)]
pub struct Files {
    segments: Arc<Mutex<BTreeMap<SegmentId, Segment>>>,
}

impl Files {
    /// Reads the record at `place`.
    ///
    /// # Errors
    ///
    /// When the disk fails, or the record cannot be decoded or was removed.
    pub fn read(&self, place: Place) -> Result<record::Record, Error> {
        let segment = place.segment;
        let file = self.get(segment).ok_or(Error::Removed { segment })?;
        let mut buf = vec![0; place.len as usize];
        file.read_exact_at(&mut buf, u64::from(place.at))
            .context(IoSnafu { what: "read" })?;
        postcard::from_bytes(&buf).context(UnreadableSnafu {
            segment,
            at: place.at,
        })
    }

    /// The oldest segment, if all its records have expired. Never the current segment.
    pub fn oldest_expired(&self, now: record::UnixMs) -> Option<SegmentId> {
        let segments = self.segments.lock();
        let (id, oldest) = segments.iter().next()?;
        (segments.len() > 1 && oldest.until <= now).then_some(*id)
    }

    /// Number of segments.
    pub fn count(&self) -> usize {
        self.segments.lock().len()
    }

    /// Passes each whole record of a segment to `each`; returns the end of the last one.
    ///
    /// # Errors
    ///
    /// When the disk fails, a record cannot be decoded, or the segment was removed.
    pub fn scan(
        &self,
        segment: SegmentId,
        mut each: impl FnMut(record::Record, Place),
    ) -> Result<u32, Error> {
        let file = self.get(segment).ok_or(Error::Removed { segment })?;
        let file_len = file.metadata().context(IoSnafu { what: "read" })?.len();
        let mut reader = BufReader::with_capacity(READ_BUFFER, Reader { file, at: 0 });
        let mut payload = Vec::new();
        let mut end = 0;
        loop {
            let left = file_len.saturating_sub(u64::from(end));
            let found = frame::read(&mut reader, left, &mut payload);
            if !found.context(IoSnafu { what: "read" })? {
                return Ok(end);
            }
            let at = end + frame::HEADER_LEN;
            let len = payload.len() as u32;
            let record = postcard::from_bytes(&payload);
            let record = record.context(UnreadableSnafu { segment, at })?;
            each(record, Place { segment, at, len });
            end = at + len;
        }
    }

    pub(super) fn add(&self, segment: SegmentId, file: File) {
        let file = Arc::new(file);
        let added = Segment { file, until: 0 };
        self.segments.lock().insert(segment, added);
    }

    pub(super) fn get(&self, segment: SegmentId) -> Option<Arc<File>> {
        let segments = self.segments.lock();
        segments
            .get(&segment)
            .map(|segment| Arc::clone(&segment.file))
    }

    /// Retains `segment` until `until` at least.
    pub fn extend_retention(&self, segment: SegmentId, until: record::UnixMs) {
        if let Some(segment) = self.segments.lock().get_mut(&segment) {
            segment.until = segment.until.max(until);
        }
    }

    pub(super) fn remove(&self, segment: SegmentId) {
        self.segments.lock().remove(&segment);
    }
}

/// Reads a file from its own offset, as the handle is shared.
struct Reader {
    file: Arc<File>,
    at: u64,
}

impl std::io::Read for Reader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        let len = self.file.read_at(buf, self.at)?;
        self.at += len as u64;
        Ok(len)
    }
}

/// Path of a segment.
pub(super) fn path(dir: &Path, segment: SegmentId) -> PathBuf {
    dir.join(format!("{PREFIX}{segment:08}{SUFFIX}"))
}

/// The segments in `dir`, oldest first.
pub(super) fn list(dir: &Path) -> Result<Vec<SegmentId>, Error> {
    let entries = std::fs::read_dir(dir).context(IoSnafu { what: "list" })?;
    let mut segments = Vec::new();
    for entry in entries {
        let name = entry.context(IoSnafu { what: "list" })?.file_name();
        segments.extend(name.to_str().and_then(number));
    }
    segments.sort_unstable();
    Ok(segments)
}

/// The segment number in a file name; `None` for other files.
fn number(name: &str) -> Option<SegmentId> {
    let number = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    number.parse().ok()
}

pub(super) fn open(dir: &Path, segment: SegmentId) -> Result<File, Error> {
    let mut options = File::options();
    let opened = options.read(true).write(true).open(path(dir, segment));
    opened.context(IoSnafu { what: "open" })
}

/// Creates a segment that begins with `head`. It gets its name once the head is on disk.
pub(super) fn create(dir: &Path, segment: SegmentId, head: &[u8]) -> Result<File, Error> {
    let unnamed = dir.join(TEMP_NAME);
    let mut options = File::options();
    let options = options.read(true).write(true).create(true).truncate(true);
    let mut file = options.open(&unnamed).context(IoSnafu {
        what: "create a segment of",
    })?;
    file.write_all(head).context(IoSnafu { what: "write" })?;
    file.sync_all().context(IoSnafu { what: "sync" })?;
    std::fs::rename(&unnamed, path(dir, segment)).context(IoSnafu {
        what: "rename a segment of",
    })?;
    Ok(file)
}
