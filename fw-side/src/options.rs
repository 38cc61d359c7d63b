//! Configuration of a side.

use std::time::Duration;

use fw_conf::side;
use metrics_exporter_prometheus::PrometheusHandle;

/// Settings of a side, and limits that are not part of the settings file.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file.
    pub settings: side::Settings,
    /// Maximum number of concurrent plain calls. Turns of programs never occupy these slots.
    pub plain_concurrency: usize,
    /// Maximum time that a plain call waits for a slot.
    pub plain_max_wait: Duration,
    /// Number of resumptions of an idle engine stream without a new chunk before the turn fails.
    pub max_resumes: u32,
    /// Consecutive failed load polls after which the engine counts as down.
    pub max_failed_polls: u32,
    /// Idle time after which the side asks a program's keeper whether the program still exists.
    pub verify_idle_after: Duration,
    /// How long a finished answer is retained for its keeper.
    pub answer_retention: Duration,
    /// Maximum size in bytes of the retained answers, including the messages that their turns
    /// added.
    pub answer_bytes: usize,
    /// Maximum time that a read waits for an event.
    pub max_read_wait: Duration,
    /// Initial delay before an unconfirmed release is sent again.
    pub release_backoff: Duration,
    /// Maximum delay before an unconfirmed release is sent again.
    pub release_backoff_max: Duration,
    /// How long the id of an at-most-once call is retained.
    pub at_most_once_retention: Duration,
    /// Maximum number of retained ids of at-most-once calls.
    pub max_at_most_once: usize,
    /// Renders `/metrics` if the embedding process has already installed a metrics recorder.
    pub metrics: Option<PrometheusHandle>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            settings: side::Settings::default(),
            plain_concurrency: 256,
            plain_max_wait: Duration::from_millis(250),
            max_resumes: 3,
            max_failed_polls: 3,
            verify_idle_after: Duration::from_secs(30),
            answer_retention: Duration::from_secs(600),
            answer_bytes: 32 << 20,
            max_read_wait: Duration::from_secs(30),
            release_backoff: Duration::from_millis(200),
            release_backoff_max: Duration::from_secs(10),
            at_most_once_retention: Duration::from_secs(900),
            max_at_most_once: 100_000,
            metrics: None,
        }
    }
}
