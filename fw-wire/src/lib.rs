//! Messages and tarpc services between the system's own processes.
//!
//! JSON codec: processes of different versions talk to each other during every rolling restart, so
//! fields added later carry `#[serde(default)]` and unknown ones are ignored.
//!
//! Answers are read by offset with a long poll ([`attempt::Read`]), not pushed: a reader whose
//! connection went silent reads on from its offset over a new one, and nothing is sent again.

pub mod attempt;
pub mod buffer;
pub mod peer;
pub mod side;
pub mod transport;
