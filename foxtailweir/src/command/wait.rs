//! Waits until a change is in force everywhere.

use std::time::Duration;

use fw_base::id;
use tokio::time::Instant;

use super::io;
use crate::admin;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(100);

/// Most names of processes that a line shows.
const NAMES: usize = 5;

/// What became of the wait.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// In force in every process.
    Everywhere,
    /// Not yet, when the time was over.
    Partly,
}

/// Waits until records of `revision` are in force in all processes, and shows the progress.
///
/// An entry that does not answer for a moment does not end the wait: the change is accepted
/// whatever happens here. Nor does a count that shrinks: an entry that is cut off from the store
/// drops out of the list of entries while it still answers callers by its old records, so that
/// "1 of 1" would be reported although one of two goes without the change.
pub async fn until_in_force(
    client: &admin::Client,
    revision: id::Revision,
    timeout: Duration,
    io: &mut io::Io<'_>,
) -> Outcome {
    let end = Instant::now() + timeout;
    let mut shown = String::new();
    let mut most = 1;
    loop {
        let line = match client.in_force(revision).await {
            Ok(state) => {
                most = most.max(state.of);
                let line = describe(&state, most);
                if state.in_force == most {
                    io.note(line);
                    return Outcome::Everywhere;
                }
                line
            }
            Err(err) => err.to_string(),
        };
        if line != shown {
            io.note(&line);
            shown = line;
        }
        if Instant::now() >= end {
            return Outcome::Partly;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// One line; `most` is the largest number of processes seen.
fn describe(state: &admin::InForce, most: usize) -> String {
    let admin::InForce {
        in_force,
        of,
        waiting,
    } = state;
    let mut line = format!("in force at {in_force} of {of}");
    if !waiting.is_empty() {
        let names: Vec<_> = waiting.iter().take(NAMES).map(String::as_str).collect();
        line.push_str(&format!("; waiting for {}", names.join(", ")));
    }
    if waiting.len() > NAMES {
        line.push_str(&format!(" and {} more", waiting.len() - NAMES));
    }
    if *of < most {
        let gone = most - of;
        line.push_str(&format!("; {gone} seen before no longer listed"));
    }
    line
}
