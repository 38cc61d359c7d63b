//! Requests that entries let through, by team, as they tell them.

use std::collections::HashMap;
use std::time::Instant;

use fw_base::id;
use fw_plan::quota;
use parking_lot::Mutex;

use crate::service;

/// The counts of all teams. Lost with the process: entries tell a replica that starts anew what they
/// have let through lately.
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
    /// Counts what `entry` has let through, and returns what is known of all.
    pub fn exchange(&self, entry: u32, spent: &service::TeamUsage) -> quota::Summary {
        let now = self.started.elapsed();
        let mut teams = self.teams.lock();
        let team = teams.entry(spent.team.clone()).or_default();
        team.exchange(entry, &spent.report, now)
    }
}
