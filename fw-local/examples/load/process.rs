//! Memory and processor time of another process, read from `/proc`.

use std::time::Duration;

/// Clock ticks a second, the unit of processor time in `/proc` on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` between the name and the user time.
const FIELDS_BEFORE_CPU_TIMES: usize = 11;
/// Value that resets the peak of resident memory when written to `clear_refs`.
const RESET_PEAK: &str = "5";

/// A process to measure.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its name in the table.
    pub name: String,
    /// Its id.
    pub pid: u32,
}

impl Process {
    /// Parses `name=pid,…`.
    ///
    /// # Errors
    ///
    /// When a part is not of that form, or there is no such process.
    pub fn parse_all(text: &str) -> Result<Vec<Self>, String> {
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.map(Self::parse).collect()
    }

    fn parse(part: &str) -> Result<Self, String> {
        let (name, pid) = part
            .split_once('=')
            .ok_or_else(|| format!("--pids: `{part}` is not of the form name=pid"))?;
        let process = Self {
            name: name.to_owned(),
            pid: pid
                .parse()
                .map_err(|err| format!("--pids: `{part}`: {err}"))?,
        };
        match process.status_kib("VmRSS:") {
            Some(_) => Ok(process),
            None => Err(format!("--pids: `{part}`: no such process")),
        }
    }

    /// Processor time used so far, in user and kernel mode.
    pub fn cpu(&self) -> Duration {
        let stat = self.read("stat").unwrap_or_default();
        // The name, in parentheses, may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let times = after_name
            .split_whitespace()
            .skip(FIELDS_BEFORE_CPU_TIMES)
            .take(2);
        let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Resident memory, in MiB.
    pub fn resident(&self) -> f64 {
        mib(self.status_kib("VmRSS:"))
    }

    /// Peak of resident memory since the start or the last reset, in MiB.
    pub fn peak(&self) -> f64 {
        mib(self.status_kib("VmHWM:"))
    }

    /// Resets the peak of resident memory; false if the system does not permit it.
    pub fn reset_peak(&self) -> bool {
        std::fs::write(format!("/proc/{}/clear_refs", self.pid), RESET_PEAK).is_ok()
    }

    fn status_kib(&self, field: &str) -> Option<u64> {
        let status = self.read("status")?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn read(&self, file: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.pid)).ok()
    }
}

fn mib(kib: Option<u64>) -> f64 {
    kib.unwrap_or(0) as f64 / 1024.0
}
