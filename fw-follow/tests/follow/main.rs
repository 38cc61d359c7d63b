//! Tests of the follower of the store.

mod paged_snapshots;
mod store_outage;
mod urgent_reads;
