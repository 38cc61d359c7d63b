//! State and tasks with the lifetime of the process.

pub mod admission;
pub mod attempts;
pub mod entry;
pub mod explain;
pub mod held;
pub mod keepers;
pub mod members;
pub mod peers;
pub mod serve;
pub mod suspects;
