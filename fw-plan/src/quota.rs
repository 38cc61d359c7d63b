//! Team quotas: limits how many requests of a team run, over all entries together.
//!
//! *Load pattern:* a team sends several times its usual load, through all entries at once; an
//! operator lowers a limit far below a team's load; an entry is cut off from the others.
//!
//! *Without it:* one team's requests fill the engines for all. With a fixed share of the limit at
//! each entry, teams are refused far below their limit, as their callers are spread unevenly.
//!
//! *Rule:* each entry counts the requests of a team in the last window: those that it admits
//! itself, and those that others report. No more programs begin than the limit can finish, by the
//! requests that earlier programs needed: a program that is broken off has used its team's quota
//! for nothing. Requests of programs under way are refused only at the limit, and may use a part of
//! the count's tolerance. An entry that receives no counts of others admits few requests.
//!
//! *Grounds:* an entry's counts of others are as old as the time between two messages, which is
//! shorter the more a team sends. An excess admitted in that time is missing later in the window.

use std::collections::VecDeque;
use std::ops::{AddAssign, SubAssign};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::share;

/// A team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests.
    pub requests: i64,
    /// Requests with which a program begins.
    pub begins: i64,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.begins += other.begins;
    }
}

impl SubAssign for Counts {
    fn sub_assign(&mut self, other: Self) {
        self.requests -= other.requests;
        self.begins -= other.begins;
    }
}

impl Counts {
    /// Excess of these counts over `other`, zero where there is none.
    pub fn beyond(self, other: Self) -> Self {
        Self {
            requests: (self.requests - other.requests).max(0),
            begins: (self.begins - other.begins).max(0),
        }
    }
}

/// A request's place in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It is the first request of a program.
    Begins,
    /// Its program is under way, or it belongs to none.
    Continues,
}

impl Stage {
    fn count(self) -> Counts {
        Counts {
            requests: 1,
            begins: i64::from(self == Self::Begins),
        }
    }
}

/// How requests are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Sliding window over which they are counted.
    pub window: Duration,
    /// Tolerance of the count, as a share of the limit.
    pub tolerance_share: f64,
    /// Additional tolerance, in requests.
    pub tolerance_requests: f64,
    /// Share of the tolerance that programs under way may use.
    pub lent_share: f64,
    /// Assumed requests of a program, before any was observed.
    pub requests_per_program: f64,
    /// Weight of that assumption, in programs.
    pub prior_programs: f64,
    /// Requests that an entry admits after the last summary of others' requests.
    pub max_unsynced: i64,
    /// The same as a share of the limit, where that is more.
    pub max_unsynced_share: f64,
    /// Share of the limit that an entry admits before it reports it.
    pub report_share: f64,
    /// Share of the rest of the limit that an entry admits without a new summary.
    pub max_unsynced_left_share: f64,
    /// Requests that an entry admits before its first summary.
    pub max_before_first_sync: i64,
    /// Share of the limit from which on admitted requests are reported at once.
    pub busy_share: f64,
    /// Shortest time to retry that a refused caller is given.
    pub min_retry_after: Duration,
    /// Longest time to retry that a refused caller is given.
    pub max_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            tolerance_share: 0.0,
            tolerance_requests: 0.0,
            lent_share: 0.4,
            requests_per_program: 15.0,
            prior_programs: 8.0,
            max_unsynced: 16,
            max_unsynced_share: 0.05,
            report_share: 0.01,
            max_unsynced_left_share: 0.1,
            max_before_first_sync: 4,
            busy_share: 0.7,
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(2),
        }
    }
}

impl Options {
    /// Requests of a team with `limit` that may run in a window.
    fn allowed(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Requests that an entry admits without a new summary while `left` are left of the limit.
    /// Other entries do the same.
    fn unsynced_limit(&self, limit: Limit, left: f64) -> i64 {
        let floor = self.allowed(limit) * self.max_unsynced_share;
        let share = (left * self.max_unsynced_left_share) as i64;
        self.max_unsynced.max(floor as i64).min(share.max(1))
    }

    /// Requests that an entry admits before it reports them, while much of the limit is left.
    ///
    /// *Failure:* when a small team's requests come in through all entries and each reports four
    /// together, the requests that no entry has reported yet are half of the limit.
    fn report_threshold(&self, limit: Limit) -> i64 {
        let part = (self.allowed(limit) * self.report_share) as i64;
        part.clamp(1, self.max_unsynced / 4)
    }

    /// Requests that a program needs, for a team that had sent `counts` before the last window.
    /// Programs that began later are not finished yet.
    fn program_need(&self, counts: Counts) -> f64 {
        let requests = counts.requests as f64 + self.requests_per_program * self.prior_programs;
        requests / (counts.begins as f64 + self.prior_programs)
    }
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may run.
    Admitted,
    /// It may not run; its caller may retry after this time.
    Refused(Duration),
}

/// Requests by the time at which they ran, within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    /// Start of each bucket, oldest first, and the requests in it.
    buckets: VecDeque<(Duration, Counts)>,
    sum: Counts,
}

