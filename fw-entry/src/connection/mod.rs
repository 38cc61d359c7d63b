//! What lives as long as a connection: those to sides and to other entries.

pub mod heartbeat;
pub mod listen;
pub mod pool;
pub mod recover;
pub mod recover_entries;
pub mod recover_sides;
pub mod sides;
