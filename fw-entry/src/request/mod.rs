//! State and handlers with the lifetime of one request.

pub mod admin;
pub mod answer;
pub mod chat;
pub mod follow;
pub mod headers;
pub mod identity;
pub mod once;
pub mod plain;
pub mod program;
pub mod router;
pub mod send;
pub mod splice;
