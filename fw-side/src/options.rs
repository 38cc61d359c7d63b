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
    pub plain_wait: Duration,
    /// Times that a silent engine stream is resumed without a new chunk before it is given up.
    pub resumes: u32,
    /// Failed load polls in a row after which the engine counts as down.
    pub failed_polls: u32,
    /// How long a program is idle before its keeper is asked whether it still exists.
    pub ask_after: Duration,
    /// How long a finished answer is kept for its keeper.
    pub keep_answer: Duration,
    /// Most bytes of finished answers that are kept, with the messages that their turns added.
    pub answer_bytes: usize,
    /// Longest time that a read waits for an event.
    pub max_wait: Duration,
    /// First pause before an unconfirmed release is sent again.
    pub release_pause: Duration,
    /// Longest pause before an unconfirmed release is sent again.
    pub release_pause_max: Duration,
    /// How long the id of an at-most-once call is remembered.
    pub keep_once: Duration,
    /// Most ids of at-most-once calls that are remembered.
    pub max_once: usize,
    /// Renders `/metrics`, where the embedding process has installed a recorder already.
    pub metrics: Option<PrometheusHandle>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            settings: side::Settings::default(),
            plain_concurrency: 256,
            plain_wait: Duration::from_millis(250),
            resumes: 3,
            failed_polls: 3,
            ask_after: Duration::from_secs(30),
            keep_answer: Duration::from_secs(600),
            answer_bytes: 32 << 20,
            max_wait: Duration::from_secs(30),
            release_pause: Duration::from_millis(200),
            release_pause_max: Duration::from_secs(10),
            keep_once: Duration::from_secs(900),
            max_once: 100_000,
            metrics: None,
        }
    }
}
