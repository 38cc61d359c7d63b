//! Attempts to have one request answered by an upstream: the choice of the upstream for each, and whether
//! a failed one is followed by another.

use std::sync::Arc;
use std::time::Duration;

use fw_base::{error, id};
use fw_plan::{retry, wait_queue};
use fw_replica::streams;
use tokio::time::Instant;

use super::ingress::log_ms;
use super::{call, hedged, send};
use crate::process::{fleet, gate, quarantine, quotas, traffic};
use crate::version::config;

/// A request, with everything that each of its attempts needs.
#[derive(Debug)]
pub struct Job<'a> {
    /// Shared state.
    pub gate: &'a Arc<gate::Gate>,
    /// The route.
    pub route: &'a config::Route,
    /// The service that was chosen among the route's.
    pub service: &'a id::ServiceId,
    /// The request's decoded headers.
    pub call: &'a call::Call,
    /// The request as sent to upstreams.
    pub out: &'a send::Outbound,
    /// Fingerprints by which its repetitions and variants are recognised.
    pub identity: fw_plan::quarantine::Identity,
    /// When the caller's deadline or the route's timeout is over.
    pub until: Instant,
    /// The only software version at which it may run, if it resumes a stream.
    pub version: Option<&'a streams::Version>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Its charge to its team's quota, if the team has one.
    pub permit: Option<&'a quotas::Permit>,
}

/// A request that an upstream has answered.
#[derive(Debug)]
pub struct Answered<T> {
    /// The answer, as far as it was read.
    pub answer: T,
    /// Permit of the attempt that was answered.
    pub permit: quarantine::Permit,
    /// Number of earlier attempts that have run or may have run.
    pub ran_before: u32,
}

/// The attempts made so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Number of failed attempts.
    pub failed: u32,
    /// Number of attempts that have run or may have run.
    pub may_have_run: u32,
    /// Upstreams at which an attempt failed.
    pub avoid: Vec<id::UpstreamId>,
    /// An earlier failure after which the call may have run.
    pub earlier: Option<error::Error>,
}

impl Attempts {
    /// The attempts as they are once `upstream` was also tried.
    pub fn with_avoided(&self, upstream: id::UpstreamId) -> Self {
        let mut avoid = self.avoid.clone();
        avoid.push(upstream);
        Self {
            avoid,
            ..Self::default()
        }
    }

    /// Adds an attempt of `job` that failed while another was under way.
    pub fn add(&mut self, job: &Job<'_>, failed: hedged::Failed) {
        let err = failed.failure.err;
        tracing::info!(
            request = %job.call.id,
            program = job.call.program.as_deref(),
            route = %job.route.name,
            upstream = %failed.upstream,
            list_as_of = failed.list_state.as_of,
            list_age_ms = log_ms(failed.list_state.age),
            %err,
            "one of two attempts failed"
        );
        self.failed += 1;
        self.avoid.push(failed.upstream);
        if err.ran() != error::Ran::No {
            self.may_have_run += 1;
            self.earlier = Some(err);
        }
    }
}

/// Number of failed attempts from which even a call that reached no upstream draws on the retry budget.
const MAX_UNREACHED: u32 = 4;

/// Part of the route's timeout below which the time left shows that the caller was refused before. The first
/// attempt arrives some milliseconds after its caller's clock has started, a return some hundred.
const RETURN_TIME_LEFT: f64 = 0.95;

/// Whether a failure shows that the call reached no upstream of its service. Another attempt then adds no
/// load to the upstreams, so that it needs no retry budget.
fn reached_no_upstream(kind: error::Kind) -> bool {
    matches!(
        kind,
        error::Kind::Misdirected | error::Kind::UpstreamLeaving | error::Kind::UpstreamUnreachable
    )
}

