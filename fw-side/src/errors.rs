//! Errors that leave the side, each with its counter.

use fw_base::error;

/// Counter of errors given out, by `kind`.
pub const COUNTER: &str = "fw_side_errors_total";

/// An error of `kind`, counted.
pub fn counted(kind: error::Kind, message: impl Into<String>) -> error::Error {
    metrics::counter!(COUNTER, "kind" => kind.row().label).increment(1);
    error::Error::new(kind, message)
}

/// Makes a series for every kind, so that one that never occurred shows as 0.
pub fn register() {
    for kind in error::Kind::ALL {
        metrics::counter!(COUNTER, "kind" => kind.row().label).absolute(0);
    }
}
