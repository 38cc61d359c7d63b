//! Tests of the decisions, each without clock or network.

mod placement;
