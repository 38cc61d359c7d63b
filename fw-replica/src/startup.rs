//! Times of the steps of a replica's start, written in one log line when it votes for the first time.

use std::time::Duration;

use fw_base::clock;

/// The steps reached so far, each by the time since the process was started.
#[derive(Clone, Debug)]
pub struct Startup {
    process_start: Duration,
    runtime: Duration,
    journal: Option<Duration>,
    listening: Option<Duration>,
    list: Option<Duration>,
}

impl Startup {
    /// Creates the record of a process that was started at `process_start`, since boot, and whose runtime runs
    /// now.
    pub fn new(process_start: Duration) -> Self {
        Self {
            process_start,
            runtime: clock::since_boot().saturating_sub(process_start),
            journal: None,
            listening: None,
            list: None,
        }
    }

    /// Records that the journal has been read.
    pub fn journal_read(&mut self) {
        self.journal = Some(self.now());
    }

    /// Records that entries and other replicas can connect.
    pub fn listening(&mut self) {
        self.listening = Some(self.now());
    }

    /// Records that the member list has been read from the store for the first time.
    pub fn list_read(&mut self) {
        self.list = self.list.or(Some(self.now()));
    }

    /// Writes the log line of the first vote.
    pub fn log_voting(&self) {
        tracing::info!(
            runtime_ms = self.runtime.as_millis() as u64,
            journal_ms = log_ms(self.journal),
            listening_ms = log_ms(self.listening),
            list_ms = log_ms(self.list),
            voting_ms = self.now().as_millis() as u64,
            cpu_ms = clock::process_cpu().as_millis() as u64,
            "voting"
        );
    }

    fn now(&self) -> Duration {
        clock::since_boot().saturating_sub(self.process_start)
    }
}

/// Milliseconds for a log line; -1 for a step that was not reached.
fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}
