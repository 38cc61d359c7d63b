//! A small queueing simulation that drives the real decisions with simulated engines, agent
//! programs and plain requests at the sizes of today's two users.
//!
//! It models no network and no failure protocol; its purpose is to compare decisions. Time is
//! simulated, randomness is seeded, and every policy gets the same trace of programs.

pub mod engine;
pub mod plain;
pub mod policy;
pub mod side;
pub mod stats;
pub mod trace;
pub mod world;
