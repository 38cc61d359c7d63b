//! Splits a `text/event-stream` into complete events.
//!
//! A stream may break in the middle of an event. Only complete events are forwarded, so that a stream that
//! is resumed at another upstream continues at the boundary of an event.

use bytes::{Buf, Bytes, BytesMut};
use smol_str::SmolStr;

/// Maximum length of an event; events of an agent's answer are never longer.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<SmolStr>,
    /// Its data lines, joined by line feeds; `None` if it has none.
    pub data: Option<Bytes>,
}

/// An incremental splitter of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Length of the start of `buf` that was searched for the end of an event without finding one.
    searched: usize,
}

impl Splitter {
    /// Appends bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        let raw = self.buf.split_to(end).freeze();
        self.searched = 0;
        Some(parse(raw))
    }

    /// Whether the buffer ends with an incomplete event.
    pub fn has_partial(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Length of what is not yet returned as events.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether all of it is returned.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether the incomplete event exceeds the maximum length.
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// End of the first event: after two consecutive line ends.
    fn end_of_event(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let found = (from..self.buf.len()).find_map(|at| {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") {
                Some(at + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(at + 3)
            } else {
                None
            }
        });
        self.searched = self.buf.len();
        found
    }
}

fn parse(raw: Bytes) -> Event {
    let mut id = None;
    let mut data: Option<BytesMut> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id") {
            id = std::str::from_utf8(value).ok().map(SmolStr::from);
        } else if let Some(value) = field(line, b"data") {
            match &mut data {
                None => data = Some(BytesMut::from(value)),
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
            }
        }
    }
    Event {
        id,
        data: data.map(BytesMut::freeze),
        raw,
    }
}

/// The value of `line` if it is the field `name`; one space after the colon is skipped.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
