//! The attempts that the side knows, under way and finished.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fw_base::chat;
use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use fw_wire::buffer;
use fw_wire::side;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::histories;

/// Memory of one event besides its text, in bytes.
const EVENT_OVERHEAD: usize = 32;

/// Bounds of the answers that are kept.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Longest time that an answer is kept.
    pub max_age: Duration,
    /// Most answers.
    pub max_count: usize,
    /// Most bytes of their events and of the messages that their turns added.
    pub max_bytes: usize,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    /// What was asked; its messages were moved into `prompt`.
    pub start: side::Start,
    prompt: Mutex<histories::Prompt>,
    /// The messages that the turn adds to the history; kept to its end and beyond, with the answer.
    pub added: Vec<chat::Message>,
    /// When it arrived.
    pub arrived_at: Instant,
    /// The events and the end.
    pub buffer: buffer::Buffer,
    /// Stops the run. The end is in `buffer` before this is cancelled.
    pub stop: CancellationToken,
    ended_at: Mutex<Option<Instant>>,
    bytes: AtomicUsize,
    is_complete: AtomicBool,
    end_read: AtomicBool,
}

impl Attempt {
    /// An attempt that waits.
    pub fn new(start: side::Start, prompt: histories::Prompt, arrived_at: Instant) -> Self {
        let messages = prompt.messages();
        let before = messages.len().saturating_sub(start.added as usize);
        let added = messages[before..].to_vec();
        let bytes = added.iter().map(|message| message.as_str().len()).sum();
        Self {
            added,
            start,
            prompt: Mutex::new(prompt),
            arrived_at,
            buffer: buffer::Buffer::new(),
            stop: CancellationToken::new(),
            ended_at: Mutex::default(),
            bytes: AtomicUsize::new(bytes),
            is_complete: AtomicBool::new(false),
            end_read: AtomicBool::new(false),
        }
    }

    /// Takes out the whole prompt, for the run; it is empty from then on.
    pub fn take_prompt(&self) -> histories::Prompt {
        std::mem::take(&mut *self.prompt.lock())
    }

    /// Appends an event.
    pub fn push(&self, event: attempt::Event) {
        let bytes = event.len() + EVENT_OVERHEAD;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.buffer.push([event]);
    }

    /// When the caller's deadline passes.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.start.deadline
    }

    /// Ends the attempt; the first end stands.
    pub fn end(&self, state: attempt::State) {
        let is_complete = matches!(state, attempt::State::Done(_));
        let mut ended_at = self.ended_at.lock();
        if ended_at.is_none() {
            self.is_complete.store(is_complete, Ordering::Release);
            self.buffer.end(state);
            *ended_at = Some(Instant::now());
        }
        drop(ended_at);
        // An answer is kept for long, and its prompt would keep a history from being evicted.
        drop(self.take_prompt());
    }

    /// Ends the attempt with an error and stops its run.
    pub fn abort(&self, err: error::Error) {
        self.end(attempt::State::Failed(err));
        self.stop.cancel();
    }

    /// Whether it has ended.
    pub fn is_ended(&self) -> bool {
        self.ended_at.lock().is_some()
    }

    /// The whole answer, if it has ended with one.
    pub fn finish(&self) -> Option<attempt::Finish> {
        match self.buffer.state() {
            attempt::State::Done(finish) => Some(*finish),
            _ => None,
        }
    }

    /// Reads events by offset.
    pub async fn read(&self, req: &attempt::Read) -> attempt::ReadReply {
        let reply = self.buffer.gather(req).await;
        if reply.state.is_final() {
            self.end_read.store(true, Ordering::Release);
        }
        reply
    }

    /// Whether its end still has to reach a reader.
    fn has_unread_end(&self) -> bool {
        !self.end_read.load(Ordering::Acquire)
    }
}

/// What became of an offered attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insert {
    /// It is new.
    New,
    /// It was known already.
    Duplicate,
}

/// Attempts by id. One lock: an engine takes a few calls a second, and no lock is held while a
/// message is read or written.
#[derive(Debug, Default)]
pub struct Attempts {
    inner: Mutex<HashMap<id::AttemptId, Arc<Attempt>>>,
}

impl Attempts {
    /// The attempt with this id.
    pub fn get(&self, id: id::AttemptId) -> Option<Arc<Attempt>> {
        self.inner.lock().get(&id).cloned()
    }

    /// Adds an attempt if it is not known and `accept` allows it. Both happen under one lock, so
    /// that a call sent twice is queued once.
    ///
    /// # Errors
    ///
    /// The error of `accept`.
    pub fn insert(
        &self,
        attempt: Arc<Attempt>,
        accept: impl FnOnce() -> Result<(), error::Error>,
    ) -> Result<Insert, error::Error> {
        let mut inner = self.inner.lock();
        let id = attempt.start.attempt;
        if inner.contains_key(&id) {
            return Ok(Insert::Duplicate);
        }
        accept()?;
        inner.insert(id, attempt);
        Ok(Insert::New)
    }

    /// Forgets a finished attempt; one under way stays.
    pub fn forget(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        if inner.get(&id).is_some_and(|attempt| attempt.is_ended()) {
            inner.remove(&id);
        }
    }

    /// Every attempt that has not ended.
    pub fn unfinished(&self) -> Vec<Arc<Attempt>> {
        let inner = self.inner.lock();
        let open = inner.values().filter(|attempt| !attempt.is_ended());
        open.cloned().collect()
    }

    /// Every attempt that has ended whole and was not forgotten.
    pub fn completed(&self) -> Vec<Arc<Attempt>> {
        let inner = self.inner.lock();
        // Each heartbeat asks; comparing states would copy every answer.
        let is_complete = |attempt: &&Arc<Attempt>| attempt.is_complete.load(Ordering::Acquire);
        let done = inner.values().filter(is_complete);
        done.cloned().collect()
    }

    /// Attempts of `program` that have not ended.
    pub fn unfinished_of(&self, program: &id::ProgramId) -> Vec<Arc<Attempt>> {
        let mut open = self.unfinished();
        open.retain(|attempt| attempt.start.program == *program);
        open
    }

    /// Attempts that are under way, or whose end no reader has seen.
    pub fn unread_count(&self) -> usize {
        let inner = self.inner.lock();
        inner
            .values()
            .filter(|attempt| attempt.has_unread_end())
            .count()
    }

    /// Drops answers that are too old, and the oldest of those that are too many or too large;
    /// returns how many.
    pub fn sweep(&self, retention: Retention, now: Instant) -> usize {
        let mut inner = self.inner.lock();
        let mut ends = Vec::new();
        for (id, attempt) in inner.iter() {
            if let Some(at) = *attempt.ended_at.lock() {
                ends.push((at, *id, attempt.bytes.load(Ordering::Relaxed)));
            }
        }
        ends.sort_unstable();
        let mut count = ends.len();
        let mut bytes: usize = ends.iter().map(|(_, _, bytes)| bytes).sum();
        let before = count;
        for (at, id, size) in ends {
            let is_old = now.saturating_duration_since(at) > retention.max_age;
            if !is_old && count <= retention.max_count && bytes <= retention.max_bytes {
                break;
            }
            inner.remove(&id);
            count -= 1;
            bytes -= size;
        }
        before - count
    }
}
