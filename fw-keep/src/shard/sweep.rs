//! Deletes programs and claims whose retention is over.

use std::time::Duration;

use crate::claim;
use crate::journal::Entry;
use crate::program;
use crate::program::Program;
use crate::shard::Shard;

/// Retention of programs and claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Time from a program's end to its deletion.
    pub ended: Duration,
    /// Time from the last use of a program that was not ended to its deletion.
    pub idle: Duration,
    /// Time from a claim's last change to its deletion.
    pub claim: Duration,
    /// Time without an outcome after which the holder of an open claim is presumed to have failed.
    pub open_claim: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        const HOUR: Duration = Duration::from_secs(3600);
        Self {
            ended: HOUR,
            idle: 24 * HOUR,
            claim: 24 * HOUR,
            open_claim: HOUR / 12,
        }
    }
}

impl Shard {
    /// Deletes programs and claims whose retention is over.
    pub fn sweep(&mut self, now: Duration) {
        self.sweep_programs(now);
        self.sweep_claims(now);
    }

    fn sweep_programs(&mut self, now: Duration) {
        let retention = self.retention;
        let is_expired = |state: &Program| {
            let age = now.saturating_sub(state.last_used_at());
            match state.status() {
                program::Status::Running => false,
                program::Status::Ended => age > retention.ended,
                program::Status::Idle => age > retention.idle,
            }
        };
        let expired = self.programs.iter().filter(|(_, state)| is_expired(state));
        let expired: Vec<_> = expired.map(|(program, _)| program.clone()).collect();
        for program in expired {
            self.programs.remove(&program);
            self.push(Entry::Forget { program });
        }
    }

    fn sweep_claims(&mut self, now: Duration) {
        let retention = self.retention.claim;
        let is_expired = |claim: &claim::Claim| now.saturating_sub(claim.since) > retention;
        let expired = self.claims.iter().filter(|(_, claim)| is_expired(claim));
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.claims.remove(&key);
            self.push(Entry::Free { key });
        }
    }
}
