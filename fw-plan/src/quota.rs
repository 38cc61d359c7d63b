//! Quotas: how many requests of a team run, over all entries together.
//!
//! *Load pattern:* a team sends several times its usual, through all entries at once; an operator lowers
//! a limit far below what a team sends; an entry is cut off from the others.
//!
//! *Without it:* one team's requests fill the engines for all. With a fixed part of the limit at each
//! entry, teams are refused far below their limit, as their callers are spread unevenly.
//!
//! *Rule:* each entry counts the requests of a team in the last window: what it lets through itself,
//! and what it hears that others have. No more programs begin than the limit can finish, by what
//! programs were seen to need: one that is broken off has used its team's quota for nothing. Requests
//! of programs under way are refused only at the limit, and may use a part of what the count may be
//! wrong by. An entry that hears of no others lets few requests through.
//!
//! *Grounds:* what an entry knows of others is as old as the time between two messages, which is shorter
//! the more a team sends. What is let through too much in that time is missing later in the window.

use std::collections::VecDeque;
use std::ops::{AddAssign, SubAssign};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Requests, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All.
    pub requests: i64,
    /// Those with which a program begins.
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
    /// What is more here than in `other`.
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
    /// A program begins with it.
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
    /// Span over which they are counted.
    pub window: Duration,
    /// By which part of the limit the count may be wrong.
    pub tolerance_share: f64,
    /// By how many requests it may be wrong besides.
    pub tolerance_requests: f64,
    /// Part of what the count may be wrong by that programs under way may use.
    pub lent_share: f64,
    /// Requests of a program, where none was seen yet.
    pub requests_per_program: f64,
    /// Programs for which that guess counts.
    pub prior_programs: f64,
    /// Requests that an entry lets through before it has heard of others again.
    pub max_unsynced: i64,
    /// The same as a part of the limit, where that is more.
    pub max_unsynced_share: f64,
    /// Part of the limit that an entry lets through before it tells of it.
    pub report_share: f64,
    /// Part of what is left of the limit that an entry lets through unheard.
    pub max_unsynced_left_share: f64,
    /// Requests that an entry lets through before it has heard of others for the first time.
    pub max_before_first_sync: i64,
    /// Part of the limit from which on what is let through is told at once.
    pub busy_share: f64,
    /// Shortest time after which a refused caller is asked to return.
    pub min_retry_after: Duration,
    /// Longest such time.
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

    /// Requests that an entry lets through unheard while `left` are left of the limit. Others do so too.
    fn unsynced_limit(&self, limit: Limit, left: f64) -> i64 {
        let most = self.allowed(limit) * self.max_unsynced_share;
        let share = (left * self.max_unsynced_left_share) as i64;
        self.max_unsynced.max(most as i64).min(share.max(1))
    }

    /// Requests that an entry lets through before it tells of them, while much of the limit is left.
    ///
    /// *Failure:* a small team's requests came in through all entries, and each told of four together.
    /// What nobody had told of yet was half of the limit.
    fn report_threshold(&self, limit: Limit) -> i64 {
        let part = (self.allowed(limit) * self.report_share) as i64;
        part.clamp(1, self.max_unsynced / 4)
    }

    /// Requests that a program needs, of a team that had sent `counts` before the last window. Programs
    /// that began later are not through.
    fn program_need(&self, counts: Counts) -> f64 {
        let requests = counts.requests as f64 + self.requests_per_program * self.prior_programs;
        requests / (counts.begins as f64 + self.prior_programs)
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It may run.
    Admitted,
    /// It may not; its caller may return after this time.
    Refused(Duration),
}

/// Requests by the time at which they ran, within a window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    /// Start of each slot, oldest first, and requests in it.
    buckets: VecDeque<(Duration, Counts)>,
    sum: Counts,
}

/// Slots of a window.
const BUCKETS: u32 = 50;

impl SlidingWindow {
    /// Adds requests that ran at `now`.
    pub fn add(&mut self, counts: Counts, now: Duration, window: Duration) {
        self.sum += counts;
        match self.buckets.back_mut() {
            Some((start, known)) if now < *start + window / BUCKETS => *known += counts,
            _ => self.buckets.push_back((now, counts)),
        }
    }

    /// Requests in the window that ends at `now`. A slot counts until the last of its requests is out.
    pub fn in_window(&mut self, now: Duration, window: Duration) -> Counts {
        let kept = window + window / BUCKETS;
        while let Some((_, counts)) = self.buckets.pop_front_if(|(start, _)| *start + kept <= now) {
            self.sum -= counts;
        }
        self.sum
    }

    /// Time until so many that `of` counts are out of the window.
    fn time_until_expired(
        &self,
        wanted: f64,
        of: impl Fn(&Counts) -> i64,
        now: Duration,
        window: Duration,
    ) -> Option<Duration> {
        let mut gone = 0;
        for (start, counts) in &self.buckets {
            gone += of(counts);
            if gone as f64 >= wanted {
                return Some((*start + window + window / BUCKETS).saturating_sub(now));
            }
        }
        None
    }
}

/// What an entry tells of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that it has let through since it started.
    pub total: Counts,
    /// Of these, those in the last window.
    pub recent: Counts,
    /// The window.
    pub window: Duration,
}

