//! What lives for one request.

pub mod answer;
pub mod body;
pub mod plain;
pub mod run;
pub mod sse;
