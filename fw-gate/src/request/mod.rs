//! What lives as long as a request.

pub mod answer;
pub mod attempt;
pub mod auth;
pub mod body;
pub mod call;
pub mod events;
pub mod ingress;
pub mod plain;
pub mod send;
pub mod stream;
pub mod turn;
