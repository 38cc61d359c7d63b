//! Requests that have crashed upstreams, as known to this entry and to the others.
//!
//! An entry reports a crash to all others before the request is tried again or answered, and
//! compares its record with some of them at each exchange of statuses. Evidence merges in any order,
//! so a report that arrives late or twice does no harm. An entry that has started compares its record
//! before it runs the first turn. The record is lost only if all entries are restarted at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use fw_base::id;
use fw_plan::quarantine;
use fw_wire::peer;
use fw_wire::transport;
use parking_lot::Mutex;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

use super::entry;
use super::peers;

/// Counter of events of the quarantine, by event.
pub const SUSPECTS: &str = "fw_entry_suspects_total";

/// Longest wait for the other entries to confirm a crash: a caller waits meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait of the first turns for the record of another entry; one that has no other entries never
/// receives it.
const SYNC_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of crashes, one after the other, from which a request is refused. A suspect runs alone in
/// its engine, so the second crash identifies it.
const CRASH_LIMIT: quarantine::Weight = 2;

/// An attempt at a turn, as far as quarantine depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Its id, which identifies a crash under it.
    pub id: id::AttemptId,
    /// The upstream that ran it.
    pub upstream: &'a id::UpstreamId,
    /// Weight of the evidence that was known when it was placed.
    pub known: quarantine::Weight,
}

/// This entry's record of crashes.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<quarantine::Table>,
    /// The upstream that crashed last under each suspect, of the crashes that this entry saw.
    last_crashed: Mutex<HashMap<quarantine::Fingerprint, id::UpstreamId>>,
    /// Whether the record was compared with that of another entry, or waiting for that was given up.
    synced: watch::Sender<bool>,
}

impl Default for Suspects {
    fn default() -> Self {
        let options = quarantine::Options {
            weight_limit: CRASH_LIMIT * quarantine::CRASH_WEIGHT,
            ..quarantine::Options::default()
        };
        Self {
            table: Mutex::new(quarantine::Table::new(options)),
            last_crashed: Mutex::default(),
            synced: watch::Sender::new(false),
        }
    }
}

impl Suspects {
    /// Whether the record was compared with that of another entry, or waiting for that was given up.
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow()
    }

    /// Records that the record was compared with that of another entry.
    pub fn mark_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Waits until the record was compared with that of another entry, on an entry that has just started.
    pub async fn await_synced(&self) {
        if self.is_synced() {
            return;
        }
        let mut synced = self.synced.subscribe();
        let compared = synced.wait_for(|synced| *synced);
        if tokio::time::timeout(SYNC_TIMEOUT, compared).await.is_err() {
            info!("no other entry has sent its crash evidence; going by this entry's own");
            self.mark_synced();
        }
    }

    /// How the request with `fingerprint` may run.
    pub fn decide(
        &self,
        now: Duration,
        fingerprint: &quarantine::Fingerprint,
    ) -> quarantine::Outcome {
        let outcome = self.table.lock().decide(now, fingerprint);
        if let quarantine::Outcome::Refused { retry_after } = outcome {
            count("refused");
            info!(%fingerprint, left_ms = retry_after.as_millis() as u64, "request refused by quarantine");
        }
        outcome
    }

    /// Weight of the evidence against the request with `fingerprint`.
    pub fn weight(
        &self,
        now: Duration,
        fingerprint: &quarantine::Fingerprint,
    ) -> quarantine::Weight {
        self.table.lock().weight(now, fingerprint)
    }

    /// Records that an upstream crashed under `attempt`; returns what is known of the request.
    pub fn record_crash(
        &self,
        now: Duration,
        fingerprint: quarantine::Fingerprint,
        team: &id::TeamId,
        attempt: Attempt<'_>,
    ) -> quarantine::Suspect {
        count("crash");
        let owner = quarantine::owner(Some(team));
        let failure = quarantine::Failure::crash(attempt.known);
        let mut table = self.table.lock();
        let suspect = table.record_failure(now, fingerprint, owner, attempt.id, failure);
        let mut last_crashed = self.last_crashed.lock();
        last_crashed.retain(|fingerprint, _| table.weight(now, fingerprint) > 0);
        last_crashed.insert(fingerprint, attempt.upstream.clone());
        suspect
    }

    /// The upstream that a suspect should not run on again, so that its next crash speaks against the
    /// request and not against that upstream.
    pub fn upstream_to_avoid(
        &self,
        now: Duration,
        fingerprint: &quarantine::Fingerprint,
    ) -> Option<id::UpstreamId> {
        let is_suspect = self.weight(now, fingerprint) > 0;
        let upstream = self.last_crashed.lock().get(fingerprint).cloned();
        upstream.filter(|_| is_suspect)
    }

    /// Records that the request with `fingerprint` completed. Returns what is known of it, if that lifts a
    /// suspicion.
    pub fn record_success(
        &self,
        now: Duration,
        fingerprint: &quarantine::Fingerprint,
    ) -> Option<quarantine::Suspect> {
        let lifted = self.table.lock().record_success(now, fingerprint)?;
        count("lifted");
        info!(%fingerprint, "suspicion lifted: the request completed");
        Some(lifted)
    }

    /// Adds what another entry knows.
    pub fn merge(&self, now: Duration, suspect: &quarantine::Suspect) {
        if !self.table.lock().merge(now, suspect) {
            return;
        }
        info!(
            fingerprint = %suspect.fingerprint,
            weight = suspect.evidence.weight(),
            failures = suspect.evidence.failures(),
            age_ms = suspect.age.as_millis() as u64,
            "crash evidence received from another entry"
        );
    }

    /// The whole record.
    pub fn all(&self, now: Duration) -> Vec<quarantine::Suspect> {
        self.table.lock().live(now)
    }

    /// Digest of the record, equal at entries that know the same.
    pub fn digest(&self, now: Duration) -> u64 {
        self.table.lock().digest(now)
    }
}

