//! Small stand-ins of the platform and of upstreams, with faults to inject.

pub mod instances;
pub mod store;
