//! State and tasks with the lifetime of a connection to a caller, a side or another entry.

pub mod heartbeat;
pub mod listen;
pub mod pool;
pub mod recover;
pub mod recover_entries;
pub mod recover_sides;
pub mod sides;
