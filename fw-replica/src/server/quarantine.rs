//! Requests that have crashed upstreams: reported by entries, served to all others.

use std::time::{Duration, Instant};

use fw_plan::quarantine;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::Shared;
use crate::{record, service};

/// The replica's record of crashes, and the claims that it has granted.
#[derive(Debug)]
pub(super) struct Quarantine {
    /// Identifies this start of the replica.
    run: u64,
    started: Instant,
    options: quarantine::Options,
    table: Mutex<quarantine::Table>,
    claims: Mutex<quarantine::Claims>,
    /// Number of the last change.
    version: watch::Sender<quarantine::Version>,
}

/// A change of what is known of a request.
#[derive(Clone, Copy, Debug)]
struct Change {
    was_quarantined: bool,
    is_quarantined: bool,
}

impl Quarantine {
    /// No crash has been reported yet.
    pub(super) fn new(run: u64) -> Self {
        let options = quarantine::Options::default();
        Self {
            run,
            started: Instant::now(),
            table: Mutex::new(quarantine::Table::new(options.clone())),
            options,
            claims: Mutex::default(),
            version: watch::Sender::default(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds what the journal holds; `now` is the current wall-clock time.
    pub(super) fn restore(&self, stored: &record::Quarantine, now: record::UnixMs) {
        let since = Duration::from_millis(now.saturating_sub(stored.written));
        for suspect in &stored.suspects {
            self.merge(&quarantine::Suspect {
                age: suspect.age + since,
                ..suspect.clone()
            });
        }
    }

    /// Adds what an entry knows, and wakes those that wait for a change. Returns what has changed, if
    /// anything.
    fn merge(&self, suspect: &quarantine::Suspect) -> Option<Change> {
        let mut table = self.table.lock();
        let was_quarantined = table.is_quarantined(&suspect.fingerprint);
        if !table.merge(self.now(), suspect) {
            return None;
        }
        let is_quarantined = table.is_quarantined(&suspect.fingerprint);
        // Before the lock is released, so that versions are announced in their order.
        self.version.send_replace(table.version());
        Some(Change {
            was_quarantined,
            is_quarantined,
        })
    }

    /// The journal record of all requests in quarantine.
    fn to_record(&self) -> record::Record {
        record::Record::Quarantine(record::Quarantine {
            suspects: self.table.lock().quarantined(self.now()),
            written: super::unix_ms(),
        })
    }

    /// Grants an attempt, unless another is under way or the request is refused by what is known here.
    pub(super) fn claim(&self, req: &service::ClaimAttempt) -> service::ClaimReply {
        self.merge(&req.suspect);
        let fingerprint = req.suspect.fingerprint;
        let now = self.now();
        let (outcome, suspect) = {
            let table = self.table.lock();
            let outcome = table.decide(now, &fingerprint);
            (outcome, table.get(now, &fingerprint))
        };
        let is_refused = matches!(outcome, quarantine::Outcome::Refused { .. });
        let ttl = self.options.claim_ttl;
        let mut claims = self.claims.lock();
        let granted = !is_refused && claims.claim(now, fingerprint, req.holder, ttl);
        service::ClaimReply { granted, suspect }
    }

    /// What has changed after a position; waits up to `wait` for a change. A position of a former start is
    /// answered at once: the sender may know what this start lacks.
    pub(super) async fn poll(
        &self,
        after: service::Position,
        wait: Duration,
    ) -> service::SuspectPage {
        let is_current = after.run == self.run;
        let known = if is_current { after.read } else { 0 };
        if is_current {
            let mut version = self.version.subscribe();
            let has_changed = |version: &quarantine::Version| *version > known;
            // After a timeout the page is empty.
            let _ = tokio::time::timeout(wait, version.wait_for(has_changed)).await;
        }
        let table = self.table.lock();
        service::SuspectPage {
            next: service::Position {
                run: self.run,
                read: table.version(),
            },
            suspects: table.changed_since(self.now(), known),
        }
    }
}

impl Shared {
    /// Records the outcome of an attempt; a request in quarantine is on disk when this returns, unless
    /// the disk refuses it.
    pub(super) async fn report_attempt(&self, req: &service::ReportAttempt) {
        let change = self.quarantine.merge(&req.suspect);
        if let Some(holder) = req.release {
            let mut claims = self.quarantine.claims.lock();
            claims.release(&req.suspect.fingerprint, holder);
        }
        let Some(change) = change else {
            return;
        };
        let suspect = &req.suspect;
        tracing::info!(
            fingerprint = %suspect.fingerprint,
            weight = suspect.evidence.weight(),
            failures = suspect.evidence.failures(),
            quarantined = change.is_quarantined,
            "crash evidence of a request has changed"
        );
        let is_stored = change.was_quarantined || change.is_quarantined;
        if is_stored && !self.write(self.quarantine.to_record()).await {
            tracing::warn!(fingerprint = %suspect.fingerprint, "a quarantine could not be stored on disk");
        }
    }
}
