//! Records events from many threads, and reads and writes records as JSON lines.

use std::io;
use std::io::BufRead;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use parking_lot::Mutex;
use snafu::ResultExt;
use snafu::Snafu;

use crate::event::Entry;
use crate::event::Event;

/// Records events; clones share one record.
#[derive(Clone, Debug)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    next_id: AtomicU64,
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Starts an empty record at the current time.
    pub fn new() -> Self {
        Self {
            shared: Arc::new(Shared {
                started_at: Instant::now(),
                next_id: AtomicU64::new(1),
                entries: Mutex::default(),
            }),
        }
    }

    /// Returns an id for a call or run that is unique in this record.
    pub fn next_id(&self) -> u64 {
        self.shared.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Appends `event` with the current time.
    pub fn record(&self, event: Event) {
        let mut entries = self.shared.entries.lock();
        // The time is taken under the lock, so that times never decrease along the record.
        let at = self.shared.started_at.elapsed();
        entries.push(Entry { at, event });
    }

    /// The entries recorded so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.entries.lock().clone()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

/// Error of reading a record.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The input could not be read.
    #[snafu(display("line {line} could not be read: {source}"))]
    Io {
        /// The line, counted from 1.
        line: usize,
        /// The I/O error.
        source: io::Error,
    },
    /// A line is not a valid event.
    #[snafu(display("line {line} is not a valid event: {source}"))]
    Json {
        /// The line, counted from 1.
        line: usize,
        /// The parse error.
        source: serde_json::Error,
    },
}

/// Writes one JSON object per line.
///
/// # Errors
///
/// Returns the error of `to` if a write fails.
pub fn write(entries: &[Entry], mut to: impl Write) -> io::Result<()> {
    for entry in entries {
        serde_json::to_writer(&mut to, entry)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads a record in the format of [`write`].
///
/// # Errors
///
/// Returns the number of the first line that cannot be read or is not a valid event.
pub fn read(from: impl BufRead) -> Result<Vec<Entry>, ReadError> {
    let mut entries = Vec::new();
    for (index, text) in from.lines().enumerate() {
        let line = index + 1;
        let text = text.context(IoSnafu { line })?;
        entries.push(serde_json::from_str(&text).context(JsonSnafu { line })?);
    }
    Ok(entries)
}
