//! Attempts whose events this entry holds, by id.

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

/// Locks that the table is spread over, so that reads of different attempts seldom meet.
const LOCKS: usize = 64;

/// How long an ended attempt can still be read: a reader whose connection went silent notices it
/// and is back well within this time.
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
    /// Callers that read the turn and have not said that they went away.
    count: AtomicU32,
    /// Cancelled when the last of them went away.
    abandoned: CancellationToken,
    /// Cancelled when the turn's program was ended.
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

    /// Whether reading `attempt` brings an answer, now or later: it is known, and the attempt under
    /// which its turn goes on has not ended with an error.
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

    /// Adds the attempt `new` under which the turn of `old` goes on, with the same readers.
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

    /// One more caller reads `attempt`.
    pub fn attach(&self, attempt: id::AttemptId) {
        if let Some(readers) = self.readers(attempt) {
            readers.count.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// A caller that read `attempt` went away. When it was the last, whoever runs the attempt
    /// learns it through [`Table::abandoned_token`].
    pub fn detach(&self, attempt: id::AttemptId) {
        let Some(readers) = self.readers(attempt) else {
            return;
        };
        let before = readers.count.fetch_sub(1, Ordering::AcqRel);
        if before == 1 {
            readers.abandoned.cancel();
        }
    }

    /// Tells whoever runs `attempt` to stop, whoever reads it.
    pub fn stop(&self, attempt: id::AttemptId) {
        if let Some(readers) = self.readers(attempt) {
            readers.stopped.cancel();
        }
    }

    /// A token that is cancelled by [`Table::stop`].
    pub fn stop_token(&self, attempt: id::AttemptId) -> CancellationToken {
        let readers = self.readers(attempt).unwrap_or_default();
        readers.stopped.clone()
    }

    /// A token that is cancelled once nobody reads `attempt` any more.
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

    /// Forgets attempts that ended long enough ago. To be called every second or so.
    pub fn sweep(&self, now: Instant) {
        for shard in &self.shards {
            shard.lock().retain(|_, slot| is_kept(slot, now));
        }
    }

    /// How many attempts have not ended.
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
