//! How old the entry's proof is that it knows all changes of the configuration: a gauge, and a warning
//! each time the age passes one of [`MARKS`].
//!
//! *Failure:* nobody reads the platform's store with success, or a read does not end. Requests go on by
//! the configuration in force, so that callers alone would notice.

use std::time::Duration;

use super::gate;

/// Ages at which a warning is logged. The first is longer than an outage of one or two reads.
pub const MARKS: [Duration; 4] = [
    Duration::from_secs(4),
    Duration::from_secs(15),
    Duration::from_secs(60),
    Duration::from_secs(600),
];

/// Number of [`MARKS`] that `age` has reached.
pub fn marks_passed(age: Duration) -> usize {
    MARKS.iter().take_while(|mark| age >= **mark).count()
}

/// The age at the last sample.
#[derive(Debug, Default)]
pub struct Monitor {
    marks: usize,
}

impl Monitor {
    /// Publishes the age of the configuration of `gate`, and logs it if it has passed a mark since the last
    /// sample.
    pub fn sample(&mut self, gate: &gate::Gate) {
        let Some(age) = gate.config_age() else {
            return;
        };
        metrics::gauge!("fw_gate_config_age_seconds").set(age.as_secs_f64());
        let marks = marks_passed(age);
        if marks > self.marks {
            tracing::warn!(
                version = gate.config().map(|config| config.version),
                age_ms = age.as_millis() as u64,
                "the configuration has not been confirmed lately; requests go on by the one in force"
            );
        }
        self.marks = marks;
    }
}
