//! Table of the attempts accepted by the side, both in progress and finished.

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

/// Memory overhead of one event in addition to its text, in bytes.
const EVENT_OVERHEAD: usize = 32;

/// Limits on the retained answers.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Maximum age of an answer.
    pub max_age: Duration,
    /// Maximum number of answers.
    pub max_count: usize,
    /// Maximum size in bytes of their events and of the messages that their turns added.
    pub max_bytes: usize,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    /// The request; its messages have been moved into `prompt`.
    pub start: side::Start,
    prompt: Mutex<histories::Prompt>,
    /// The messages that the turn adds to the history; retained with the answer after the turn has
    /// ended.
    pub added: Vec<chat::Message>,
    /// Arrival time of the request.
    pub arrived_at: Instant,
    /// The events and the final state.
    pub buffer: buffer::Buffer,
    /// Stops the run. The final state is written to `buffer` before this token is cancelled.
    pub stop: CancellationToken,
    ended_at: Mutex<Option<Instant>>,
    bytes: AtomicUsize,
    is_complete: AtomicBool,
    end_read: AtomicBool,
}

impl Attempt {
    /// Creates an attempt that is not running yet.
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

    /// Takes the prompt for the run, leaving an empty one.
    pub fn take_prompt(&self) -> histories::Prompt {
        std::mem::take(&mut *self.prompt.lock())
    }

    /// Appends an event.
    pub fn push(&self, event: attempt::Event) {
        let bytes = event.len() + EVENT_OVERHEAD;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.buffer.push([event]);
    }

    /// The caller's deadline.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.start.deadline
    }

    /// Ends the attempt with `state`. Later calls have no effect.
    pub fn end(&self, state: attempt::State) {
        let is_complete = matches!(state, attempt::State::Done(_));
        let mut ended_at = self.ended_at.lock();
        if ended_at.is_none() {
            self.is_complete.store(is_complete, Ordering::Release);
            self.buffer.end(state);
            *ended_at = Some(Instant::now());
        }
        drop(ended_at);
        // Answers are retained for a long time; a retained prompt would keep the memory of its
        // history in use after the history was evicted.
        drop(self.take_prompt());
    }

    /// Ends the attempt with an error and stops its run.
    pub fn abort(&self, err: error::Error) {
        self.end(attempt::State::Failed(err));
        self.stop.cancel();
    }

    /// Whether the attempt has ended.
    pub fn is_ended(&self) -> bool {
        self.ended_at.lock().is_some()
    }

    /// The complete answer, if the attempt succeeded.
    pub fn finish(&self) -> Option<attempt::Finish> {
        match self.buffer.state() {
            attempt::State::Done(finish) => Some(*finish),
            _ => None,
        }
    }

    /// Reads events from an offset.
    pub async fn read(&self, req: &attempt::Read) -> attempt::ReadReply {
        let reply = self.buffer.gather(req).await;
        if reply.state.is_final() {
            self.end_read.store(true, Ordering::Release);
        }
        reply
    }

    /// Whether no reader has received the final state yet.
    fn has_unread_end(&self) -> bool {
        !self.end_read.load(Ordering::Acquire)
    }
}

/// Result of [`Attempts::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insert {
    /// The attempt was added.
    New,
    /// An attempt with this id already exists.
    Duplicate,
}

/// Attempts by id. A single lock suffices: an engine receives a few calls per second, and the lock
/// is never held during I/O.
#[derive(Debug, Default)]
pub struct Attempts {
    inner: Mutex<HashMap<id::AttemptId, Arc<Attempt>>>,
}

impl Attempts {
    /// Returns the attempt with this id.
    pub fn get(&self, id: id::AttemptId) -> Option<Arc<Attempt>> {
        self.inner.lock().get(&id).cloned()
    }

    /// Adds an attempt if its id is new and `accept` succeeds. Both steps happen under one lock, so
    /// that a duplicate request is queued only once.
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

    /// Removes a finished attempt; an attempt in progress stays.
    pub fn forget(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        if inner.get(&id).is_some_and(|attempt| attempt.is_ended()) {
            inner.remove(&id);
        }
    }

    /// All attempts that have not ended.
    pub fn unfinished(&self) -> Vec<Arc<Attempt>> {
        let inner = self.inner.lock();
        let open = inner.values().filter(|attempt| !attempt.is_ended());
        open.cloned().collect()
    }

    /// All attempts that succeeded and have not been removed.
    pub fn completed(&self) -> Vec<Arc<Attempt>> {
        let inner = self.inner.lock();
        // Called for each heartbeat; reading the state from the buffer would copy every answer.
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

    /// Number of attempts whose final state no reader has received, including those in progress.
    pub fn unread_count(&self) -> usize {
        let inner = self.inner.lock();
        inner
            .values()
            .filter(|attempt| attempt.has_unread_end())
            .count()
    }

    /// Drops answers beyond the maximum age, then the oldest ones until count and size are within
    /// their limits. Returns the number of dropped answers.
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
