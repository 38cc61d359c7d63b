//! State and logic with the lifetime of one request.

pub mod answer;
pub mod body;
pub mod plain;
pub mod run;
pub mod sse;
