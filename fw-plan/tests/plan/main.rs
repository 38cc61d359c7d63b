//! Tests of the load decisions, each without clock or network.
//!
//! Load patterns run in the queueing simulation of the `policy` example, with fixed seeds, and are
//! judged by the answers that callers receive.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod assign_upstream;
mod begin_limit;
mod body_room;
mod budget_bounds;
mod burst;
mod cache_keeping;
mod commit_window;
mod crash_evidence;
mod due_order;
mod fair_burst;
mod fair_shares;
mod first_calls;
mod full_entry;
mod held_calls;
mod hot_caller;
mod hot_key;
mod keeper_lookup;
mod key_staleness;
mod lapsed_upstreams;
mod list_confirmed;
mod list_model;
mod long_jobs;
mod overload;
mod pace_noise;
mod placement;
mod poison_requests;
mod prefix_index;
mod prefix_load;
mod quarantine_model;
mod queue_order;
mod recovery;
mod request_levels;
mod retry_budget;
#[path = "../../examples/policy/sim/mod.rs"]
#[expect(dead_code, reason = "the example uses the rest")]
mod sim;
mod slow_readers;
mod slow_upstream;
mod spill_over;
mod store_reader;
mod taken_shards;
mod team_quota;
mod upstream_health;
mod upstream_speed;
mod watched_subset;
mod workload;
