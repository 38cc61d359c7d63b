//! Tests of the settings files.

mod any_bytes;
mod every_fault;
mod good_files;
mod settings_page;
