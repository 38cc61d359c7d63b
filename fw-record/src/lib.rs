//! Operators' records in two schema versions, and the set in force.
