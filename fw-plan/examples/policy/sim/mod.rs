//! A small queueing loop that drives the real decisions: fake engines, agent programs and plain
//! requests at the sizes of today's two users.
//!
//! It stands for no network and no failure protocol; it is there to compare decisions. Time is
//! simulated, chance is seeded, and every policy is given the same trace of programs.

pub mod engine;
pub mod plain;
pub mod policy;
pub mod side;
pub mod stats;
pub mod trace;
pub mod world;