/// What a replica tells of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests of all entries in the last window.
    pub recent: Counts,
    /// What the asker told when it was counted.
    pub reported: Counts,
    /// For how long the replica has counted.
    pub counted_for: Duration,
}

/// What an entry has to do about a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncNeed {
    /// Nothing.
    Nothing,
    /// Hear of the others, from one replica: little is left, and others may have used it.
    Query,
    /// Tell all replicas: nothing is known of others, much was let through since, or little is left.
    Report,
}

/// What an account knows of the requests that ran before it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PriorUsage {
    /// Nothing yet. Others are asked.
    #[default]
    NotSynced,
    /// Those that ran within a window up to this time are counted only in part.
    PartialUntil(Duration),
}

/// One team's account at one entry.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Requests in the window, of all entries as far as is known.
    all: SlidingWindow,
    /// Requests in the window, of this entry.
    own: SlidingWindow,
    /// Requests that this entry has let through.
    total: Counts,
    /// Of these, how many were let through since it heard of the others.
    unsynced: i64,
    /// What is known of the time before it was made.
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

    /// How long a request has to wait until the limit allows it; `None` if it does.
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
        let gone = |wanted, of: fn(&Counts) -> i64| {
            let after = self.all.time_until_expired(wanted, of, now, options.window);
            Some(after.unwrap_or(options.max_retry_after))
        };
        if counted > bound {
            return gone(counted - bound, |counts| counts.requests);
        }
        if self.unsynced >= options.unsynced_limit(limit, bound - counted) {
            return Some(options.min_retry_after);
        }
        let mut before = self.total;
        before -= self.own.in_window(now, options.window);
        let programs = (allowed / options.program_need(before)).max(1.0);
        let begins = recent.begins as f64 + 1.0;
        if stage == Stage::Begins && begins > programs {
            return gone(begins - programs, |counts| counts.begins);
        }
        None
    }

    /// Requests that may have run before anybody counted: as many as the team may send.
    ///
    /// *Failure:* all power was lost, and with it all counts. Within a window of it teams could send
    /// as much again as they had sent before.
    fn uncounted(&self, limit: Limit, now: Duration, options: &Options) -> f64 {
        let PriorUsage::PartialUntil(until) = self.prior else {
            return 0.0;
        };
        let part = until.saturating_sub(now).div_duration_f64(options.window);
        options.allowed(limit) * part
    }

    /// Whether others have to be told or heard before the next turn does it.
    pub fn required_sync(&mut self, limit: Limit, now: Duration, options: &Options) -> SyncNeed {
        let recent = self.all.in_window(now, options.window);
        let is_busy = recent.requests as f64 > options.allowed(limit) * options.busy_share;
        let is_used = self.own.in_window(now, options.window).requests > 0;
        let many = self.unsynced >= options.report_threshold(limit);
        let has_news = many || (is_busy && self.unsynced != 0);
        if has_news || self.prior == PriorUsage::NotSynced {
            SyncNeed::Report
        } else if is_busy && is_used {
            SyncNeed::Query
        } else {
            SyncNeed::Nothing
        }
    }

    /// A request runs once more.
    pub fn charge(&mut self, stage: Stage, now: Duration, options: &Options) {
        let counts = stage.count();
        self.unsynced += counts.requests;
        self.adjust(counts, now, options);
    }

    /// A request that was let through has not run.
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

    /// What this entry tells of the team.
    pub fn report(&mut self, now: Duration, options: &Options) -> Report {
        Report {
            total: self.total,
            recent: self.own.in_window(now, options.window),
            window: options.window,
        }
    }

    /// What a replica has told by `now`.
    pub fn merge(&mut self, heard: &Summary, now: Duration, options: &Options) {
        let mut untold = self.total;
        untold -= heard.reported;
        self.unsynced = untold.requests;
        let mut all = heard.recent;
        all += untold;
        let known = self.all.in_window(now, options.window);
        self.all.add(all.beyond(known), now, options.window);
        if self.prior == PriorUsage::NotSynced {
            let unknown = options.window.saturating_sub(heard.counted_for);
            self.prior = PriorUsage::PartialUntil(now + unknown);
        }
    }
}

/// What a replica counts of one team.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    recent: SlidingWindow,
    /// What each entry told last, and when.
    entries: Vec<(u32, Counts, Duration)>,
}

/// Entries remembered of a team; beyond that the one not heard of for longest is forgotten.
const MAX_ENTRIES: usize = 512;

impl Aggregate {
    /// Counts what `entry` tells; `counted` is how long the replica has counted by `now`.
    pub fn exchange(&mut self, entry: u32, told: &Report, now: Duration) -> Summary {
        let more = match self.entries.iter_mut().find(|(known, ..)| *known == entry) {
            Some((_, last, at)) => {
                let more = told.total.beyond(*last);
                *last += more;
                *at = now;
                more
            }
            None => {
                self.insert(entry, told.total, now);
                // It was heard of by others, or by a former start of this replica.
                told.recent
            }
        };
        self.recent.add(more, now, told.window);
        Summary {
            recent: self.recent.in_window(now, told.window),
            reported: told.total,
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
