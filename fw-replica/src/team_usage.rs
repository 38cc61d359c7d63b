//! Requests admitted by entries, by team, as reported to this replica.

use std::collections::HashMap;
use std::time::Instant;

use fw_base::id;
use fw_plan::quota;
use parking_lot::Mutex;

use crate::service;

/// Counts of all teams. They are lost with the process: entries report their recent counts to a
/// replica that restarts.
#[derive(Debug)]
pub struct Counters {
    started: Instant,
    teams: Mutex<HashMap<id::TeamId, quota::Aggregate>>,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            teams: Mutex::default(),
        }
    }
}

impl Counters {
    /// Updates the counts of `entry`, and returns the totals of the team over all entries.
    pub fn exchange(&self, entry: u32, spent: &service::TeamUsage) -> quota::Summary {
        let now = self.started.elapsed();
        let mut teams = self.teams.lock();
        let team = teams.entry(spent.team.clone()).or_default();
        team.exchange(entry, &spent.report, now)
    }
}
