//! Tests of the protocol specification, of the checker, and of documentation that names items of
//! the code.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod forged_records;
mod glossary_page;
mod good_records;
mod metrics_page;
mod record_lines;
mod scenario;
mod source_tree;
mod spec_models;
