//! Connections from callers and to upstreams.

pub mod link;
pub mod listen;
