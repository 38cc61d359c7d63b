//! What lives for one connection: the services that callers meet.

pub mod rpc;
pub mod web;
