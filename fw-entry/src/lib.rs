//! The entry process: serves callers over HTTP, admits calls, keeps programs, and applies the
//! operators' records.
//!
//! Modules are split by lifetime: [`request`] and [`turn`] hold state of one call, [`connection`] of
//! one connection, [`version`] of one version of the records, [`process`] of the process.

pub mod connection;
pub mod process;
pub mod request;
pub mod turn;
pub mod version;
