//! Harness that runs a whole system in one process on loopback: entries, sides, and stand-ins for
//! engines, plain services and the platform. Shared by the demo, the tests across processes and the
//! measurements.

pub mod agent;
pub mod caller;
pub mod faults;
pub mod history;
pub mod system;