/// Number of buckets in a window.
const BUCKETS: u32 = 50;

impl SlidingWindow {
    /// Adds requests that ran at `now`.
    pub fn add(&mut self, counts: Counts, now: Duration, window: Duration) {
        self.sum += counts;
        match self.buckets.back_mut() {
            Some((start, bucket)) if now < *start + window / BUCKETS => *bucket += counts,
            _ => self.buckets.push_back((now, counts)),
        }
    }

    /// Requests in the window that ends at `now`. A bucket counts until its last request has left
    /// the window.
    pub fn in_window(&mut self, now: Duration, window: Duration) -> Counts {
        let kept = window + window / BUCKETS;
        while let Some((_, counts)) = self.buckets.pop_front_if(|(start, _)| *start + kept <= now) {
            self.sum -= counts;
        }
        self.sum
    }

    /// Requests since `since`.
    fn requests_since(&self, since: Duration) -> i64 {
        let buckets = self.buckets.iter().rev();
        let latest = buckets.take_while(|(start, _)| *start >= since);
        latest.map(|(_, counts)| counts.requests).sum()
    }

    /// Time until requests have left the window that `of` counts as `wanted` together.
    fn time_until_expired(
        &self,
        wanted: f64,
        of: impl Fn(&Counts) -> i64,
        now: Duration,
        window: Duration,
    ) -> Option<Duration> {
        let mut expired = 0;
        for (start, counts) in &self.buckets {
            expired += of(counts);
            if expired as f64 >= wanted {
                return Some((*start + window + window / BUCKETS).saturating_sub(now));
            }
        }
        None
    }
}

/// Report of an entry on a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that the entry has admitted since it started.
    pub total: Counts,
    /// Of these, the ones in the last window.
    pub recent: Counts,
    /// Length of the window.
    pub window: Duration,
}

/// Summary of a replica on a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests of all entries in the last window.
    pub recent: Counts,
    /// Total of the requesting entry's last report that is included.
    pub reported: Counts,
    /// Time for which the replica has counted.
    pub counted_for: Duration,
}

/// Exchange with replicas that a team needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncNeed {
    /// None.
    Nothing,
    /// Request the others' counts from one replica: little is left, and others may have used it.
    Query,
    /// Report to all replicas: there are no counts of others yet, many requests were admitted since
    /// the last summary, or little is left.
    Report,
}

/// Requests that ran before the account was created, as far as they are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PriorUsage {
    /// There was no summary yet; one is requested.
    #[default]
    NotSynced,
    /// Requests within a window up to this time are counted only in part.
    PartialUntil(Duration),
}

/// One team's account at one entry.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Requests of all known entries in the window.
    all: SlidingWindow,
    /// Requests of this entry in the window.
    own: SlidingWindow,
    /// Requests that this entry has admitted.
    total: Counts,
    /// Of these, the ones that the last summary does not include.
    unsynced: i64,
    /// How far requests before its creation are counted.
    prior: PriorUsage,
}

impl Account {
    /// Decides about a request, and counts it if it may run.
    pub fn decide(
        &mut self,
        limit: Limit,
        stage: Stage,
        now: Duration,
        options: &Options,
    ) -> Outcome {
        if self.prior == PriorUsage::NotSynced && self.unsynced >= options.max_before_first_sync {
            return Outcome::Refused(options.min_retry_after);
        }
        if let Some(after) = self.wait(limit, stage, now, options) {
            return Outcome::Refused(after.clamp(options.min_retry_after, options.max_retry_after));
        }
        self.charge(stage, now, options);
        Outcome::Admitted
    }

    /// Time until the limit allows the request; `None` if it does now.
    fn wait(
        &mut self,
        limit: Limit,
        stage: Stage,
        now: Duration,
        options: &Options,
    ) -> Option<Duration> {
        let recent = self.all.in_window(now, options.window);
        let allowed = options.allowed(limit);
        let counted = recent.requests as f64 + self.uncounted(limit, now, options) + 1.0;
        let bound = match stage {
            Stage::Begins => allowed,
            Stage::Continues => {
                allowed
                    + (allowed * options.tolerance_share + options.tolerance_requests)
                        * options.lent_share
            }
        };
        let time_until_freed = |wanted, of: fn(&Counts) -> i64| {
            let after = self.all.time_until_expired(wanted, of, now, options.window);
            Some(after.unwrap_or(options.max_retry_after))
        };
        if counted > bound {
            return time_until_freed(counted - bound, |counts| counts.requests);
        }
        if self.unsynced >= options.unsynced_limit(limit, bound - counted) {
            return Some(options.min_retry_after);
        }
        let mut earlier = self.total;
        earlier -= self.own.in_window(now, options.window);
        let programs = (allowed / options.program_need(earlier)).max(1.0);
        let begins = recent.begins as f64 + 1.0;
        if stage == Stage::Begins && begins > programs {
            return time_until_freed(begins - programs, |counts| counts.begins);
        }
        None
    }

