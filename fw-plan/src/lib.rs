//! Decisions under load, free of clocks, networks and runtimes.
