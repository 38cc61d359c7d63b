//! What lives as long as the process.

pub mod fleet;
pub mod gate;
pub mod quotas;
pub mod reading;
pub mod serve;
pub mod snapshot;
pub mod turns;
