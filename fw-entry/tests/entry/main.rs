//! Tests of the entry.

mod attempt_table;
mod ended_connections;
mod splice_runs;
