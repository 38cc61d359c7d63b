//! Polls an entry until a change is in force in every process.

use std::time::Duration;

use fw_base::id;
use tokio::time::Instant;

use super::io;
use crate::admin;

/// Time between two polls of the entry.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of process names in one progress line.
const MAX_NAMES: usize = 5;

/// Result of the wait.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// In force in every process.
    Everywhere,
    /// Not in force in some process when the timeout expired.
    TimedOut,
}

/// Waits until records of `revision` are in force in all processes, and reports the progress.
///
/// A failed poll does not end the wait, since the change is already accepted. Nor does a shrinking
/// count of processes: an entry that is partitioned from the store drops out of the list of entries
/// but still serves callers with its old records, so that "1 of 1" would be reported although one
/// of two entries lacks the change.
pub async fn until_in_force(
    client: &admin::Client,
    revision: id::Revision,
    timeout: Duration,
    io: &mut io::Io<'_>,
) -> Outcome {
    let end = Instant::now() + timeout;
    let mut last_line = String::new();
    let mut max_seen = 1;
    loop {
        let line = match client.in_force(revision).await {
            Ok(state) => {
                max_seen = max_seen.max(state.of);
                let line = describe(&state, max_seen);
                if state.in_force == max_seen {
                    io.report(line);
                    return Outcome::Everywhere;
                }
                line
            }
            Err(err) => err.to_string(),
        };
        if line != last_line {
            io.report(&line);
            last_line = line;
        }
        if Instant::now() >= end {
            return Outcome::TimedOut;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Formats a progress line; `max_seen` is the largest number of processes reported so far.
fn describe(state: &admin::InForce, max_seen: usize) -> String {
    let admin::InForce {
        in_force,
        of,
        waiting,
    } = state;
    let mut line = format!("in force at {in_force} of {of}");
    if !waiting.is_empty() {
        let names: Vec<_> = waiting.iter().take(MAX_NAMES).map(String::as_str).collect();
        line.push_str(&format!("; waiting for {}", names.join(", ")));
    }
    if waiting.len() > MAX_NAMES {
        line.push_str(&format!(" and {} more", waiting.len() - MAX_NAMES));
    }
    if *of < max_seen {
        let missing = max_seen - of;
        line.push_str(&format!("; {missing} seen before no longer listed"));
    }
    line
}
