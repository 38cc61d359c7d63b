//! Crash evidence of requests, and claims on their single attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use fw_plan::quarantine;

use super::{Client, RETRY_PAUSES};
use crate::{links, member, service};

/// Longest wait for a majority: a caller waits meanwhile, and without one the entry decides alone.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(150);

/// Decision about a claimed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A majority of the members has granted it.
    Granted,
    /// Another attempt is under way, or the request is refused.
    Denied,
    /// No majority has answered.
    Unavailable,
}

impl Decision {
    /// The decision about an attempt that needs all of several claims.
    pub fn all(decisions: impl IntoIterator<Item = Self>) -> Self {
        let mut all = Self::Granted;
        for decision in decisions {
            match decision {
                Self::Denied => return Self::Denied,
                Self::Unavailable => all = Self::Unavailable,
                Self::Granted => {}
            }
        }
        all
    }
}

/// Outcome of a claim.
#[derive(Clone, Debug)]
pub struct ClaimOutcome {
    /// The decision.
    pub decision: Decision,
    /// What the members that answered know of the request.
    pub known: Vec<quarantine::Suspect>,
}

impl Client {
    /// Claims the single attempt of a request that has crashed upstreams. A claim that is not granted
    /// is withdrawn.
    pub async fn claim_attempt(self: &Arc<Self>, req: service::ClaimAttempt) -> ClaimOutcome {
        let (_, members) = self.members();
        let majority = member::Quorum::of(members.len(), self.faults).vote;
        let total = members.len();
        let mut known = Vec::new();
        let collect = async {
            let calls = members
                .into_iter()
                .map(|addr| self.call_claim(addr, req.clone()));
            let mut calls: FuturesUnordered<_> = calls.collect();
            let (mut granted, mut denied) = (0, 0);
            while let Some(answer) = calls.next().await {
                let Some(reply) = answer else { continue };
                known.extend(reply.suspect);
                match reply.granted {
                    true => granted += 1,
                    false => denied += 1,
                }
                if granted >= majority {
                    return Decision::Granted;
                }
                if denied + majority > total {
                    return Decision::Denied;
                }
            }
            match granted + denied >= majority {
                true => Decision::Denied,
                false => Decision::Unavailable,
            }
        };
        let decision = tokio::time::timeout(MAJORITY_TIMEOUT, collect).await;
        let decision = decision.unwrap_or(Decision::Unavailable);
        if decision == Decision::Denied {
            self.spawn_reports(&service::ReportAttempt {
                suspect: req.suspect,
                release: Some(req.holder),
            });
        }
        ClaimOutcome { decision, known }
    }

    /// Reports the outcome of an attempt to all members, and waits until a majority has it or
    /// [`MAJORITY_TIMEOUT`] has passed. Members that do not answer are retried in the background.
    pub async fn report_attempt(self: &Arc<Self>, req: &service::ReportAttempt) {
        let mut reports: FuturesUnordered<_> = self.spawn_reports(req).into_iter().collect();
        let majority = member::Quorum::of(reports.len(), self.faults).vote;
        let reported = async {
            let mut done = 0;
            while done < majority {
                match reports.next().await {
                    Some(Ok(true)) => done += 1,
                    Some(_) => {}
                    None => return,
                }
            }
        };
        if tokio::time::timeout(MAJORITY_TIMEOUT, reported)
            .await
            .is_err()
        {
            tracing::warn!(
                fingerprint = %req.suspect.fingerprint,
                "no majority of the replicas has confirmed crash evidence in time"
            );
        }
    }

    /// Reports to all members in the background; each task returns whether its member confirmed it at
    /// once.
    pub fn spawn_reports(
        self: &Arc<Self>,
        req: &service::ReportAttempt,
    ) -> Vec<tokio::task::JoinHandle<bool>> {
        let (_, members) = self.members();
        let members = members.into_iter();
        members
            .map(|addr| self.spawn_report(addr, req.clone()))
            .collect()
    }

    /// Reports to one member in the background; the task returns whether it confirmed that at once.
    pub fn spawn_report(
        self: &Arc<Self>,
        addr: SocketAddr,
        req: service::ReportAttempt,
    ) -> tokio::task::JoinHandle<bool> {
        let client = Arc::clone(self);
        tokio::spawn(async move { client.report_at(addr, req).await })
    }

    /// Reports to one member; retries in the background if that fails.
    async fn report_at(self: &Arc<Self>, addr: SocketAddr, req: service::ReportAttempt) -> bool {
        if self.call_report(addr, req.clone()).await.is_some() {
            return true;
        }
        let client = Arc::clone(self);
        tokio::spawn(async move {
            for pause in RETRY_PAUSES {
                tokio::time::sleep(pause).await;
                if client.call_report(addr, req.clone()).await.is_some() {
                    return;
                }
            }
            metrics::counter!("fw_replica_unsent_total").increment(1);
        });
        false
    }

    async fn call_claim(
        &self,
        addr: SocketAddr,
        req: service::ClaimAttempt,
    ) -> Option<service::ClaimReply> {
        self.links
            .call(addr, |client, cx| async move {
                client.claim_attempt(cx, req).await
            })
            .await
    }

    async fn call_report(&self, addr: SocketAddr, req: service::ReportAttempt) -> Option<()> {
        self.links
            .call(addr, |client, cx| async move {
                client.report_attempt(cx, req).await
            })
            .await
    }

    /// Long poll at one replica for what has changed in its record of crashes.
    pub async fn poll_suspects(
        &self,
        addr: SocketAddr,
        after: service::Position,
        wait: Duration,
    ) -> Option<service::SuspectPage> {
        let limit = wait + links::CALL_TIMEOUT;
        self.links
            .long_poll_within(addr, limit, |client, cx| async move {
                client.poll_suspects(cx, after, wait).await
            })
            .await
    }

    /// Addresses of all members.
    pub fn member_addrs(&self) -> Vec<SocketAddr> {
        self.view.lock().list.addrs().collect()
    }
}
