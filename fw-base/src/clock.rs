//! A monotonic clock that includes the time during which the machine is suspended.

use std::time::Duration;

use rustix::time;

/// Time since boot, including suspension.
///
/// The standard library's `Instant` does not advance while the machine is suspended, so state whose age
/// it measures as small may be many seconds old.
pub fn since_boot() -> Duration {
    let now = time::clock_gettime(time::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
