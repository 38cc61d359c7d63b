//! What the system says of this process.

use std::time::Duration;
use std::time::Instant;

/// Bytes of a page, on the machines that this is measured on.
const PAGE_BYTES: f64 = 4096.0;

/// Resident memory, in bytes.
pub fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Keeps `value` for good: memory that were freed would be taken again by the next measurement,
/// without showing as resident.
pub fn leak<T>(value: T) {
    std::mem::forget(value);
}

/// Time that `work` takes on the only thread that is busy: its processor time.
pub fn cpu_time(task: impl FnOnce()) -> Duration {
    let started = Instant::now();
    task();
    started.elapsed()
}
