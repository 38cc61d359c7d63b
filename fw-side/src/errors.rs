//! Construction of the errors that the side returns, counted by kind.

use fw_base::error;

/// Counter of returned errors, by `kind`.
pub const COUNTER: &str = "fw_side_errors_total";

/// Creates an error of `kind` and counts it.
pub fn counted(kind: error::Kind, message: impl Into<String>) -> error::Error {
    metrics::counter!(COUNTER, "kind" => kind.row().label).increment(1);
    error::Error::new(kind, message)
}

/// Registers a series for every kind, so that kinds that have not occurred are exported as 0.
pub fn register() {
    for kind in error::Kind::ALL {
        metrics::counter!(COUNTER, "kind" => kind.row().label).absolute(0);
    }
}
