//! Time that passes while the machine is suspended, too.

use std::time::Duration;

use rustix::time;

/// Time since the machine was started.
///
/// The standard library's `Instant` stands still while a machine is suspended, so what it takes for
/// fresh may be many seconds old.
pub fn since_boot() -> Duration {
    let now = time::clock_gettime(time::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
