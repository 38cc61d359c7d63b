//! The entry: callers' HTTP, admission, keeper of programs, operators' records in force.
//!
//! Modules follow life spans: [`request`] and [`turn`] end with their call, [`connection`] with its
//! peer, [`version`] with a change of the records, [`process`] with the entry.

pub mod connection;
pub mod process;
pub mod request;
pub mod turn;
pub mod version;
