//! Tests of the side against simulated upstreams, over real sockets.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cancel_turn;
mod engine_faults;
mod engine_memory;
mod fencing_check;
mod leave_drain;
mod overload_refusal;
mod plain_lane;
mod records_force;
mod rig;
mod stream_path;
