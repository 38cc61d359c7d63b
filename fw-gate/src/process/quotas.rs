//! The teams' accounts at this entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use fw_base::{error, id};
use fw_plan::quota;
use fw_replica::service;
use parking_lot::{Mutex, MutexGuard};
use xxhash_rust::xxh3;

use crate::request::call;
use crate::version::team;

/// Locks among which the accounts are spread.
const SHARDS: usize = 16;

type Accounts = HashMap<id::TeamId, quota::Account>;

/// Teams about which something has to be done.
#[derive(Debug, Default)]
pub struct Due {
    /// One replica is asked about these.
    pub query: Vec<service::Spent>,
    /// All replicas are told of these.
    pub report: Vec<service::Spent>,
}

/// All accounts.
#[derive(Debug)]
pub struct Quotas {
    options: quota::Options,
    started: Instant,
    shards: [Mutex<Accounts>; SHARDS],
}

impl Quotas {
    /// No team has sent anything yet.
    pub fn new(options: quota::Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            started: Instant::now(),
            shards: Default::default(),
        })
    }

    /// Takes a request from the account of its team; `None` if that has no `limit`.
    ///
    /// # Errors
    ///
    /// `QuotaExceeded`, with the time at which a request like this one may run.
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

    /// What this entry has let through of `team`, for the others.
    pub fn team_usage(&self, team: &id::TeamId) -> Option<service::Spent> {
        let mut accounts = self.shard(team);
        let account = accounts.get_mut(team)?;
        Some(self.usage(team, account))
    }

    /// What this entry has let through of those of `teams` about which the others have to be told or
    /// heard now.
    pub fn due(&self, teams: &[team::Team]) -> Due {
        let now = self.now();
        let mut due = Due::default();
        for team in teams {
            let Some(limit) = team.quota else { continue };
            let mut accounts = self.shard(&team.name);
            let Some(account) = accounts.get_mut(&team.name) else {
                continue;
            };
            match account.due(limit, now, &self.options) {
                quota::Due::Nothing => {}
                quota::Due::Ask => due.query.push(self.usage(&team.name, account)),
                quota::Due::Tell => due.report.push(self.usage(&team.name, account)),
            }
        }
        due
    }

    fn usage(&self, team: &id::TeamId, account: &mut quota::Account) -> service::Spent {
        service::Spent {
            team: team.clone(),
            told: account.tell(self.now(), &self.options),
        }
    }

    /// What a replica knows of `team`.
    pub fn merge(&self, team: &id::TeamId, summary: &quota::Heard) {
        let now = self.now();
        if let Some(account) = self.shard(team).get_mut(team) {
            account.heard(summary, now, &self.options);
        }
    }

    fn shard(&self, team: &id::TeamId) -> MutexGuard<'_, Accounts> {
        let at = xxh3::xxh3_64(team.as_bytes()) as usize % SHARDS;
        self.shards[at].lock()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A request of `team` runs once more.
    fn charge(&self, team: &id::TeamId) {
        if let Some(account) = self.shard(team).get_mut(team) {
            account.charge(quota::Stage::GoesOn, self.now(), &self.options);
        }
    }

    /// A request of `team` has not run.
    fn refund(&self, team: &id::TeamId, stage: quota::Stage) {
        if let Some(account) = self.shard(team).get_mut(team) {
            account.refund(stage, self.now(), &self.options);
        }
    }
}

/// A request that was taken from its team's account. Given back when dropped, unless it ran.
#[derive(Debug)]
pub struct Permit {
    quotas: Arc<Quotas>,
    team: id::TeamId,
    stage: quota::Stage,
    /// How often it ran, or may have.
    runs: AtomicU32,
}

impl Permit {
    /// The request is sent to an upstream.
    pub fn sent(&self) {
        if self.runs.fetch_add(1, Ordering::Relaxed) > 0 {
            self.quotas.charge(&self.team);
        }
    }

    /// The request that was sent has not run.
    pub fn not_run(&self) {
        if self.runs.fetch_sub(1, Ordering::Relaxed) > 1 {
            self.quotas.refund(&self.team, quota::Stage::GoesOn);
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
