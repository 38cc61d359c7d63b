//! Tests of the stand-ins.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod instance_list;
mod store_state;
