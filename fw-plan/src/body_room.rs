//! Whether a body that is being read may take more memory, by a dynamic threshold over all such bodies.
//!
//! *Load pattern:* many long bodies at once, whose length nobody states: answers without end of faulty upstreams, uploads
//! in chunks. Short ones go on beside them.
//!
//! *Without it:* each body is bounded by its length alone. Some dozens of long ones exceed the instance's memory, and
//! the process ends with the calls of all callers.
//!
//! *Rule:* a body of up to [`FREE_BYTES`] takes what it needs. A longer one may hold as much as the budget has left
//! without it, so that `n` long bodies hold `n / (n + 1)` of the budget and the rest is free for the next.
//!
//! *Grounds:* nearly all bodies are short, and what is refused is longer than the others under way. A fixed part for each
//! body would either refuse a single long one or bound nothing.

/// Bytes that a body may always hold. Requests under way are bounded, and so are these of all of them.
pub const FREE_BYTES: usize = 16 << 10;

/// Limits of the bodies that are being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bytes held for all together.
    pub max_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_bytes: 128 << 20,
        }
    }
}

impl Options {
    /// Whether a body may hold `own` bytes while the others hold `others`. A single body always finds room.
    pub fn may_hold(&self, own: usize, others: usize) -> bool {
        let left = self.max_bytes.saturating_sub(own.saturating_add(others));
        own <= FREE_BYTES || others == 0 || own <= left
    }
}
