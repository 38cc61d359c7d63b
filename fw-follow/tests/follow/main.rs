//! Following the store.

mod store_outage;
