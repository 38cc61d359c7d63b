//! Following the store.

mod store_outage;
mod urgent_reads;
