//! Small stand-ins for the platform and for upstreams, with fault injection.

pub mod engine;
pub mod instances;
pub mod plain;
pub mod recording;
pub mod relay;
pub mod store;
