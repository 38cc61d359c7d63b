//! What lives for one connection: the services that callers meet.

pub mod calls;
pub mod web;
