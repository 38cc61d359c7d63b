//! Times of the steps of an entry's start, written in one log line with the first call that it answers.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use fw_base::clock;

/// A step of the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The runtime runs.
    Runtime,
    /// Callers can connect.
    Listening,
    /// A configuration is in force.
    Config,
    /// A full list of upstreams has been received.
    List,
    /// A read of the store has proven that keys and list are current.
    Fresh,
    /// The head of the first call has been read.
    FirstCall,
}

/// Number of steps.
const STEPS: usize = 6;

/// When a step was reached, and the processor time that the process had used; zero if it was not reached yet.
#[derive(Debug, Default)]
struct Mark {
    ms: AtomicU32,
    cpu_ms: AtomicU32,
}

/// The steps reached so far.
#[derive(Debug)]
pub struct Startup {
    process_start: Duration,
    marks: [Mark; STEPS],
    is_served: AtomicBool,
}

impl Startup {
    /// Creates the record of a process that was started at `process_start`, since boot.
    pub fn new(process_start: Duration) -> Self {
        Self {
            process_start,
            marks: Default::default(),
            is_served: AtomicBool::new(false),
        }
    }

    /// Records that `step` is reached; only its first time counts.
    pub fn reach(&self, step: Step) {
        if self.is_served.load(Ordering::Relaxed) {
            return;
        }
        let mark = &self.marks[step as usize];
        let ms = millis(self.since_start(clock::since_boot())).max(1);
        let first = mark
            .ms
            .compare_exchange(0, ms, Ordering::Relaxed, Ordering::Relaxed);
        if first.is_ok() {
            let cpu = millis(clock::process_cpu());
            mark.cpu_ms.store(cpu, Ordering::Relaxed);
        }
    }

    /// Time from the process's start until `step`; `None` if it was not reached before the first answer.
    pub fn reached(&self, step: Step) -> Option<Duration> {
        let ms = self.marks[step as usize].ms.load(Ordering::Relaxed);
        (ms > 0).then(|| Duration::from_millis(ms.into()))
    }

    /// Writes the log line with the first call that is answered; `replicas` is when a majority of the replicas
    /// had answered, since boot, and `call` the time that this call took.
    pub fn call_served(&self, replicas: impl FnOnce() -> Option<Duration>, call: Duration) {
        if self.is_served.load(Ordering::Relaxed) || self.is_served.swap(true, Ordering::Relaxed) {
            return;
        }
        let ms = |step| log_ms(self.reached(step));
        let cpu_ms = |step: Step| self.marks[step as usize].cpu_ms.load(Ordering::Relaxed);
        tracing::info!(
            runtime_ms = ms(Step::Runtime),
            listening_ms = ms(Step::Listening),
            replicas_ms = log_ms(replicas().map(|at| self.since_start(at))),
            config_ms = ms(Step::Config),
            list_ms = ms(Step::List),
            fresh_ms = ms(Step::Fresh),
            first_call_ms = ms(Step::FirstCall),
            call_ms = millis(call),
            served_ms = millis(self.since_start(clock::since_boot())),
            runtime_cpu_ms = cpu_ms(Step::Runtime),
            fresh_cpu_ms = cpu_ms(Step::Fresh),
            cpu_ms = millis(clock::process_cpu()),
            "first call served"
        );
    }

    fn since_start(&self, at: Duration) -> Duration {
        at.saturating_sub(self.process_start)
    }
}

/// Milliseconds for a log line; -1 for a step that was not reached.
fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