    /// Requests that may have run before the count began: as many as the team may send.
    ///
    /// *Failure:* when a power failure of all machines deletes all counts, teams can otherwise,
    /// within a window, send again as much as they had sent before it.
    fn uncounted(&self, limit: Limit, now: Duration, options: &Options) -> f64 {
        let PriorUsage::PartialUntil(until) = self.prior else {
            return 0.0;
        };
        let part = until.saturating_sub(now).div_duration_f64(options.window);
        options.allowed(limit) * part
    }

    /// Exchange that is needed before the next regular one.
    pub fn required_sync(&mut self, limit: Limit, now: Duration, options: &Options) -> SyncNeed {
        let recent = self.all.in_window(now, options.window);
        let is_busy = recent.requests as f64 > options.allowed(limit) * options.busy_share;
        let is_used = self.own.in_window(now, options.window).requests > 0;
        let is_due = self.unsynced >= options.report_threshold(limit);
        let has_unsynced = is_due || (is_busy && self.unsynced != 0);
        if has_unsynced || self.prior == PriorUsage::NotSynced {
            SyncNeed::Report
        } else if is_busy && is_used {
            SyncNeed::Query
        } else {
            SyncNeed::Nothing
        }
    }

    /// Counts a further run of a request.
    pub fn charge(&mut self, stage: Stage, now: Duration, options: &Options) {
        let counts = stage.count();
        self.unsynced += counts.requests;
        self.adjust(counts, now, options);
    }

    /// Takes back a request that was admitted and has not run.
    pub fn refund(&mut self, stage: Stage, now: Duration, options: &Options) {
        let mut counts = Counts::default();
        counts -= stage.count();
        self.unsynced += counts.requests;
        self.adjust(counts, now, options);
    }

    fn adjust(&mut self, counts: Counts, now: Duration, options: &Options) {
        self.all.add(counts, now, options.window);
        self.own.add(counts, now, options.window);
        self.total += counts;
    }

    /// The team's requests at all known entries, in the window and in its `latest` part.
    pub fn usage(&mut self, latest: Duration, now: Duration, options: &Options) -> share::Usage {
        let in_window = self.all.in_window(now, options.window).requests;
        let recent = self.all.requests_since(now.saturating_sub(latest));
        share::Usage {
            in_window: in_window.max(0) as f64,
            latest: recent.max(0) as f64 * options.window.div_duration_f64(latest),
        }
    }

    /// This entry's report on the team.
    pub fn report(&mut self, now: Duration, options: &Options) -> Report {
        Report {
            total: self.total,
            recent: self.own.in_window(now, options.window),
            window: options.window,
        }
    }

    /// Merges a replica's summary, received at `now`.
    pub fn merge(&mut self, summary: &Summary, now: Duration, options: &Options) {
        let mut unreported = self.total;
        unreported -= summary.reported;
        self.unsynced = unreported.requests;
        let mut all = summary.recent;
        all += unreported;
        let current = self.all.in_window(now, options.window);
        self.all.add(all.beyond(current), now, options.window);
        if self.prior == PriorUsage::NotSynced {
            let unknown = options.window.saturating_sub(summary.counted_for);
            self.prior = PriorUsage::PartialUntil(now + unknown);
        }
    }
}

/// A replica's counts of one team.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    recent: SlidingWindow,
    /// Total in the last report of each entry, and its time.
    entries: Vec<(u32, Counts, Duration)>,
}

/// Greatest number of entries remembered for a team; beyond that, the one with the oldest report is
/// dropped.
const MAX_ENTRIES: usize = 512;

impl Aggregate {
    /// Counts an entry's report and returns the summary; `now` is the time for which the replica
    /// has counted.
    pub fn exchange(&mut self, entry: u32, report: &Report, now: Duration) -> Summary {
        let added = match self.entries.iter_mut().find(|(id, ..)| *id == entry) {
            Some((_, last, at)) => {
                let added = report.total.beyond(*last);
                *last += added;
                *at = now;
                added
            }
            None => {
                self.insert(entry, report.total, now);
                // Its earlier requests were reported to other replicas, or to this one before a
                // restart.
                report.recent
            }
        };
        self.recent.add(added, now, report.window);
        Summary {
            recent: self.recent.in_window(now, report.window),
            reported: report.total,
            counted_for: now,
        }
    }

    fn insert(&mut self, entry: u32, total: Counts, now: Duration) {
        if self.entries.len() >= MAX_ENTRIES {
            let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].2);
            oldest.map(|at| self.entries.swap_remove(at));
        }
        self.entries.push((entry, total, now));
    }
}