/// Reports `suspect` to all other entries. Returns once all have confirmed it, or [`REPORT_TIMEOUT`] has
/// passed; those that are late or away learn it at an exchange.
pub async fn report(entry: &Arc<entry::Entry>, suspect: quarantine::Suspect) {
    let fingerprint = suspect.fingerprint;
    let reports = spawn_reports(entry, &suspect);
    let confirmed = tokio::time::timeout(REPORT_TIMEOUT, future::join_all(reports)).await;
    if confirmed.is_err() {
        warn!(%fingerprint, "not all entries have confirmed crash evidence in time");
    }
}

/// Reports `suspect` to all other entries in the background.
pub fn spawn_reports(
    entry: &Arc<entry::Entry>,
    suspect: &quarantine::Suspect,
) -> Vec<tokio::task::JoinHandle<()>> {
    let others = peers::other_entries(entry).into_iter();
    let others = others.filter(|(id, _)| entry.peer_list.shares_suspects(id));
    others
        .map(|(_, addr)| {
            let (entry, suspect) = (Arc::clone(entry), suspect.clone());
            tokio::spawn(async move {
                let cx = transport::context(entry.settings.upstream.connect_timeout);
                let call = |client: peer::PeerClient| async move {
                    client.report_suspect(cx, suspect).await
                };
                if let Err(failure) = entry.peers.call(addr, call).await {
                    info!(%addr, ?failure, "an entry did not confirm crash evidence");
                }
            })
        })
        .collect()
}

/// Exchanges the whole record with the entry at `addr`.
pub async fn exchange(entry: &entry::Entry, addr: std::net::SocketAddr) {
    let known = entry.suspects.all(entry.now());
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: peer::PeerClient| async move { client.exchange_suspects(cx, known).await };
    match entry.peers.call(addr, call).await {
        Ok(theirs) => {
            let now = entry.now();
            for suspect in &theirs {
                entry.suspects.merge(now, suspect);
            }
            entry.suspects.mark_synced();
        }
        // Tried again at the next exchange of statuses.
        Err(failure) => info!(%addr, ?failure, "crash evidence could not be exchanged"),
    }
}

fn count(event: &'static str) {
    metrics::counter!(SUSPECTS, "event" => event).increment(1);
}
