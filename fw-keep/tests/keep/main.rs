//! Tests of programs, claims, journals, commits and keepers.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod claim_steps;
mod commit_answers;
mod fleet;
mod held_turns;
mod journal_replay;
mod keeper_claims;
mod keeper_doubt;
mod keeper_handover;
mod keeper_outage;
mod keeper_roles;
mod keeper_takeover;
mod memory_store;
mod program_budget;
mod program_turns;
mod segment_codec;
mod shard_balance;
mod shard_lock;
mod shard_owners;
mod taking_progress;
mod whole_model;
