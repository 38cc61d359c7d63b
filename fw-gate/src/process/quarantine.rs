//! Requests that have crashed upstreams, as known to this entry, and permits for their attempts.
//!
//! Crashes are reported to the replicas, whose records all entries follow. An entry that no replica
//! answers goes by its own record.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future;
use futures_util::stream::FuturesUnordered;
use fw_base::error;
use fw_plan::quarantine;
use fw_replica::{client, member, service};
use hyper::StatusCode;
use parking_lot::Mutex;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time;

use super::gate;
use crate::request::call;

/// How long a replica holds a poll without a change.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed poll.
const POLL_RETRY: Duration = Duration::from_millis(100);
/// Interval at which the member list is checked for members that are not polled yet.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for the attempt of another copy of the request to end. Most plain requests end sooner.
const BUSY_WAIT: Duration = Duration::from_millis(400);
/// Shortest pause before the attempt is claimed again, and the span over which pauses are spread.
const BUSY_PAUSE: Duration = Duration::from_millis(20);
/// When a caller should retry whose request another copy kept waiting for too long.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request, as far as quarantine depends on it.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Id of the caller's attempt, for log lines.
    request: SmolStr,
    /// Its fingerprints, from the path to the whole request.
    identity: quarantine::Identity,
    /// The team that its records are charged to.
    owner: quarantine::OwnerId,
    /// Path, for log lines.
    path: SmolStr,
    /// The turn that it continues, for log lines.
    previous: Option<SmolStr>,
}

impl Subject {
    /// The request of `call` to `path`.
    pub fn new(call: &call::Call, identity: quarantine::Identity, path: &str) -> Self {
        Self {
            request: call.id.clone(),
            identity,
            owner: quarantine::owner(call.team.as_ref()),
            path: path.into(),
            previous: call.previous.clone(),
        }
    }
}

/// This entry's record of crashes.
#[derive(Debug)]
pub struct Quarantine {
    replicas: Arc<client::Client>,
    faults: usize,
    started: Instant,
    options: quarantine::Options,
    table: Mutex<quarantine::Table>,
    /// Claims among the requests of this entry.
    claims: Mutex<quarantine::Claims>,
    /// Whether a majority of the replicas has sent its record.
    synced: watch::Sender<bool>,
}

/// Why an attempt is not permitted.
enum Denial {
    /// Another copy of the request is being tried.
    Busy,
    /// The request is refused.
    Refused(error::Error),
}

