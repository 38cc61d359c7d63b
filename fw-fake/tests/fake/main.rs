//! Tests of the stand-ins for the platform and for upstreams.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod engine_faults;
mod engine_stream;
mod instance_list;
mod plain_service;
mod store_state;
