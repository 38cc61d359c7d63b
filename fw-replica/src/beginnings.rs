//! Events of streams under way, on routes that keep turns and whose streams may be taken up.
//!
//! *Load pattern:* an entry ends in the middle of streams, and their callers take them up through another.
//!
//! *Without it:* the other entry would have to refuse these streams, or store turns without their beginnings.
//!
//! *Grounds:* one attempt at a time writes a stream's events. An attempt that takes the stream up first writes
//! all that its caller has, at `f + 1` members and with a higher generation, so that nothing is added by the
//! attempt before. A beginning lasts as long as a caller may take its stream up, which needs no disk.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fw_base::digest;
use lru::LruCache;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::streams;

/// Id of an event, as its upstream states it.
pub type EventId = SmolStr;
/// Id of an attempt, drawn by its entry: a caller may use a request id again.
pub type AttemptId = u64;
/// Number of times that a stream has been taken up.
pub type Generation = u32;

/// How long a beginning is kept after its last event. Callers take a stream up within a second.
const TTL: Duration = Duration::from_secs(30);

/// Most bytes of all beginnings together; those that were extended least recently go first.
const CAPACITY: usize = 16 << 20;

/// Most bytes of one beginning, so that one stream does not displace all others.
const MAX_BYTES: usize = CAPACITY / 16;

/// Bytes of an event besides its data.
const EVENT_OVERHEAD: usize = 64;
/// Bytes of a beginning besides its events.
const STREAM_OVERHEAD: usize = 256;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its id.
    pub id: EventId,
    /// What it adds to the output of its turn.
    pub output: Bytes,
}

/// The attempt that writes the events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Digest of what the attempts of one stream have in common: the request and the program.
    pub request: digest::Digest,
    /// Number of attempts that wrote events before it.
    pub generation: Generation,
    /// The attempt.
    pub attempt: AttemptId,
}

/// The first events of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// The attempt that has written the events.
    pub author: Author,
    /// The events.
    pub events: Vec<Event>,
}

impl Beginning {
    /// Whether it has the event with id `last`.
    pub fn has(&self, last: &EventId) -> bool {
        self.events.iter().any(|event| event.id == *last)
    }

    /// The events up to the one with id `last`; `None` if there is none.
    pub fn until(mut self, last: &EventId) -> Option<Vec<Event>> {
        let at = self.events.iter().rposition(|event| event.id == *last)?;
        self.events.truncate(at + 1);
        Some(self.events)
    }
}

/// Adds events to a beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extend {
    /// The stream.
    pub stream: streams::StreamId,
    /// The attempt that writes the events.
    pub author: Author,
    /// Number of events before these.
    pub after: usize,
    /// The events.
    pub events: Vec<Event>,
}

/// Answer to [`Extend`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Extended {
    /// All events up to these are on record.
    Recorded,
    /// Only this many are, fewer than come before these.
    Lacks(usize),
    /// Another attempt writes the events of the stream.
    Superseded,
    /// The beginning is too long.
    TooLong,
}

#[derive(Debug)]
struct Held {
    beginning: Beginning,
    bytes: usize,
    extended_at: Instant,
}

#[derive(Debug)]
struct Inner {
    /// In the order in which they were last extended.
    held: LruCache<streams::StreamId, Held>,
    bytes: usize,
}

impl Inner {
    /// Replaces the beginning of `stream` by one without events.
    fn begin(&mut self, stream: streams::StreamId, author: Author, now: Instant) {
        self.remove(&stream);
        let held = Held {
            beginning: Beginning {
                author,
                events: Vec::new(),
            },
            bytes: STREAM_OVERHEAD,
            extended_at: now,
        };
        self.bytes += held.bytes;
        self.held.put(stream, held);
    }

    fn remove(&mut self, stream: &streams::StreamId) {
        if let Some(held) = self.held.pop(stream) {
            self.bytes -= held.bytes;
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, held)) = self.held.pop_lru() {
            self.bytes -= held.bytes;
        }
    }
}

/// Beginnings of streams.
#[derive(Debug)]
pub struct Table {
    inner: Mutex<Inner>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                held: LruCache::unbounded(),
                bytes: 0,
            }),
        }
    }
}

fn size(events: &[Event]) -> usize {
    let bytes = events.iter().map(|event| event.output.len());
    bytes.sum::<usize>() + events.len() * EVENT_OVERHEAD
}

impl Table {
    /// Adds events to the beginning of a stream.
    pub fn extend(&self, req: Extend, now: Instant) -> Extended {
        let mut inner = self.inner.lock();
        let known = inner.held.peek(&req.stream).map(|held| &held.beginning);
        match known.map(|known| known.author) {
            Some(author) if author == req.author => {}
            Some(author) if author.request != req.author.request => return Extended::Superseded,
            Some(author) if author.generation == 0 && req.author.generation == 0 => {
                // Two streams that began under one id: its caller may have the events of either.
                let author = Author {
                    generation: Generation::MAX,
                    ..author
                };
                inner.begin(req.stream, author, now);
                return Extended::Superseded;
            }
            Some(author) if author.generation >= req.author.generation => {
                return Extended::Superseded;
            }
            _ if req.after > 0 => return Extended::Lacks(0),
            _ => inner.begin(req.stream.clone(), req.author, now),
        }
        let Some(held) = inner.held.get_mut(&req.stream) else {
            return Extended::Lacks(0);
        };
        let events = &mut held.beginning.events;
        if req.after > events.len() {
            return Extended::Lacks(events.len());
        }
        // Events that are sent again are on record already.
        let known = events.len() - req.after;
        let new = req.events.get(known..).unwrap_or_default();
        let added = size(new);
        events.extend_from_slice(new);
        held.bytes += added;
        held.extended_at = now;
        let is_too_long = held.bytes > MAX_BYTES;
        inner.bytes += added;
        if is_too_long {
            inner.remove(&req.stream);
            return Extended::TooLong;
        }
        while inner.bytes > CAPACITY {
            inner.remove_oldest();
        }
        Extended::Recorded
    }

    /// The beginning of `stream`, if it is on record.
    pub fn find(&self, stream: &streams::StreamId) -> Option<Beginning> {
        let inner = self.inner.lock();
        inner.held.peek(stream).map(|held| held.beginning.clone())
    }

    /// Drops the beginnings that have not been extended for [`TTL`].
    pub fn expire(&self, now: Instant) {
        let mut inner = self.inner.lock();
        let is_old = |held: &Held| now.duration_since(held.extended_at) >= TTL;
        while inner.held.peek_lru().is_some_and(|(_, held)| is_old(held)) {
            inner.remove_oldest();
        }
    }

    /// Bytes of all beginnings.
    pub fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }
}
