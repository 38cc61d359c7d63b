//! The append-only file of records.
//!
//! A frame is the length of its payload, a checksum, and the record as postcard. Records are
//! acknowledged only after the file is synced, so everything after the first broken frame was
//! never acknowledged, and is cut off when the file is opened: after a power loss a write that
//! was not synced may be there, missing or torn, whatever came after it.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;

use snafu::{ResultExt, Snafu};
use xxhash_rust::xxh3;

use crate::record;

/// Bytes before each payload: its length and its checksum.
pub(crate) const HEAD: usize = 12;

/// Where a record's payload lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Offset in bytes.
    pub at: u64,
    /// Length in bytes.
    pub len: u32,
}

/// Why the journal cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The disk failed.
    #[snafu(display("cannot {what} the journal: {source}"))]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A record is not one of this version's.
    #[snafu(display("the journal holds an unreadable record at byte {at}: {source}"))]
    Unreadable {
        /// Offset of its payload.
        at: u64,
        /// What the decoder saw.
        source: postcard::Error,
    },
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    file: File,
    end: u64,
}

/// Appends the frame of `record` to `buf`.
///
/// # Errors
///
/// When the record cannot be encoded, which leaves `buf` as it was.
pub fn encode(record: &record::Record, buf: &mut Vec<u8>) -> Result<usize, postcard::Error> {
    let payload = postcard::to_stdvec(record)?;
    let len = u32::try_from(payload.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&xxh3::xxh3_64(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(payload.len())
}

impl Journal {
    /// Opens the journal in `dir`, hands each record to `each`, and cuts a broken end off.
    ///
    /// # Errors
    ///
    /// When the disk fails or a whole record cannot be decoded.
    pub fn open(dir: &Path, mut each: impl FnMut(record::Record, Place)) -> Result<Self, Error> {
        std::fs::create_dir_all(dir).context(IoSnafu { what: "create" })?;
        let mut file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(dir.join("records.log"))
            .context(IoSnafu { what: "open" })?;
        let mut all = Vec::new();
        file.read_to_end(&mut all)
            .context(IoSnafu { what: "read" })?;
        let mut end = 0;
        while let Some(payload) = whole_frame(&all, end) {
            let at = (end + HEAD) as u64;
            let record = postcard::from_bytes(payload).context(UnreadableSnafu { at })?;
            let len = payload.len() as u32;
            each(record, Place { at, len });
            end += HEAD + payload.len();
        }
        let end = end as u64;
        if end < all.len() as u64 {
            file.set_len(end).context(IoSnafu { what: "cut" })?;
        }
        file.sync_all().context(IoSnafu { what: "sync" })?;
        sync_dir(dir)?;
        Ok(Self { file, end })
    }

    /// Appends whole frames and syncs them; returns the offset of the first.
    ///
    /// # Errors
    ///
    /// When the disk refuses. What was written of them is cut off again, so that the journal can
    /// be used when the disk accepts writes once more.
    pub fn append(&mut self, frames: &[u8]) -> Result<u64, Error> {
        let start = self.end;
        match self.write_synced(frames) {
            Ok(()) => {
                self.end += frames.len() as u64;
                Ok(start)
            }
            Err(err) => self
                .file
                .set_len(start)
                .context(IoSnafu { what: "cut" })
                .and(Err(err)),
        }
    }

    /// Another handle to the same file, for reads.
    ///
    /// # Errors
    ///
    /// When there is no descriptor left.
    pub fn reader(&self) -> Result<Reader, Error> {
        let file = self.file.try_clone().context(IoSnafu { what: "open" })?;
        Ok(Reader { file })
    }

    fn write_synced(&mut self, frames: &[u8]) -> Result<(), Error> {
        self.file
            .seek(SeekFrom::Start(self.end))
            .context(IoSnafu { what: "seek in" })?;
        self.file
            .write_all(frames)
            .context(IoSnafu { what: "write" })?;
        self.file.sync_data().context(IoSnafu { what: "sync" })
    }
}

/// Reads single records.
#[derive(Debug)]
pub struct Reader {
    file: File,
}

impl Reader {
    /// Reads the record at `place`.
    ///
    /// # Errors
    ///
    /// When the disk fails or the record cannot be decoded.
    pub fn read(&self, place: Place) -> Result<record::Record, Error> {
        let mut buf = vec![0; place.len as usize];
        self.file
            .read_exact_at(&mut buf, place.at)
            .context(IoSnafu { what: "read" })?;
        postcard::from_bytes(&buf).context(UnreadableSnafu { at: place.at })
    }
}

/// The payload of the frame at `at`, if it is whole.
fn whole_frame(all: &[u8], at: usize) -> Option<&[u8]> {
    let head = all.get(at..at + HEAD)?;
    let len = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u64::from_le_bytes(head[4..].try_into().ok()?);
    let start = at + HEAD;
    let payload = all.get(start..start.checked_add(len)?)?;
    (len > 0 && xxh3::xxh3_64(payload) == sum).then_some(payload)
}

/// Makes a new file's name durable.
fn sync_dir(dir: &Path) -> Result<(), Error> {
    let handle = File::open(dir).context(IoSnafu { what: "open" })?;
    handle.sync_all().context(IoSnafu {
        what: "sync the directory of",
    })
}
