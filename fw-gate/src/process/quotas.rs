//! The teams' request quotas: the accounts that this entry keeps.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use fw_base::{error, id};
use fw_plan::{quota, share};
use fw_replica::service;
use parking_lot::{Mutex, MutexGuard};
use xxhash_rust::xxh3;

use crate::request::call;
use crate::version::team;

/// Number of locks among which the accounts are spread.
const SHARDS: usize = 16;

type Accounts = HashMap<id::TeamId, quota::Account>;

/// This entry's usage of the teams whose accounts have to be synchronised with other entries now.
#[derive(Debug, Default)]
pub struct Due {
    /// Usage to send to one replica, to get the other entries' usage in return.
    pub query: Vec<service::TeamUsage>,
    /// Usage to report to all replicas.
    pub report: Vec<service::TeamUsage>,
}

/// The accounts of all teams.
#[derive(Debug)]
pub struct Quotas {
    options: quota::Options,
    started: Instant,
    shards: [Mutex<Accounts>; SHARDS],
}

impl Quotas {
    /// Creates the accounts; no team has sent a request yet.
    pub fn new(options: quota::Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            started: Instant::now(),
            shards: Default::default(),
        })
    }

    /// Charges a request to its team's account; `None` if the team has no `limit`.
    ///
    /// # Errors
    ///
    /// `QuotaExceeded`, with the time after which such a request is admitted.
    pub fn acquire(
        self: &Arc<Self>,
        call: &call::Call,
        limit: Option<quota::Limit>,
        stage: quota::Stage,
    ) -> Result<Option<Permit>, error::Error> {
        let (Some(team), Some(limit)) = (&call.team, limit) else {
            return Ok(None);
        };
        let now = self.now();
        let mut accounts = self.shard(team);
        let account = accounts.entry(team.clone()).or_default();
        match account.decide(limit, stage, now, &self.options) {
            quota::Outcome::Admitted => Ok(Some(Permit {
                quotas: Arc::clone(self),
                team: team.clone(),
                stage,
                runs: AtomicU32::new(0),
            })),
            quota::Outcome::Refused(after) => {
                let message = format!(
                    "team `{}` may send {} requests a second and {} at once",
                    team, limit.rate, limit.burst
                );
                let err = error::Error::new(error::Kind::QuotaExceeded, message);
                Err(err.with_retry_after(after))
            }
        }
    }

    /// The requests of `team` at all entries, in the window and in its `latest` part, as far as this entry
    /// knows; `None` if none has come through this entry.
    pub fn usage_of(&self, team: &id::TeamId, latest: Duration) -> Option<share::Usage> {
        let now = self.now();
        let mut accounts = self.shard(team);
        let account = accounts.get_mut(team)?;
        Some(account.usage(latest, now, &self.options))
    }

    /// The usage of `team` that this entry has admitted, to be reported to other entries.
    pub fn team_usage(&self, team: &id::TeamId) -> Option<service::TeamUsage> {
        let mut accounts = self.shard(team);
        let account = accounts.get_mut(team)?;
        Some(self.usage(team, account))
    }

    /// The usage that this entry has admitted, of those of `teams` whose usage has to be exchanged with other
    /// entries now.
    pub fn due(&self, teams: &[team::Team]) -> Due {
        let now = self.now();
        let mut due = Due::default();
        for team in teams {
            let Some(limit) = team.quota else { continue };
            let mut accounts = self.shard(&team.name);
            let Some(account) = accounts.get_mut(&team.name) else {
                continue;
            };
            match account.required_sync(limit, now, &self.options) {
                quota::SyncNeed::Nothing => {}
                quota::SyncNeed::Query => due.query.push(self.usage(&team.name, account)),
                quota::SyncNeed::Report => due.report.push(self.usage(&team.name, account)),
            }
        }
        due
    }

    fn usage(&self, team: &id::TeamId, account: &mut quota::Account) -> service::TeamUsage {
        service::TeamUsage {
            team: team.clone(),
            report: account.report(self.now(), &self.options),
        }
    }

    /// Merges a replica's `summary` of all entries' usage into the account of `team`.
    pub fn merge(&self, team: &id::TeamId, summary: &quota::Summary) {
        let now = self.now();
        if let Some(account) = self.shard(team).get_mut(team) {
            account.merge(summary, now, &self.options);
        }
    }

    fn shard(&self, team: &id::TeamId) -> MutexGuard<'_, Accounts> {
        let at = xxh3::xxh3_64(team.as_bytes()) as usize % SHARDS;
        self.shards[at].lock()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Charges a further run of a request of `team`.
    fn charge(&self, team: &id::TeamId) {
        if let Some(account) = self.shard(team).get_mut(team) {
            account.charge(quota::Stage::Continues, self.now(), &self.options);
        }
    }

    /// Refunds a request of `team` that has not run.
    fn refund(&self, team: &id::TeamId, stage: quota::Stage) {
        if let Some(account) = self.shard(team).get_mut(team) {
            account.refund(stage, self.now(), &self.options);
        }
    }
}

/// A request's charge to its team's account. Refunded when dropped, unless the request ran.
#[derive(Debug)]
pub struct Permit {
    quotas: Arc<Quotas>,
    team: id::TeamId,
    stage: quota::Stage,
    /// How often the request ran or may have run.
    runs: AtomicU32,
}

impl Permit {
    /// Records that the request is sent to an upstream.
    pub fn sent(&self) {
        if self.runs.fetch_add(1, Ordering::Relaxed) > 0 {
            self.quotas.charge(&self.team);
        }
    }

    /// Records that the request was sent but has not run.
    pub fn not_run(&self) {
        if self.runs.fetch_sub(1, Ordering::Relaxed) > 1 {
            self.quotas.refund(&self.team, quota::Stage::Continues);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if *self.runs.get_mut() == 0 {
            self.quotas.refund(&self.team, self.stage);
        }
    }
}
