//! Recorded histories of concurrent runs and the checker of the promises.
