//! Tests of the entry.

mod attempt_table;
mod splice_runs;
