//! Randomized runs of callers, operators and faults against whole systems, checked for every
//! promise.

mod fixed_seeds;
