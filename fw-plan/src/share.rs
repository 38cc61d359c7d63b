//! Fair shares of teams: which team uses more than its part of what all teams use.
//!
//! *Load pattern:* a team sends several times its usual load, within its quota, while the engines
//! are short of slots.
//!
//! *Without it:* programs are refused in the order of arrival, so that the refusals fall on all
//! teams in proportion to what they send. One team's burst refuses programs of all others.
//!
//! *Rule:* a team's share is the part of all active teams' requests that its weight, the rate of its
//! quota, has among theirs. It exceeds its share only by what chance does not explain. Both sides
//! of the comparison come from the same counts, so an entry that has only its own counts compares a
//! sample of each team. Whether a team exceeds its share matters only while the engines are short:
//! what the others leave unused, it may use.
//!
//! *Grounds:* requests come in programs of some turns, so a team's count varies by several times as
//! much as that of independent requests would. [`Options`] gives the figures.

use std::time::Duration;

/// How a team's use is compared to its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Period over which the latest use is counted, so that a team that stops is within its share
    /// again as soon.
    pub latest: Duration,
    /// Requests that come together, as the turns of a program do.
    pub batch: f64,
    /// Standard deviations of a count that are attributed to chance. With 80 teams, three of them
    /// exceed two at any time.
    pub deviations: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            latest: Duration::from_secs(1),
            batch: 6.0,
            deviations: 2.0,
        }
    }
}

/// Requests of one team, as far as an entry knows of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// In the last window.
    pub in_window: f64,
    /// In the last [`Options::latest`], extrapolated to a window.
    pub latest: f64,
}

/// All active teams' requests and weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    requests: f64,
    weight: f64,
}

impl Totals {
    /// Adds a team of `weight`; one without requests is not active and leaves its share to the
    /// others.
    pub fn add(&mut self, weight: f64, usage: Usage) {
        if usage.in_window > 0.0 && weight > 0.0 {
            self.requests += usage.in_window;
            self.weight += weight;
        }
    }

    /// Compares a team of `weight` with the others; `None` if nothing is known of any team.
    pub fn compare(&self, weight: f64, usage: Usage) -> Option<Standing> {
        // Both are zero if no team has a weight.
        if self.weight <= 0.0 || weight <= 0.0 {
            return None;
        }
        Some(Standing {
            // Counts of other entries arrive together at times, and may lie too close together; the
            // window holds them all.
            used: usage.in_window.min(usage.latest),
            share: self.requests * (weight / self.weight).min(1.0),
        })
    }
}

/// A team's use and its share, in requests a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Requests that it used.
    pub used: f64,
    /// Its fair share of the requests of all teams.
    pub share: f64,
}

impl Standing {
    /// Multiple of its share that the team uses beyond what chance explains: 0 within its share, 1
    /// at twice the share.
    pub fn excess(&self, opts: &Options) -> f64 {
        // A team may always have one program.
        let share = self.share.max(opts.batch);
        let chance = opts.deviations * (share * opts.batch).sqrt();
        ((self.used - chance) / share - 1.0).max(0.0)
    }
}
