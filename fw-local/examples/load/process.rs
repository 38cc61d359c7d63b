//! What the system says of a process.

use std::time::Duration;

/// Clock ticks in a second, in which `/proc` counts processor time on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` between the name and the user time.
const FIELDS_BEFORE_CPU_TIMES: usize = 11;
/// Written to `clear_refs`: the peak of resident memory starts anew.
const RESET_PEAK: &str = "5";

/// A process that is watched.
#[derive(Clone, Debug)]
pub struct Process {
    /// The name that the table shows.
    pub name: String,
    /// Its id.
    pub pid: u32,
}

impl Process {
    /// Reads `name=pid,…`.
    ///
    /// # Errors
    ///
    /// When a part has another form, or there is no such process.
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

    /// Processor time spent so far, in user and kernel mode.
    pub fn cpu(&self) -> Duration {
        let stat = self.read("stat").unwrap_or_default();
        // The name, in parentheses, may hold spaces.
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

    /// Most resident memory since the start or the last reset, in MiB.
    pub fn peak(&self) -> f64 {
        mib(self.status_kib("VmHWM:"))
    }

    /// Starts the peak of resident memory anew; false if the system does not allow it.
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