impl Quarantine {
    /// Creates an empty record that follows those of `replicas`, of which `faults` may lose their disks
    /// together.
    pub fn new(replicas: Arc<client::Client>, faults: usize) -> Arc<Self> {
        let options = quarantine::Options::default();
        Arc::new(Self {
            replicas,
            faults,
            started: Instant::now(),
            table: Mutex::new(quarantine::Table::new(options.clone())),
            options,
            claims: Mutex::default(),
            synced: watch::Sender::new(false),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Permits one attempt. A request that has crashed upstreams waits until no other copy of it is being
    /// tried, and not beyond its deadline `until`.
    ///
    /// # Errors
    ///
    /// `CrashQuarantine` when it is refused, or another copy is tried for too long.
    pub async fn permit(
        self: &Arc<Self>,
        subject: &Subject,
        until: time::Instant,
    ) -> Result<Permit, error::Error> {
        self.await_synced().await;
        let wait_until = until.min(time::Instant::now() + BUSY_WAIT);
        loop {
            match self.try_permit(subject).await {
                Ok(permit) => return Ok(permit),
                Err(Denial::Refused(err)) => return Err(err),
                Err(Denial::Busy) if time::Instant::now() >= wait_until => {
                    return Err(self.refuse(subject, "busy", None, BUSY_RETRY_AFTER));
                }
                Err(Denial::Busy) => {}
            }
            let spread = BUSY_PAUSE.mul_f64(rand::rng().random());
            time::sleep(BUSY_PAUSE + spread).await;
        }
    }

    async fn try_permit(self: &Arc<Self>, subject: &Subject) -> Result<Permit, Denial> {
        let exclusive = self.decide(subject)?;
        let mut permit = self.new_permit(subject);
        if exclusive.is_empty() {
            return Ok(permit);
        }
        // From here on, dropping the permit releases its claims.
        let claims = self.claim_locally(&mut permit, &exclusive)?;
        let claims = claims
            .into_iter()
            .map(|claim| self.replicas.claim_attempt(claim));
        let outcomes = future::join_all(claims).await;
        let known = outcomes.iter().flat_map(|outcome| &outcome.known);
        known.for_each(|known| self.merge(known));
        let exclusive = self.decide(subject)?;
        if exclusive
            .iter()
            .any(|needed| !permit.claimed.contains(needed))
        {
            return Err(Denial::Busy);
        }
        permit.known = self.weights(subject);
        permit.failed_at = self.failed_upstreams(subject);
        let decision = client::Decision::all(outcomes.iter().map(|outcome| outcome.decision));
        tracing::info!(
            request = %subject.request,
            fingerprint = %subject.identity.request,
            weights = ?permit.known,
            ?decision,
            "attempt of a request that has crashed upstreams"
        );
        match decision {
            client::Decision::Denied => Err(Denial::Busy),
            client::Decision::Granted => Ok(permit),
            client::Decision::Unavailable => {
                count("alone");
                Ok(permit)
            }
        }
    }

    /// Claims the single attempt of each of the records `exclusive` among the requests of this entry, and
    /// returns the claims to be made at the replicas.
    fn claim_locally(
        &self,
        permit: &mut Permit,
        exclusive: &[quarantine::Fingerprint],
    ) -> Result<Vec<service::ClaimAttempt>, Denial> {
        let now = self.now();
        let (holder, ttl) = (permit.holder, self.options.claim_ttl);
        if !self.claims.lock().claim_all(now, exclusive, holder, ttl) {
            return Err(Denial::Busy);
        }
        permit.claimed = exclusive.to_vec();
        let table = self.table.lock();
        let suspects = exclusive.iter();
        let suspects = suspects.filter_map(|fingerprint| table.get(now, fingerprint));
        Ok(suspects
            .map(|suspect| service::ClaimAttempt { holder, suspect })
            .collect())
    }

    /// Decides by this entry's record whether the request may run; returns the records that permit one attempt
    /// at a time.
    fn decide(&self, subject: &Subject) -> Result<Vec<quarantine::Fingerprint>, Denial> {
        let now = self.now();
        let permission = self.table.lock().permission(now, &subject.identity);
        match permission {
            quarantine::Permission::Attempt { exclusive } => Ok(exclusive),
            quarantine::Permission::Refused { level, retry_after } => {
                let err = self.refuse(subject, "refused", Some(level), retry_after);
                Err(Denial::Refused(err))
            }
        }
    }

    fn refuse(
        &self,
        subject: &Subject,
        event: &'static str,
        level: Option<quarantine::Level>,
        after: Duration,
    ) -> error::Error {
        count(event);
        tracing::info!(
            request = %subject.request,
            fingerprint = %subject.identity.request,
            body_fingerprint = %subject.identity.body,
            path_fingerprint = %subject.identity.path,
            path = %subject.path,
            previous = subject.previous.as_deref(),
            event,
            ?level,
            left_ms = after.as_millis() as u64,
            "request refused by quarantine"
        );
        let message = "requests like this one crashed the upstreams that ran them";
        error::Error::new(error::Kind::CrashQuarantine, message).with_retry_after(after)
    }

    fn new_permit(self: &Arc<Self>, subject: &Subject) -> Permit {
        Permit {
            known: self.weights(subject),
            quarantine: Arc::clone(self),
            subject: subject.clone(),
            holder: rand::random(),
            claimed: Vec::new(),
            failed_at: Vec::new(),
        }
    }

    fn failed_upstreams(&self, subject: &Subject) -> Vec<quarantine::UpstreamHash> {
        let now = self.now();
        self.table.lock().failed_upstreams(now, &subject.identity)
    }

    fn weights(&self, subject: &Subject) -> quarantine::Weights {
        let now = self.now();
        self.table.lock().weights(now, &subject.identity)
    }

    /// Adds what a replica knows.
    fn merge(&self, suspect: &quarantine::Suspect) {
        let now = self.now();
        let mut table = self.table.lock();
        if !table.merge(now, suspect) {
            return;
        }
        let outcome = table.decide(now, &suspect.fingerprint);
        drop(table);
        tracing::info!(
            fingerprint = %suspect.fingerprint,
            weight = suspect.evidence.weight(),
            failures = suspect.evidence.failures(),
            age_ms = suspect.age.as_millis() as u64,
            ?outcome,
            "crash evidence received from a replica"
        );
    }

    /// Waits until the record of crashes is known, on an entry that has just started.
    async fn await_synced(&self) {
        let left = gate::STARTUP_WAIT.saturating_sub(self.now());
        if *self.synced.borrow() || left.is_zero() {
            return;
        }
        let mut synced = self.synced.subscribe();
        // After a timeout the entry goes by what it knows.
        let _ = time::timeout(left, synced.wait_for(|synced| *synced)).await;
    }

    /// Follows the records of all replicas; never returns. All are polled, as a crash may have been
    /// reported to a majority that lacks the nearest.
    pub async fn follow(self: Arc<Self>) {
        let mut positions: HashMap<SocketAddr, service::Position> = HashMap::new();
        let mut polled: HashSet<SocketAddr> = HashSet::new();
        let mut polls = FuturesUnordered::new();
        loop {
            let members = self.replicas.member_addrs();
            positions.retain(|addr, _| members.contains(addr));
            for addr in &members {
                if polled.insert(*addr) {
                    polls.push(self.poll(*addr, positions.get(addr).copied()));
                }
            }
            if !*self.synced.borrow() {
                let majority = member::Quorum::of(members.len(), self.faults).vote;
                let is_synced = !members.is_empty() && positions.len() >= majority;
                self.synced.send_replace(is_synced);
            }
            if polls.is_empty() {
                time::sleep(BUSY_PAUSE).await;
                continue;
            }
            let next = time::timeout(MEMBER_CHECK_INTERVAL, polls.next()).await;
            let Ok(Some((addr, page))) = next else {
                continue;
            };
            polled.remove(&addr);
            if let Some(page) = page {
                let before = positions.insert(addr, page.next);
                page.suspects.iter().for_each(|known| self.merge(known));
                if before.is_none_or(|before| before.run != page.next.run) {
                    self.resend(addr, &page.suspects);
                }
            }
        }
    }

    /// Sends a replica that has started, and holds `stored`, what it lacks: it may have lost its disk, and
    /// keeps no mere suspicion over a restart.
    fn resend(&self, addr: SocketAddr, stored: &[quarantine::Suspect]) {
        let mut known = self.table.lock().changed_since(self.now(), 0);
        known.retain(|suspect| self.is_shared(suspect.evidence.weight()));
        let is_stored = |suspect: &quarantine::Suspect| {
            let mut stored = stored.iter();
            stored.any(|stored| {
                stored.fingerprint == suspect.fingerprint && stored.evidence == suspect.evidence
            })
        };
        for suspect in known.into_iter().filter(|suspect| !is_stored(suspect)) {
            let release = None;
            let report = service::ReportAttempt { suspect, release };
            self.replicas.spawn_report(addr, report);
        }
    }

    fn is_shared(&self, weight: quarantine::Weight) -> bool {
        self.table.lock().is_shared(weight)
    }

    /// Polls one replica; the first poll returns at once.
    async fn poll(
        &self,
        addr: SocketAddr,
        after: Option<service::Position>,
    ) -> (SocketAddr, Option<service::SuspectPage>) {
        let wait = after.map_or(Duration::ZERO, |_| POLL_WAIT);
        let after = after.unwrap_or_default();
        let page = self.replicas.poll_suspects(addr, after, wait).await;
        if page.is_none() {
            time::sleep(POLL_RETRY).await;
        }
        (addr, page)
    }
}

/// Permission for one attempt. Its claims, if it has any, end when this is dropped.
#[derive(Debug)]
pub struct Permit {
    quarantine: Arc<Quarantine>,
    subject: Subject,
    /// Weights of the evidence known when the attempt was permitted.
    known: quarantine::Weights,
    holder: quarantine::HolderId,
    /// Records whose single attempt this is.
    claimed: Vec<quarantine::Fingerprint>,
    /// Upstreams at which earlier attempts failed, if the request is a suspect.
    failed_at: Vec<quarantine::UpstreamHash>,
}

impl Permit {
    /// Upstreams at which the attempt should not be made if there is another.
    pub fn failed_at(&self) -> &[quarantine::UpstreamHash] {
        &self.failed_at
    }

    /// Records that an upstream crashed under the attempt, in place of a broken connection if that is recorded.
    /// Returns once a majority of the replicas knows, or does not answer in time: whoever sends the request again
    /// then meets the record.
    pub async fn record_crash(mut self, at: &quarantine::Incarnation) {
        count("crash");
        let reports = self.record_failure(at, quarantine::Failure::crash);
        tracing::warn!(
            request = %self.subject.request,
            upstream = %at.upstream,
            started_at = at.started_at,
            fingerprint = %self.subject.identity.request,
            body_fingerprint = %self.subject.identity.body,
            path_fingerprint = %self.subject.identity.path,
            path = %self.subject.path,
            previous = self.subject.previous.as_deref(),
            known = ?self.known,
            weights = ?weights(&reports),
            "upstream crashed while it ran the request"
        );
        let replicas = &self.quarantine.replicas;
        let reports = reports.iter().map(|report| replicas.report_attempt(report));
        future::join_all(reports).await;
    }

    /// Records that an upstream broke the connection but accepts another.
    pub fn record_broken(&mut self, at: &quarantine::Incarnation) {
        count("broken");
        let reports = self.record_failure(at, quarantine::Failure::broken_connection);
        tracing::info!(
            request = %self.subject.request,
            upstream = %at.upstream,
            started_at = at.started_at,
            fingerprint = %self.subject.identity.request,
            known = ?self.known,
            weights = ?weights(&reports),
            "connection broke, but the upstream accepts another"
        );
        for report in &reports {
            self.spawn_reports(report.suspect.evidence.weight(), report);
        }
    }

    /// Records a failure at this entry, and ends the claims; returns the reports for the replicas, from the
    /// coarsest to the finest level.
    fn record_failure(
        &mut self,
        at: &quarantine::Incarnation,
        failure: impl Fn(quarantine::Weight) -> quarantine::Failure,
    ) -> [service::ReportAttempt; quarantine::LEVELS] {
        let now = self.quarantine.now();
        let subject = &self.subject;
        let mut table = self.quarantine.table.lock();
        let before = table.weights(now, &subject.identity);
        let suspects = table.record_failure_at(
            now,
            &subject.identity,
            subject.owner,
            at,
            self.known.map(failure),
        );
        if table.weights(now, &subject.identity) == before {
            count("uncounted");
        }
        drop(table);
        suspects.map(|suspect| {
            let release = self.release_locally(&suspect.fingerprint);
            service::ReportAttempt { suspect, release }
        })
    }

    /// Records that the upstream answered the request completely with `status`.
    pub fn record_answer(mut self, status: StatusCode) {
        // A run that its deadline ended may not have come to the point at which it crashes.
        if status == StatusCode::GATEWAY_TIMEOUT {
            return;
        }
        let now = self.quarantine.now();
        let identity = self.subject.identity;
        let mut table = self.quarantine.table.lock();
        let lifted = table.record_success_at(now, &identity);
        drop(table);
        if lifted.is_empty() {
            return;
        }
        count("lifted");
        let weights: Vec<_> = lifted.iter().map(|lifted| lifted.weight).collect();
        tracing::info!(
            request = %self.subject.request,
            fingerprint = %identity.request,
            ?weights,
            "suspicion lifted: the request completed"
        );
        for quarantine::Lifted { weight, suspect } in lifted {
            let release = self.release_locally(&suspect.fingerprint);
            self.spawn_reports(weight, &service::ReportAttempt { suspect, release });
        }
    }

    /// Reports to the replicas in the background what others have to know of evidence of `weight`.
    fn spawn_reports(&self, weight: quarantine::Weight, report: &service::ReportAttempt) {
        if self.quarantine.is_shared(weight) || report.release.is_some() {
            self.quarantine.replicas.spawn_reports(report);
        }
    }

    /// Ends the claim on a record at this entry; returns its holder, to be released at the replicas.
    fn release_locally(
        &mut self,
        fingerprint: &quarantine::Fingerprint,
    ) -> Option<quarantine::HolderId> {
        let index = self
            .claimed
            .iter()
            .position(|claimed| claimed == fingerprint)?;
        self.claimed.swap_remove(index);
        let mut claims = self.quarantine.claims.lock();
        claims.release(fingerprint, self.holder);
        Some(self.holder)
    }
}

/// Weights of the evidence that is reported.
fn weights(reports: &[service::ReportAttempt]) -> Vec<quarantine::Weight> {
    let reports = reports.iter();
    reports
        .map(|report| report.suspect.evidence.weight())
        .collect()
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.quarantine.now();
        while let Some(fingerprint) = self.claimed.last().copied() {
            let release = self.release_locally(&fingerprint);
            let suspect = self.quarantine.table.lock().get(now, &fingerprint);
            if let Some(suspect) = suspect {
                let report = service::ReportAttempt { suspect, release };
                self.quarantine.replicas.spawn_reports(&report);
            }
        }
    }
}

fn count(event: &'static str) {
    metrics::counter!("fw_gate_quarantine_total", "event" => event).increment(1);
}
