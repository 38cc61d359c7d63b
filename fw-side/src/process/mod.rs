//! What lives as long as the process.

pub mod attempts;
pub mod changes;
pub mod core;
pub mod engine;
pub mod fences;
pub mod held;
pub mod histories;
pub mod line;
pub mod meter;
pub mod once;
pub mod poll;
pub mod serve;
pub mod sessions;
