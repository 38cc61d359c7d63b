//! The handling of one request, from its head to the end of its answer.

pub mod answer;
pub mod attempt;
pub mod auth;
pub mod body;
pub mod call;
pub mod events;
pub mod hedged;
pub mod ingress;
pub mod load_header;
pub mod plain;
pub mod refusal;
pub mod resume;
pub mod send;
pub mod stream;
pub mod turn;
