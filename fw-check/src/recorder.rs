//! Takes down events from many threads, and reads and writes them as JSON lines.

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

/// Takes down events; clones share one record.
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
    /// An empty record that begins now.
    pub fn new() -> Self {
        Self {
            shared: Arc::new(Shared {
                started_at: Instant::now(),
                next_id: AtomicU64::new(1),
                entries: Mutex::default(),
            }),
        }
    }

    /// A number for a call or run, not used before in this record.
    pub fn next_id(&self) -> u64 {
        self.shared.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes down `event`.
    pub fn record(&self, event: Event) {
        let mut entries = self.shared.entries.lock();
        // Under the lock, so that times grow along the record.
        let at = self.shared.started_at.elapsed();
        entries.push(Entry { at, event });
    }

    /// All that was taken down so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.entries.lock().clone()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a record could not be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The source failed.
    #[snafu(display("line {line}: {source}"))]
    Io {
        /// The line, counted from 1.
        line: usize,
        /// What the source reported.
        source: io::Error,
    },
    /// A line holds no event.
    #[snafu(display("line {line} holds no event: {source}"))]
    Json {
        /// The line, counted from 1.
        line: usize,
        /// What the parser saw.
        source: serde_json::Error,
    },
}

/// Writes one JSON object a line.
///
/// # Errors
///
/// When `to` fails.
pub fn write(entries: &[Entry], mut to: impl Write) -> io::Result<()> {
    for entry in entries {
        serde_json::to_writer(&mut to, entry)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads what [`write`] wrote.
///
/// # Errors
///
/// Names the first line that holds no event.
pub fn read(from: impl BufRead) -> Result<Vec<Entry>, ReadError> {
    let mut entries = Vec::new();
    for (index, text) in from.lines().enumerate() {
        let line = index + 1;
        let text = text.context(IoSnafu { line })?;
        entries.push(serde_json::from_str(&text).context(JsonSnafu { line })?);
    }
    Ok(entries)
}
