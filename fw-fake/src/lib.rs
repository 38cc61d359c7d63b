//! Small stand-ins of the platform and of upstreams, with faults to inject.

pub mod engine;
pub mod instances;
pub mod plain;
pub mod recording;
pub mod relay;
pub mod store;
