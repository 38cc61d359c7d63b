//! Records, ledgers, member lists and the journal of replicas.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod absent_turns;
mod begun_streams;
mod budget_ledger;
mod budget_model;
mod budget_power;
mod budget_races;
mod entry_load;
mod journal_machine;
mod journal_segments;
mod kept_chains;
mod kept_quarantine;
mod late_chain;
mod list_change;
mod lost_links;
mod near_replicas;
mod prefix_reports;
mod quorum_turns;
mod state_pages;
mod store_news;
mod stream_beginnings;
mod team_usage;
mod torn_journal;
