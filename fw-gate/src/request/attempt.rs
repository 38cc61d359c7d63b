//! Attempts to have one request answered by an upstream: where each goes, and whether another
//! follows one that failed.

use std::time::Duration;

use fw_base::{digest, error, id};
use fw_plan::{retry, wait_queue};
use tokio::time::Instant;

use super::ingress::ms;
use super::{call, send};
use crate::process::{fleet, gate, quotas};
use crate::version::config;

/// A request on its way: what every attempt of it needs.
#[derive(Debug)]
pub struct Job<'a> {
    /// Shared state.
    pub gate: &'a std::sync::Arc<gate::Gate>,
    /// The route.
    pub route: &'a config::Route,
    /// The service chosen of the route's.
    pub service: &'a id::ServiceId,
    /// What the request says of itself.
    pub call: &'a call::Call,
    /// The request as it is sent.
    pub out: &'a send::Outbound,
    /// What requests like it have in common.
    pub fingerprint: digest::Digest,
    /// When the caller gives up, or the route does.
    pub until: Instant,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// What it took of its team's quota, if the team has one.
    pub credit: Option<&'a quotas::Credit>,
}

/// Attempts made so far.
#[derive(Debug, Default)]
pub struct Tries {
    /// Attempts that failed.
    pub failed: u32,
    /// Attempts that may have run.
    pub ran: u32,
    /// Upstreams that failed.
    pub avoid: Vec<id::UpstreamId>,
    /// An earlier failure after which the call may have run.
    pub earlier: Option<error::Error>,
}

/// Upstreams that a call may miss before its further attempts spend the retry budget.
const MOST_UNREACHED: u32 = 4;

/// Whether a failure shows that the call reached no upstream of its service. Sending it on adds no
/// load to one, so that it needs no retry budget.
fn reached_none(kind: error::Kind) -> bool {
    matches!(
        kind,
        error::Kind::Misdirected | error::Kind::UpstreamLeaving | error::Kind::UpstreamUnreachable
    )
}

impl Job<'_> {
    /// Sends the request to upstreams, until one begins an answer of which `finish` makes what is
    /// wanted.
    ///
    /// # Errors
    ///
    /// What to tell the caller when there is to be no further attempt.
    pub async fn run<T, F>(&self, finish: impl Fn(send::Begun) -> F) -> Result<T, error::Error>
    where
        F: Future<Output = Result<T, send::Failed>>,
    {
        self.gate.earn_retry(self.service);
        let mut tries = Tries::default();
        loop {
            let lease = match self.choose(&tries).await {
                Ok(lease) => lease,
                Err(err) => return Err(err.after(tries.earlier.take())),
            };
            let (upstream, addr, list) = (lease.id.clone(), lease.addr, lease.list);
            let finished = match self.send(lease).await {
                Ok(begun) => finish(begun).await,
                Err(failed) => Err(failed),
            };
            let failed = match finished {
                Ok(done) => return Ok(done),
                Err(failed) => failed,
            };
            if failed.broke {
                self.suspect(&upstream, addr).await;
            }
            tries.avoid.push(upstream);
            self.next(&mut tries, failed, list).await?;
        }
    }

    /// Whether a program begins with the request.
    pub fn begins(&self) -> bool {
        let is_first = self.route.kind == config::Kind::Stream && self.call.previous.is_none();
        is_first && self.gate.fleet.is_new(&self.call.lineage())
    }

    /// Sends the request to the upstream of `lease`; an attempt that may have run is paid for.
    ///
    /// # Errors
    ///
    /// When there is no answer that may be passed on.
    pub async fn send(&self, lease: fleet::Lease) -> Result<send::Begun, send::Failed> {
        if let Some(credit) = self.credit {
            credit.sent();
        }
        let sent = send::once(&self.gate.opts.names, self.out, lease, self.until).await;
        let has_not_run = |failed: &send::Failed| failed.err.ran() == error::Ran::No;
        if let Some(credit) = self.credit
            && sent.as_ref().is_err_and(has_not_run)
        {
            credit.not_run();
        }
        sent
    }

    /// An upstream for the next attempt; that of a stream waits for a free slot.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when there is none.
    pub async fn choose(&self, tries: &Tries) -> Result<fleet::Lease, error::Error> {
        self.gate.check_poison(&self.fingerprint)?;
        let is_stream = self.route.kind == config::Kind::Stream;
        let lineage = self.call.lineage();
        let begins = self.begins();
        let object = self.call.object.as_ref().filter(|_| self.route.sticky);
        let warmth = match object {
            _ if is_stream => fleet::Warmth::Prompt {
                lineage,
                tokens: self.call.prompt_tokens,
            },
            Some(object) => fleet::Warmth::Object(object),
            None => fleet::Warmth::None,
        };
        let want = fleet::Want {
            warmth,
            avoid: &tries.avoid,
            hold: wait_queue::Call {
                priority: self.priority,
                time_left: self.call.program_deadline,
                begins_program: begins,
            },
        };
        let fleet = &self.gate.fleet;
        if !is_stream {
            return fleet.choose(self.service, &want);
        }
        let acquired = tokio::time::timeout_at(self.until, fleet.acquire(self.service, &want));
        acquired.await.unwrap_or_else(|_| {
            let message = "no slot became free before the deadline";
            Err(error::Error::new(error::Kind::DeadlineUnmeetable, message))
        })
    }

    /// Waits until the next attempt after one that `failed` at an upstream chosen by `list`.
    ///
    /// # Errors
    ///
    /// The error to answer with, when there is to be none.
    async fn next(
        &self,
        tries: &mut Tries,
        failed: send::Failed,
        list: fleet::State,
    ) -> Result<(), error::Error> {
        let err = failed.err;
        tries.failed += 1;
        if err.ran() != error::Ran::No {
            tries.ran += 1;
        }
        let failure = retry::Failure {
            kind: err.kind,
            attempt: tries.failed,
            repeatable: self.route.is_repeatable() && tries.ran < self.route.attempts.max(2),
            time_left: send::left(self.until),
            retry_after: None,
        };
        let outcome = if reached_none(err.kind) && tries.failed < MOST_UNREACHED {
            retry::Outcome::Retry {
                after: Duration::ZERO,
            }
        } else {
            self.gate.decide_retry(self.service, &failure)
        };
        tracing::info!(
            request = %self.call.id,
            program = self.call.program.as_deref(),
            route = %self.route.name,
            upstream = tries.avoid.last().map(|upstream| upstream.as_str()),
            list_as_of = list.as_of,
            list_age_ms = ms(list.age),
            %err,
            attempt = tries.failed,
            ?outcome,
            "attempt failed"
        );
        match outcome {
            retry::Outcome::Retry { after } => {
                metrics::counter!("fw_gate_retries_total", "kind" => err.kind.row().label)
                    .increment(1);
                if err.ran() != error::Ran::No {
                    tries.earlier = Some(err);
                }
                tokio::time::sleep(after).await;
                Ok(())
            }
            retry::Outcome::GiveUp { reason } => {
                metrics::counter!("fw_gate_given_up_total", "reason" => reason.label())
                    .increment(1);
                Err(err.after(tries.earlier.take()))
            }
        }
    }

    /// Finds out whether `upstream` crashed under the call, and if so remembers the call.
    pub async fn suspect(&self, upstream: &id::UpstreamId, addr: std::net::SocketAddr) {
        if send::has_crashed(addr).await {
            tracing::warn!(request = %self.call.id, %upstream, "upstream crashed under the call");
            self.gate.crashed(upstream, self.fingerprint);
        }
    }
}
