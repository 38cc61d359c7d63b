//! Table of the attempts whose events this entry buffers, by id.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_wire::attempt;
use fw_wire::buffer;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Number of locks of the table, so that reads of different attempts seldom contend.
const LOCKS: usize = 64;

/// How long an ended attempt can still be read. A reader whose connection stopped responding detects
/// this and reconnects well within this time.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// The table of attempts.
#[derive(Debug)]
pub struct Table {
    shards: Vec<Mutex<HashMap<id::AttemptId, Slot>>>,
}

#[derive(Debug)]
struct Slot {
    buf: Arc<buffer::Buffer>,
    readers: Arc<Readers>,
    ended: Option<Instant>,
}

/// The readers of one turn, over all its attempts.
#[derive(Debug, Default)]
struct Readers {
    /// Callers that read the turn and have not detached.
    count: AtomicU32,
    /// Cancelled when the last of them detaches.
    abandoned: CancellationToken,
    /// Cancelled when the turn's program is ended.
    stopped: CancellationToken,
}

impl Table {
    /// A table without attempts.
    pub fn new() -> Self {
        let shards = (0..LOCKS).map(|_| Mutex::default()).collect();
        Self { shards }
    }

    /// Adds an attempt and returns its buffer.
    pub fn open(&self, attempt: id::AttemptId) -> Arc<buffer::Buffer> {
        let buf = Arc::new(buffer::Buffer::new());
        let slot = Slot {
            buf: Arc::clone(&buf),
            readers: Arc::default(),
            ended: None,
        };
        self.lock(attempt).insert(attempt, slot);
        buf
    }

    /// The buffer of an attempt.
    pub fn get(&self, attempt: id::AttemptId) -> Option<Arc<buffer::Buffer>> {
        let shard = self.lock(attempt);
        shard.get(&attempt).map(|slot| Arc::clone(&slot.buf))
    }

    /// Whether reading `attempt` yields an answer, now or later: the table contains it, and the attempt
    /// that continues its turn has not ended with an error.
    pub fn has_answer(&self, mut attempt: id::AttemptId) -> bool {
        while let Some(buf) = self.get(attempt) {
            match buf.state() {
                attempt::State::Moved(next) => attempt = next,
                attempt::State::Failed(_) | attempt::State::Unknown => return false,
                attempt::State::Queued | attempt::State::Running | attempt::State::Done(_) => {
                    return true;
                }
            }
        }
        false
    }

    /// Adds the attempt `new` that continues the turn of `old`, with the same readers.
    pub fn continue_as(&self, old: id::AttemptId, new: id::AttemptId) -> Arc<buffer::Buffer> {
        let readers = self.readers(old).unwrap_or_default();
        let buf = self.open(new);
        if let Some(slot) = self.lock(new).get_mut(&new) {
            slot.readers = readers;
        }
        if let Some(before) = self.get(old) {
            before.end(attempt::State::Moved(new));
        }
        buf
    }

    /// Adds a reader of `attempt`.
    pub fn attach(&self, attempt: id::AttemptId) {
        if let Some(readers) = self.readers(attempt) {
            readers.count.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Removes a reader of `attempt`. When it was the last, [`Table::abandoned_token`] is cancelled.
    pub fn detach(&self, attempt: id::AttemptId) {
        let Some(readers) = self.readers(attempt) else {
            return;
        };
        let before = readers.count.fetch_sub(1, Ordering::AcqRel);
        if before == 1 {
            readers.abandoned.cancel();
        }
    }

    /// Stops the task that runs `attempt`, even if it has readers.
    pub fn stop(&self, attempt: id::AttemptId) {
        if let Some(readers) = self.readers(attempt) {
            readers.stopped.cancel();
        }
    }

    /// Token that is cancelled by [`Table::stop`].
    pub fn stop_token(&self, attempt: id::AttemptId) -> CancellationToken {
        let readers = self.readers(attempt).unwrap_or_default();
        readers.stopped.clone()
    }

    /// Token that is cancelled once `attempt` has no reader left.
    pub fn abandoned_token(&self, attempt: id::AttemptId) -> CancellationToken {
        let readers = self.readers(attempt).unwrap_or_default();
        readers.abandoned.clone()
    }

    fn readers(&self, attempt: id::AttemptId) -> Option<Arc<Readers>> {
        let shard = self.lock(attempt);
        shard.get(&attempt).map(|slot| Arc::clone(&slot.readers))
    }

    /// Reads an attempt's events, as [`buffer::Buffer::read`].
    pub async fn read(&self, req: attempt::Read) -> attempt::ReadReply {
        match self.get(req.attempt) {
            Some(buf) => buf.gather(&req).await,
            None => attempt::ReadReply {
                events: Vec::new(),
                state: attempt::State::Unknown,
            },
        }
    }

    /// Removes attempts whose retention has expired. To be called about once a second.
    pub fn sweep(&self, now: Instant) {
        for shard in &self.shards {
            shard.lock().retain(|_, slot| is_kept(slot, now));
        }
    }

    /// Number of attempts that have not ended.
    pub fn running_count(&self) -> usize {
        let open = |shard: &Mutex<HashMap<_, Slot>>| {
            let shard = shard.lock();
            shard
                .values()
                .filter(|slot| !slot.buf.state().is_final())
                .count()
        };
        self.shards.iter().map(open).sum()
    }

    fn lock(
        &self,
        attempt: id::AttemptId,
    ) -> parking_lot::MutexGuard<'_, HashMap<id::AttemptId, Slot>> {
        // Attempt ids are drawn at random, so their low bits spread evenly.
        let index = usize::try_from(attempt % LOCKS as u64).unwrap_or(0);
        self.shards[index].lock()
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

fn is_kept(slot: &mut Slot, now: Instant) -> bool {
    if !slot.buf.state().is_final() {
        return true;
    }
    let ended = *slot.ended.get_or_insert(now);
    now.duration_since(ended) < ENDED_RETENTION
}
