//! Ids, error kinds, digests and chat messages shared by all other crates.
//!
//! ```
//! use fw_base::error::{self, Ran};
//!
//! let row = error::Kind::Overloaded.row();
//! assert_eq!(row.ran, Ran::No);
//! assert!(row.retry);
//! ```

pub mod chat;
pub mod clock;
pub mod digest;
pub mod error;
pub mod id;
