//! Watches of a key prefix that reconnect after failures.

use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::future::BoxFuture;
use futures_util::stream;
use fw_base::id;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::client;
use crate::codec;
use crate::error::Error;
use crate::error::Result;
use crate::kv;

/// Maximum length of a line in the response to a watch, in bytes; longer ones end the connection.
const MAX_LINE: usize = 64 << 20;

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The key was written.
    Put,
    /// The key was deleted, or its lease lapsed.
    Delete,
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The kind of change.
    pub kind: EventKind,
    /// The key after the change; for a deletion only `key` and `mod_revision` are set.
    pub kv: kv::Kv,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Every change of the prefix up to this revision has been delivered.
    pub revision: id::Revision,
    /// The changes, oldest first; empty for a progress notification.
    pub events: Vec<Event>,
}

/// A watch of a key prefix. The first [`Watch::next`] opens its connection. When the connection fails
/// or stops delivering data, it is reopened from the last revision seen.
pub struct Watch {
    client: client::Client,
    prefix: String,
    /// First revision not yet delivered; 0 until the first message if the watch starts from now.
    next_revision: id::Revision,
    /// Time of the last message with changes or progress.
    last_update_at: Instant,
    state: State,
}

/// State of a watch's connection. Stored outside of the future of [`Watch::next`], so that a caller that
/// drops the future repeatedly, as `select!` does, still connects and still detects a dead connection.
enum State {
    Closed { retry_at: Option<Instant> },
    Opening(BoxFuture<'static, Result<Connection>>),
    Open(Connection),
}

struct Connection {
    body: Incoming,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that contain no end of line.
    scanned: usize,
    last_received_at: Instant,
}

impl Watch {
    pub(crate) fn new(client: client::Client, prefix: String, from: id::Revision) -> Self {
        Self {
            client,
            prefix,
            next_revision: from,
            last_update_at: Instant::now(),
            state: State::Closed { retry_at: None },
        }
    }

    /// Waits for the next changes or progress notification.
    ///
    /// Cancel-safe: dropping the future loses no changes.
    ///
    /// # Errors
    ///
    /// After [`Error::Compacted`] the watch cannot continue: read the prefix and start a new one.
    /// Any other error only means that the store is unavailable: the next call continues from the last
    /// revision seen, after [`client::Options::watch_backoff`].
    pub async fn next(&mut self) -> Result<Batch> {
        let result = self.advance().await;
        if result.is_err() {
            let backoff = self.client.options().watch_backoff;
            let retry_at = Some(Instant::now() + backoff);
            self.state = State::Closed { retry_at };
        }
        result
    }

    /// Time since the last message with changes or progress. The watched keys may have changed since.
    ///
    /// A watch that cannot be opened retries indefinitely, and its backlog grows with each attempt. The
    /// caller should read the prefix again once this age is too great for its use.
    pub fn age(&self) -> Duration {
        self.last_update_at.elapsed()
    }

    /// The watch as a stream that ends after [`Error::Compacted`].
    pub fn into_stream(self) -> impl Stream<Item = Result<Batch>> + Send {
        stream::unfold(Some(self), |watch| async {
            let mut watch = watch?;
            let item = watch.next().await;
            let is_over = matches!(item, Err(Error::Compacted { .. }));
            Some((item, (!is_over).then_some(watch)))
        })
    }

    async fn advance(&mut self) -> Result<Batch> {
        loop {
            let idle_timeout = self.client.options().watch_idle_timeout;
            match &mut self.state {
                State::Closed { retry_at } => {
                    if let Some(at) = *retry_at {
                        tokio::time::sleep_until(at).await;
                    }
                    self.state = State::Opening(self.open());
                }
                State::Opening(opening) => self.state = State::Open(opening.await?),
                State::Open(connection) => {
                    let message = connection.next_message(idle_timeout).await;
                    if message.is_err() {
                        self.client.renew_connections();
                    }
                    if let Some(batch) = self.handle_message(message?)? {
                        return Ok(batch);
                    }
                }
            }
        }
    }

