//! State with the lifetime of one version of the operators' records.

pub mod records;
pub mod watch;
