//! The teams' fair shares, from the counts that their quota accounts hold.

use std::time::{Duration, Instant};

use fw_plan::share;
use parking_lot::Mutex;

use super::quotas;
use crate::version::team;

/// Age at which the totals of all teams are counted again: they hardly change in a fiftieth of the window.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(100);

/// All teams' requests and weights, counted a moment ago.
#[derive(Debug, Default)]
pub struct Shares {
    totals: Mutex<Option<(Instant, share::Totals)>>,
}

impl Shares {
    /// Use and share of `team`; `None` if its requests are not counted.
    pub fn standing(
        &self,
        opts: &share::Options,
        quotas: &quotas::Quotas,
        teams: &[team::Team],
        team: &team::Team,
    ) -> Option<share::Standing> {
        let usage = quotas.usage_of(&team.name, opts.latest)?;
        let mut totals = self.totals.lock();
        let current = totals.filter(|(at, _)| at.elapsed() < TOTALS_MAX_AGE);
        let (_, sums) = *totals.insert(current.unwrap_or_else(|| {
            let mut sums = share::Totals::default();
            for team in teams {
                if let Some(usage) = quotas.usage_of(&team.name, opts.latest) {
                    sums.add(weight(team), usage);
                }
            }
            (Instant::now(), sums)
        }));
        sums.compare(weight(team), usage)
    }
}

/// A team's weight is the rate of its quota. One without a quota is not counted and has no share.
fn weight(team: &team::Team) -> f64 {
    team.quota.map_or(0.0, |limit| limit.rate)
}
