//! Tests of the entry that need no other process.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod api_keys;
mod call_headers;
mod config_age;
mod event_split;
mod hedged_calls;
mod held_requests;
mod near_upstreams;
mod prefix_placement;
mod program_admission;
mod request_fingerprint;
mod route_choice;
mod sent_calls;
mod slow_readers;
mod start_class;
mod startup;
mod stated_speed;
mod store_updates;
mod turn_cache;
mod upstream_list;
mod upstream_restart;
mod version_choice;
mod waiting_turns;
