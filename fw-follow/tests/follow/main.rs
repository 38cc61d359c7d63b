//! Following the store.

mod store_outage;
mod wanted_reads;
