//! What lives as long as a version of the operators' configuration.

pub mod config;
pub mod team;
