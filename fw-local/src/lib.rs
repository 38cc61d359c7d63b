//! A whole system in one process on loopback: entries, sides, and stand-ins of engines, plain
//! services and the platform. The demo, the tests across processes and the measurements share it.

pub mod agent;
pub mod caller;
pub mod faults;
pub mod history;
pub mod system;
