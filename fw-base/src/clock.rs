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

/// Ticks a second in the files of `/proc`: fixed by the kernel's interface, whatever its timer's rate.
const PROC_TICKS_PER_SEC: u64 = 100;

/// When this process was started, since boot, to a hundredth of a second; now if the system does not tell.
///
/// A process on a small part of a core takes some tens of milliseconds from its start to its first instruction,
/// which no clock that the process reads itself includes.
pub fn process_start() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    start_in_stat(&stat).map_or_else(since_boot, |start| start.min(since_boot()))
}

/// The start time in the content of a `/proc/PID/stat` file.
pub fn start_in_stat(stat: &str) -> Option<Duration> {
    // The program's name, in parentheses, may contain spaces and parentheses. The start time is field 22, and the
    // first one after the name is field 3.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: u64 = fields.split_ascii_whitespace().nth(22 - 3)?.parse().ok()?;
    Some(Duration::from_millis(
        ticks.saturating_mul(1_000 / PROC_TICKS_PER_SEC),
    ))
}

/// Processor time that this process has used.
pub fn process_cpu() -> Duration {
    let used = time::clock_gettime(time::ClockId::ProcessCPUTime);
    let secs = u64::try_from(used.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(used.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