    fn open(&self) -> BoxFuture<'static, Result<Connection>> {
        let client = self.client.clone();
        let req = codec::watch(&self.prefix, self.next_revision);
        async move {
            let answer = client.open(client::WATCH, &req).await?;
            Ok(Connection {
                body: answer.into_body(),
                buf: BytesMut::new(),
                scanned: 0,
                last_received_at: Instant::now(),
            })
        }
        .boxed()
    }

    /// Converts a message into a batch; `None` for the confirmation of a new watch.
    fn handle_message(&mut self, message: codec::RawWatch) -> Result<Option<Batch>> {
        let compacted = message.compact_revision.0;
        if compacted > 0 {
            let revision = compacted;
            return Err(Error::Compacted { revision });
        }
        if message.canceled {
            return watch_ended(&message.cancel_reason);
        }
        let revision = message.header.revision()?;
        if message.created && message.events.is_empty() {
            // Unless the watch starts from now, changes up to this revision may still follow.
            if self.next_revision == 0 {
                self.next_revision = revision + 1;
            }
            return Ok(None);
        }
        let events = message.events.into_iter().map(decode_event);
        let events = events.collect::<Result<Vec<_>>>()?;
        let newest = events.iter().map(|event| event.kv.mod_revision).max();
        // A message with changes covers the revisions up to the newest of them; one without, all
        // revisions up to its own.
        let revision = newest.unwrap_or(revision);
        let before = self.next_revision;
        self.next_revision = before.max(revision + 1);
        let is_new = |event: &Event| event.kv.mod_revision >= before;
        let events = events.into_iter().filter(is_new).collect();
        self.last_update_at = Instant::now();
        Ok(Some(Batch { revision, events }))
    }
}

impl Connection {
    /// The next message, or an error if the connection ended or delivered no data for `idle_timeout`.
    ///
    /// A connection whose state a middlebox has dropped stays open and delivers nothing, so changes would
    /// never be seen. The store sends progress notifications even when nothing changes, so a connection
    /// without data is dead.
    async fn next_message(&mut self, idle_timeout: Duration) -> Result<codec::RawWatch> {
        let deadline = self.last_received_at + idle_timeout;
        match tokio::time::timeout_at(deadline, self.next_line()).await {
            Ok(line) => line,
            Err(_) => watch_ended("no data arrived on its connection within the idle timeout"),
        }
    }

    async fn next_line(&mut self) -> Result<codec::RawWatch> {
        loop {
            if let Some(line) = self.take_line() {
                return decode_line(&line);
            }
            if self.buf.len() > MAX_LINE {
                return watch_ended("a line of the response is longer than 64 MiB");
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.push(frame),
                Some(Err(err)) => return watch_ended(&err.to_string()),
                None => return watch_ended("closed by the store"),
            }
        }
    }

    fn push(&mut self, frame: Frame<Bytes>) {
        self.last_received_at = Instant::now();
        if let Ok(data) = frame.into_data() {
            self.buf.extend_from_slice(&data);
        }
    }

    /// Removes the next non-blank line from the buffer.
    fn take_line(&mut self) -> Option<BytesMut> {
        loop {
            let rest = &self.buf[self.scanned..];
            let Some(offset) = rest.iter().position(|b| *b == b'\n') else {
                self.scanned = self.buf.len();
                return None;
            };
            let line = self.buf.split_to(self.scanned + offset);
            self.buf.advance(1);
            self.scanned = 0;
            if !line.iter().all(u8::is_ascii_whitespace) {
                return Some(line);
            }
        }
    }
}

fn decode_line(line: &[u8]) -> Result<codec::RawWatch> {
    let line: codec::Line<codec::RawWatch> = codec::parse(line)?;
    match line.result {
        Some(result) => Ok(result),
        None => watch_ended(&line.error.unwrap_or_default().message),
    }
}

fn decode_event(raw: codec::RawEvent) -> Result<Event> {
    let kind = match raw.kind.as_str() {
        "DELETE" => EventKind::Delete,
        _ => EventKind::Put,
    };
    let kv = raw.kv.decode()?;
    Ok(Event { kind, kv })
}

fn watch_ended<T>(reason: &str) -> Result<T> {
    let reason = reason.to_owned();
    Err(Error::WatchEnded { reason })
}
