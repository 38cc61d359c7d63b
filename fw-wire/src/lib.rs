//! Messages and tarpc services between the system's processes.
//!
//! The codec is JSON. Processes of different versions communicate during every rolling restart, so
//! fields added later have `#[serde(default)]` and unknown fields are ignored.
//!
//! Answers are read by offset with a long poll ([`attempt::Read`]), not pushed: a reader whose
//! connection is dead resumes from its offset over a new one, and no call is sent again.

pub mod attempt;
pub mod buffer;
pub mod peer;
pub mod side;
pub mod transport;
