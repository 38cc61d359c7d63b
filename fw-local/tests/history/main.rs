//! Recorded runs of callers, operators and faults against whole systems hold every promise.

mod fixed_seeds;
