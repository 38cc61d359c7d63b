//! The services that connections are accepted for: RPC from entries, and HTTP.

pub mod rpc;
pub mod web;
