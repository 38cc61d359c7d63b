//! Memory and processor time of this process.

use std::time::Duration;
use std::time::Instant;

/// Page size of the machines that this is measured on.
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

/// Leaks `value`: freed memory would be reused by the next measurement without adding to the
/// resident size.
pub fn leak<T>(value: T) {
    std::mem::forget(value);
}

/// Processor time of `task`, measured as elapsed time since no other thread is busy.
pub fn cpu_time(task: impl FnOnce()) -> Duration {
    let started = Instant::now();
    task();
    started.elapsed()
}
