//! The process beside each upstream.
