//! Tests of the follower of the store.

mod store_outage;
mod urgent_reads;
