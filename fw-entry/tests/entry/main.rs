//! Tests of the entry.

mod attempt_table;
mod crash_suspects;
mod ended_connections;
mod splice_runs;
