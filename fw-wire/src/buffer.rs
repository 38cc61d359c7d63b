//! Append-only buffer of an attempt's events, with any number of readers.
//!
//! Readers read by offset, so a reader whose connection is dead loses no events when it resumes over a
//! new one, and readers of the same attempt do not consume each other's events.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fw_base::error;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::attempt;

/// The events and state of one attempt.
#[derive(Debug)]
pub struct Buffer {
    inner: Mutex<Inner>,
    version: watch::Sender<u64>,
    delivered: AtomicU32,
}

#[derive(Debug)]
struct Inner {
    events: Vec<attempt::Event>,
    state: attempt::State,
}

impl Buffer {
    /// A buffer without events, of a queued attempt.
    pub fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                events: Vec::new(),
                state: attempt::State::Queued,
            }),
            version: watch::Sender::new(0),
            delivered: AtomicU32::new(0),
        }
    }

    /// Appends events and marks the attempt as running. Has no effect after the attempt has ended.
    pub fn push(&self, events: impl IntoIterator<Item = attempt::Event>) {
        self.update(|inner| {
            inner.events.extend(events);
            inner.state = attempt::State::Running;
        });
    }

    /// Marks the attempt as released into the engine.
    pub fn mark_running(&self) {
        self.update(|inner| inner.state = attempt::State::Running);
    }

    /// Completes the attempt.
    pub fn finish(&self, finish: attempt::Finish) {
        self.end(attempt::State::Done(Box::new(finish)));
    }

    /// Ends the attempt with an error.
    pub fn fail(&self, err: error::Error) {
        self.end(attempt::State::Failed(err));
    }

    /// Ends the attempt with `state`. Only the first call has an effect.
    pub fn end(&self, state: attempt::State) {
        self.update(|inner| inner.state = state);
    }

    /// State of the attempt.
    pub fn state(&self) -> attempt::State {
        self.inner.lock().state.clone()
    }

    /// Number of events.
    pub fn len(&self) -> usize {
        self.inner.lock().events.len()
    }

    /// Whether there is no event yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of events that at least one reader has received.
    pub fn delivered(&self) -> u32 {
        self.delivered.load(Ordering::Acquire)
    }

    /// The events from `offset` on. Waits up to `wait` if there is none and the attempt has not ended.
    ///
    /// With an offset beyond the last event, this waits for the end of the attempt.
    pub async fn read(&self, offset: u32, wait: Duration) -> attempt::ReadReply {
        let mut version = self.version.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            version.mark_unchanged();
            let reply = self.current_reply(offset);
            if reply.state.is_final() || !reply.events.is_empty() {
                return reply;
            }
            let changed = tokio::time::timeout_at(deadline, version.changed()).await;
            if changed.is_err() {
                return self.current_reply(offset);
            }
        }
    }

    /// Like [`Buffer::read`], but after the first event waits up to `gather` for further ones, unless the
    /// attempt ends before.
    pub async fn gather(&self, req: &attempt::Read) -> attempt::ReadReply {
        let reply = self.read(req.offset, req.wait).await;
        if reply.events.is_empty() || reply.state.is_final() || req.gather.is_zero() {
            return reply;
        }
        // An offset beyond the last event waits for the end of the attempt.
        self.read(u32::MAX, req.gather).await;
        self.current_reply(req.offset)
    }

    fn current_reply(&self, offset: u32) -> attempt::ReadReply {
        let inner = self.inner.lock();
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let events = inner.events.get(from..).unwrap_or_default().to_vec();
        if !events.is_empty() {
            let end = u32::try_from(inner.events.len()).unwrap_or(u32::MAX);
            self.delivered.fetch_max(end, Ordering::AcqRel);
        }
        attempt::ReadReply {
            events,
            state: inner.state.clone(),
        }
    }

    fn update(&self, apply: impl FnOnce(&mut Inner)) {
        let mut inner = self.inner.lock();
        if inner.state.is_final() {
            return;
        }
        apply(&mut inner);
        drop(inner);
        self.version.send_modify(|version| *version += 1);
    }
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new()
    }
}
