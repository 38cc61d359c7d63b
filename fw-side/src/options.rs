//! What a side is run with.

use std::time::Duration;

use fw_conf::side;
use metrics_exporter_prometheus::PrometheusHandle;

/// Settings of a side, and bounds that operators do not set.
#[derive(Clone, Debug)]
pub struct Options {
    /// What the settings file says.
    pub settings: side::Settings,
    /// Most plain calls under way together. Turns of programs never take these places.
    pub plain_concurrency: usize,
    /// Longest wait of a plain call for a place.
    pub plain_max_wait: Duration,
    /// Times that a silent engine stream is resumed without a new chunk before it is given up.
    pub max_resumes: u32,
    /// Failed load polls in a row after which the engine counts as down.
    pub max_failed_polls: u32,
    /// How long a program is idle before its keeper is asked whether it still exists.
    pub verify_idle_after: Duration,
    /// How long a finished answer is kept for its keeper.
    pub answer_retention: Duration,
    /// Most bytes of finished answers that are kept, with the messages that their turns added.
    pub answer_bytes: usize,
    /// Longest time that a read waits for an event.
    pub max_read_wait: Duration,
    /// First pause before an unconfirmed release is sent again.
    pub release_backoff: Duration,
    /// Longest pause before an unconfirmed release is sent again.
    pub release_backoff_max: Duration,
    /// How long the id of an at-most-once call is remembered.
    pub at_most_once_retention: Duration,
    /// Most ids of at-most-once calls that are remembered.
    pub max_at_most_once: usize,
    /// Renders `/metrics`, where the embedding process has installed a recorder already.
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
