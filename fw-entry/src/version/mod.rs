//! What lives as long as a version of the operators' records.

pub mod records;
pub mod watch;
