//! What lives as long as a connection.

pub mod link;
pub mod listen;
