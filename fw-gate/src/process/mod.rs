//! State and tasks with the lifetime of the process.

pub mod config_age;
pub mod features;
pub mod first_calls;
pub mod fleet;
pub mod gate;
pub mod held_bytes;
pub mod memory;
pub mod quarantine;
pub mod quotas;
pub mod read_schedule;
pub mod serve;
pub mod shares;
pub mod snapshot;
pub mod startup;
pub mod traffic;
pub mod turn_cache;
