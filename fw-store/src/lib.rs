//! Client of the platform's key-value service over the etcd v3 HTTP/JSON gateway.
//!
//! Reads, compare-and-swap transactions, leases and watches. The client never repeats a write
//! whose answer was lost: if [`error::Error::may_have_applied`] is true, the caller has to read back
//! before it retries.
//!
//! ```
//! use fw_store::kv::{Compare, Op, Txn};
//!
//! // Create `/a` only if it does not exist yet.
//! let txn = Txn {
//!     compares: vec![Compare::CreateRevision("/a".into(), 0)],
//!     then: vec![Op::put("/a", b"1".to_vec())],
//!     ..Txn::default()
//! };
//! assert_eq!(txn.then.len(), 1);
//! ```

pub mod client;
mod codec;
pub mod error;
pub mod kv;
pub mod watch;

pub use client::Client;
pub use client::Options;
