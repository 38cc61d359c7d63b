//! Whether an entry takes on a request, by the bytes that it holds for those that it has.
//!
//! *Load pattern:* more requests come to an entry than it can work off, for example because it has a small part
//! of a core, or because a neighbour has ended and its callers come over.
//!
//! *Without it:* the entry takes on each request and holds it until its turn comes. What it holds grows until the
//! system ends the process, with all calls under way and the answers that it holds, and its callers come to the
//! next entry.
//!
//! *Rule:* a request is taken on only while all that the entry holds for requests stays within a budget. One that
//! begins a program is refused from a part of the budget on, one of a program under way only when the budget is
//! used up.
//!
//! *Grounds:* a program that is refused at once can begin elsewhere, and one that is lost midway has cost its
//! caller all of its turns. The budget is a quarter of the instance's memory: connections and the code take
//! about half, and freed memory that the allocator keeps has to fit as well.

use std::time::Duration;

/// Bytes of a request under way beside its body: its task, its headers, and their copies for the upstream.
pub const REQUEST_BYTES: usize = 16 << 10;
/// Bytes of a call to a replica under way beside its records: its task.
pub const CALL_BYTES: usize = 10 << 10;
/// Bytes of an open connection: its task and its buffers.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Limits of what an entry holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Bytes held for all requests together.
    pub max_bytes: usize,
    /// Part of `max_bytes` up to which requests that begin programs are taken on.
    pub begin_share: f64,
    /// Greatest number of calls to one replica under way, and of outcomes that are sent again.
    pub max_replica_calls: usize,
    /// Earliest time at which a refused caller returns.
    pub min_retry_after: Duration,
    /// Latest time at which a refused caller returns.
    pub max_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_bytes: 256 << 20,
            begin_share: 0.5,
            max_replica_calls: 4_096,
            // Most requests end within a second.
            min_retry_after: Duration::from_millis(300),
            max_retry_after: Duration::from_millis(1_500),
        }
    }
}

/// A request that is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Bytes held already.
    pub held: usize,
    /// Bytes that may be held with a request of its kind.
    pub limit: usize,
    /// When the caller may return.
    pub retry_after: Duration,
}

impl Options {
    /// The limits of an instance with this much memory.
    pub fn for_memory(memory: u64) -> Self {
        let memory = usize::try_from(memory).unwrap_or(usize::MAX);
        Self {
            max_bytes: memory / 4,
            // With three to seven replicas, a tenth to a fifth of the memory for all of them.
            max_replica_calls: (memory / 32 / CALL_BYTES).max(1),
            ..Self::default()
        }
    }

    /// Decides about a request that needs `more` bytes while `held` are held; `draw` is uniform in `0.0..1.0`.
    /// A single request always finds room.
    ///
    /// # Errors
    ///
    /// The refusal, if the request is not taken on.
    pub fn decide(
        &self,
        begins: bool,
        held: usize,
        more: usize,
        deadline: Option<Duration>,
        draw: f64,
    ) -> Result<(), Refusal> {
        let limit = self.limit(begins);
        if held == 0 || held.saturating_add(more) <= limit {
            return Ok(());
        }
        // A caller that returns later than that has no time left for the answer.
        let last = deadline.map_or(self.max_retry_after, |left| left / 3);
        let last = last.min(self.max_retry_after).max(self.min_retry_after);
        let spread = (last - self.min_retry_after).mul_f64(draw);
        Err(Refusal {
            held,
            limit,
            retry_after: self.min_retry_after + spread,
        })
    }

    /// Bytes that may be held with a request that begins a program, or with any other.
    pub fn limit(&self, begins: bool) -> usize {
        match begins {
            true => (self.max_bytes as f64 * self.begin_share) as usize,
            false => self.max_bytes,
        }
    }
}
