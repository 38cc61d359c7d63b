//! Program state, journal, claims and shard leases over the platform's store.