impl Job<'_> {
    /// Sends the request to upstreams until one begins an answer that `finish` accepts, and returns the result
    /// of `finish`.
    ///
    /// # Errors
    ///
    /// The error for the caller when there is to be no further attempt.
    pub async fn run<T, F>(
        &self,
        finish: impl Fn(send::OpenResponse) -> F,
    ) -> Result<Answered<T>, error::Error>
    where
        F: Future<Output = Result<T, send::Failure>>,
    {
        self.gate.earn_retry(self.service);
        let mut attempts = Attempts::default();
        loop {
            let (permit, lease) = match self.prepare(&attempts).await {
                Ok(prepared) => prepared,
                Err(err) => return Err(err.merge_earlier(attempts.earlier.take())),
            };
            let finished = hedged::run(self, &mut attempts, permit, lease, &finish).await;
            let failed = match finished {
                Ok((answer, permit)) => {
                    return Ok(Answered {
                        answer,
                        permit,
                        ran_before: attempts.may_have_run,
                    });
                }
                Err(failed) => failed,
            };
            attempts.avoid.push(failed.upstream);
            self.prepare_retry(&mut attempts, failed.failure, failed.list_state)
                .await?;
        }
    }

    /// Obtains the permit for the next attempt, and chooses its upstream.
    ///
    /// # Errors
    ///
    /// When the request is refused because it crashed upstreams, or no upstream can be chosen.
    async fn prepare(
        &self,
        attempts: &Attempts,
    ) -> Result<(quarantine::Permit, fleet::Lease), error::Error> {
        let permit = self.permit().await?;
        let lease = self.choose(attempts, &permit).await?;
        Ok((permit, lease))
    }

    /// Obtains the permit for an attempt.
    ///
    /// # Errors
    ///
    /// `CrashQuarantine` when the request is refused because it crashed upstreams.
    pub async fn permit(&self) -> Result<quarantine::Permit, error::Error> {
        let path = self.out.uri.path();
        let subject = quarantine::Subject::new(self.call, self.identity, path);
        self.gate.quarantine.permit(&subject, self.until).await
    }

    /// Whether the request is the first turn of a program.
    pub fn begins_program(&self) -> bool {
        let is_first = self.route.kind == config::Kind::Stream
            && self.call.previous.is_none()
            && self.version.is_none();
        is_first && self.gate.fleet.is_new_program(&self.call.lineage())
    }

    /// Part of the time for the request that had passed when it arrived, and zero if that is little: a caller
    /// that returns after a refusal has less time left than the route gives it.
    pub fn waited(&self) -> f64 {
        let Some(deadline) = self.call.deadline else {
            return 0.0;
        };
        let left = deadline.as_secs_f64() / self.route.timeout.as_secs_f64().max(f64::MIN_POSITIVE);
        if left < RETURN_TIME_LEFT {
            1.0 - left
        } else {
            0.0
        }
    }

    /// Sends the request to the upstream of `lease`; an attempt that may have run is charged to the quota.
    ///
    /// # Errors
    ///
    /// When there is no answer that may be forwarded.
    pub async fn send(&self, lease: fleet::Lease) -> Result<send::OpenResponse, send::Failure> {
        if let Some(permit) = self.permit {
            permit.sent();
        }
        let (request, answer) = match self.route.kind {
            config::Kind::Stream => (traffic::Kind::Prompt, traffic::Kind::Answer),
            _ => (traffic::Kind::PlainRequest, traffic::Kind::PlainAnswer),
        };
        if lease.is_remote {
            let head = traffic::head_len(&self.out.headers);
            traffic::count(request, head + self.out.body.len());
        }
        let sent = send::call_upstream(&self.gate.opts.names, self.out, lease, self.until).await;
        if let Ok(response) = &sent {
            let head = &response.head.headers;
            response.lease.count_bytes(answer, traffic::head_len(head));
        }
        let has_not_run = |failed: &send::Failure| failed.err.ran() == error::Ran::No;
        if let Some(permit) = self.permit
            && sent.as_ref().is_err_and(has_not_run)
        {
            permit.not_run();
        }
        sent
    }

    /// Chooses the upstream for the attempt that `permit` allows; a stream waits for a free slot.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when there is none.
    pub async fn choose(
        &self,
        attempts: &Attempts,
        permit: &quarantine::Permit,
    ) -> Result<fleet::Lease, error::Error> {
        let is_stream = self.route.kind == config::Kind::Stream;
        let lineage = self.call.lineage();
        let begins = self.begins_program();
        let object = self.call.object.as_ref().filter(|_| self.route.sticky);
        let affinity = match object {
            _ if is_stream => fleet::Affinity::Prompt {
                lineage,
                tokens: self.call.prompt_tokens,
            },
            Some(object) => fleet::Affinity::Object(object),
            None => fleet::Affinity::None,
        };
        let prompt = is_stream.then(|| self.prompt()).flatten();
        let criteria = fleet::Criteria {
            affinity,
            prompt,
            avoid: &attempts.avoid,
            avoid_if_possible: permit.failed_at(),
            version: self.version,
            queue_call: wait_queue::Call {
                priority: self.priority,
                time_left: self.call.program_deadline,
                begins_program: begins,
                is_return: self.gate.fleet.features.fair_admission() && self.waited() > 0.0,
            },
        };
        let fleet = &self.gate.fleet;
        if !is_stream {
            return fleet.choose(self.service, &criteria);
        }
        let acquired = tokio::time::timeout_at(self.until, fleet.acquire(self.service, &criteria));
        acquired.await.unwrap_or_else(|_| {
            let message = "no slot became free before the deadline";
            Err(error::Error::new(error::Kind::DeadlineUnmeetable, message))
        })
    }

    /// The parts of the prompt, if calls are placed by them.
    fn prompt(&self) -> Option<fleet::Prompt<'_>> {
        let config = self.gate.config();
        let kv_tokens = config.map_or(0, |config| config.kv_tokens(self.service));
        self.gate.fleet.prompt(&self.call.parts, kv_tokens)
    }

    /// Decides whether another attempt follows one that `failed` at an upstream chosen by `list_state`, and
    /// waits until it may be made.
    ///
    /// # Errors
    ///
    /// The error for the caller, when there is to be no further attempt.
    async fn prepare_retry(
        &self,
        attempts: &mut Attempts,
        failed: send::Failure,
        list_state: fleet::ListState,
    ) -> Result<(), error::Error> {
        let err = failed.err;
        attempts.failed += 1;
        if err.ran() != error::Ran::No {
            attempts.may_have_run += 1;
        }
        let failure = retry::Failure {
            kind: err.kind,
            attempt: attempts.failed,
            repeatable: self.route.is_repeatable() && attempts.may_have_run < self.route.attempts,
            time_left: send::time_left(self.until),
            retry_after: None,
        };
        let outcome = if reached_no_upstream(err.kind) && attempts.failed < MAX_UNREACHED {
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
            upstream = attempts.avoid.last().map(|upstream| upstream.as_str()),
            list_as_of = list_state.as_of,
            list_age_ms = log_ms(list_state.age),
            %err,
            attempt = attempts.failed,
            ?outcome,
            "attempt failed"
        );
        match outcome {
            retry::Outcome::Retry { after } => {
                metrics::counter!("fw_gate_retries_total", "kind" => err.kind.row().label)
                    .increment(1);
                if err.ran() != error::Ran::No {
                    attempts.earlier = Some(err);
                }
                tokio::time::sleep(after).await;
                Ok(())
            }
            retry::Outcome::GiveUp { reason } => {
                metrics::counter!("fw_gate_given_up_total", "reason" => reason.label())
                    .increment(1);
                Err(err.merge_earlier(attempts.earlier.take()))
            }
        }
    }

    /// Checks whether the incarnation `at` of an upstream accepts no connection at `addr`, and if so records that it has
    /// ended.
    pub async fn has_ended(
        &self,
        at: &fw_plan::quarantine::Incarnation,
        addr: std::net::SocketAddr,
    ) -> bool {
        let has_ended = send::has_crashed(addr).await;
        if has_ended {
            self.gate.fleet.mark_ended(self.service, at);
        }
        has_ended
    }

    /// Checks whether the upstream at `addr` crashed under the attempt of `permit`, records what it finds, and
    /// returns whether it has crashed.
    pub async fn check_crash(
        &self,
        mut permit: quarantine::Permit,
        at: &fw_plan::quarantine::Incarnation,
        addr: std::net::SocketAddr,
    ) -> bool {
        if self.has_ended(at, addr).await {
            permit.record_crash(at).await;
            return true;
        }
        permit.record_broken(at);
        let fleet = &self.gate.fleet;
        let (fleet, service, at) = (Arc::clone(fleet), self.service.clone(), at.clone());
        tokio::spawn(async move {
            // Another process may hold its socket open, or it was back at once.
            if fleet.restarts_soon(&service, &at, addr).await {
                permit.record_crash(&at).await;
            }
        });
        false
    }
}
