//! The operators' configuration, of which one version at a time is in force.

pub mod config;
pub mod team;
