//! The bytes that this entry holds for callers, within the budget of [`fw_plan::held_bytes`].

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fw_plan::held_bytes;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval at which an answer that waits for room checks whether a reader has become slow.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The end of a caller's connection, attached to each request that comes over it: when it is cancelled, the
/// connection is closed, whatever is still to be written to it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd(pub CancellationToken);

/// The limits for a bound of `max_bytes`, or for an instance with this much memory.
pub fn options(max_bytes: Option<usize>, memory: Option<u64>) -> held_bytes::Options {
    let defaults = held_bytes::Options::default();
    match (max_bytes, memory) {
        (Some(max_bytes), _) => held_bytes::Options {
            max_bytes,
            ..defaults
        },
        (None, Some(memory)) => held_bytes::Options::for_memory(memory),
        (None, None) => defaults,
    }
}

/// An answer for which bytes are held.
#[derive(Debug)]
struct Reader {
    request: SmolStr,
    held: usize,
    last_read: Instant,
    /// Whether its bytes are offered to the caller; not while a whole answer is collected.
    is_offered: bool,
    connection: ConnectionEnd,
    is_ended: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    readers: HashMap<u64, Reader>,
    next: u64,
}

/// The bytes held for all callers.
#[derive(Debug)]
pub struct HeldBytes {
    opts: held_bytes::Options,
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
}

impl HeldBytes {
    /// Creates the state in which nothing is held.
    pub fn new(opts: held_bytes::Options) -> Arc<Self> {
        Arc::new(Self {
            opts,
            state: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Bytes held at present.
    pub fn held(&self) -> usize {
        self.state.lock().held
    }

    /// Opens the account of the answer to `request`, whose caller reads from `connection`.
    pub fn open(self: &Arc<Self>, request: SmolStr, connection: ConnectionEnd) -> Arc<Account> {
        let is_ended = Arc::<AtomicBool>::default();
        let mut state = self.state.lock();
        state.next += 1;
        let number = state.next;
        let reader = Reader {
            request,
            held: 0,
            last_read: Instant::now(),
            is_offered: true,
            connection,
            is_ended: Arc::clone(&is_ended),
        };
        state.readers.insert(number, reader);
        Arc::new(Account {
            budget: Arc::clone(self),
            number,
            is_ended,
        })
    }

    /// Holds `bytes` more for reader `number` if there is room, or ends the slowest reader; returns whether they
    /// are held.
    fn try_hold(&self, number: u64, bytes: usize) -> bool {
        let mut state = self.state.lock();
        if !self.opts.has_room(state.held, bytes) {
            self.end_slowest(&mut state, bytes);
            return false;
        }
        state.held += bytes;
        if let Some(reader) = state.readers.get_mut(&number) {
            if reader.held == 0 {
                reader.last_read = Instant::now();
            }
            reader.held += bytes;
        }
        true
    }

    fn end_slowest(&self, state: &mut State, wanted: usize) {
        let numbers: Vec<_> = state.readers.keys().copied().collect();
        let view = |number: &u64| {
            let reader = &state.readers[number];
            // One that is ended already releases its bytes with its connection.
            let counts = reader.is_offered && !reader.is_ended.load(Ordering::Relaxed);
            held_bytes::Reader {
                held: if counts { reader.held } else { 0 },
                idle: reader.last_read.elapsed(),
            }
        };
        let readers: Vec<_> = numbers.iter().map(view).collect();
        let Some(at) = self.opts.slowest(&readers) else {
            return;
        };
        let reader = &state.readers[&numbers[at]];
        metrics::counter!("fw_gate_slow_readers_ended_total").increment(1);
        tracing::warn!(
            request = %reader.request,
            held = reader.held,
            idle_ms = reader.last_read.elapsed().as_millis() as u64,
            total = state.held,
            max = self.opts.max_bytes,
            wanted,
            "answer ended: its caller is the slowest reader, and no bytes are left to hold for callers"
        );
        reader.is_ended.store(true, Ordering::Relaxed);
        reader.connection.0.cancel();
    }

    fn release(&self, number: u64, bytes: usize) {
        let mut state = self.state.lock();
        state.held = state.held.saturating_sub(bytes);
        if let Some(reader) = state.readers.get_mut(&number) {
            reader.held = reader.held.saturating_sub(bytes);
            // A caller that reads a little now and then never takes all, and holds its part of the budget.
            if reader.held == 0 {
                reader.last_read = Instant::now();
            }
        }
        drop(state);
        self.released.notify_waiters();
    }
}

/// The bytes held for one answer; all are released when this is dropped.
#[derive(Debug)]
pub struct Account {
    budget: Arc<HeldBytes>,
    number: u64,
    is_ended: Arc<AtomicBool>,
}

impl Account {
    /// Waits until `bytes` more may be held, and holds them.
    pub async fn hold(&self, bytes: usize) {
        loop {
            let mut released = std::pin::pin!(self.budget.released.notified());
            // A release between the attempt and the wait counts too.
            released.as_mut().enable();
            if self.budget.try_hold(self.number, bytes) {
                return;
            }
            // After a time-out, a reader may have become slow.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, released).await;
        }
    }

    /// Releases `bytes` that the caller's connection has taken.
    pub fn release(&self, bytes: usize) {
        self.budget.release(self.number, bytes);
    }

    /// Records that the answer is being collected, so that its bytes are not offered to the caller yet.
    pub fn collecting(&self) {
        self.set_offered(false);
    }

    /// Records that the answer was collected: its `bytes` are offered to the caller from now on.
    pub fn offered(&self, bytes: usize) {
        self.set_offered(true);
        let mut state = self.budget.state.lock();
        let Some(reader) = state.readers.get_mut(&self.number) else {
            return;
        };
        reader.last_read = Instant::now();
        let before = std::mem::replace(&mut reader.held, bytes);
        state.held = (state.held + bytes).saturating_sub(before);
    }

    /// Records that the answer was not collected, so that nothing of it is held.
    pub fn discard(&self) {
        self.offered(0);
        self.budget.released.notify_waiters();
    }

    fn set_offered(&self, offered: bool) {
        if let Some(reader) = self.budget.state.lock().readers.get_mut(&self.number) {
            reader.is_offered = offered;
        }
    }

    /// Whether the answer was ended for its slow reader.
    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        if let Some(reader) = state.readers.remove(&self.number) {
            state.held = state.held.saturating_sub(reader.held);
        }
        drop(state);
        self.budget.released.notify_waiters();
    }
}

/// A whole answer, and what is kept until it is written to the caller's connection.
struct Whole<T> {
    bytes: Bytes,
    _kept: T,
}

impl<T> AsRef<[u8]> for Whole<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `bytes`, with `kept` until they are written.
pub fn until_written<T: Send + 'static>(bytes: Bytes, kept: T) -> Bytes {
    Bytes::from_owner(Whole { bytes, _kept: kept })
}
