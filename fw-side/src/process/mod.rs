//! State and tasks with the lifetime of the process.

pub mod at_most_once;
pub mod attempts;
pub mod cache_view;
pub mod core;
pub mod dispatch_queue;
pub mod engine;
pub mod fences;
pub mod held;
pub mod histories;
pub mod meter;
pub mod serve;
pub mod sessions;
pub mod tasks;
