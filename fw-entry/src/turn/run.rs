//! Execution of a turn at its keeper: placement, tries on upstreams, and commit of the answer.

use std::sync::Arc;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_keep::keeper;
use fw_keep::program;
use fw_plan::place;
use fw_plan::quarantine;
use fw_plan::retry;
use fw_wire::attempt;
use fw_wire::buffer;
use fw_wire::peer;
use fw_wire::side;
use rand::RngExt;
use tracing::warn;

use super::plan;
use super::submit;
use super::upstream;
use crate::connection::sides;
use crate::process::admission;
use crate::process::entry;
use crate::process::suspects;

/// Counter of placements, by reason.
pub const PLACED: &str = "fw_entry_placed_total";
/// Counter of retries, by the kind of failure.
pub const RETRIES: &str = "fw_entry_retries_total";
/// Counter of failures that were not retried, by reason and kind.
pub const GIVEN_UP: &str = "fw_entry_retries_refused_total";
/// Counter of committed turns.
pub const TURNS: &str = "fw_entry_turns_total";
/// Counter of tokens, by sort: `prompt`, `completion`.
pub const TOKENS: &str = "fw_entry_tokens_total";
/// Counter of prompt tokens recomputed although some upstream had held them in its cache.
pub const WASTED: &str = "fw_entry_cache_wasted_tokens_total";
/// Histogram of the time from a turn's arrival to its release into an engine, in seconds.
pub const QUEUE_SECONDS: &str = "fw_entry_queue_seconds";
/// Histogram of a turn's time from its arrival to its end, in seconds.
pub const TURN_SECONDS: &str = "fw_entry_turn_seconds";

/// A turn under way.
pub struct Task {
    pub(super) entry: Arc<entry::Entry>,
    pub(super) req: peer::Submit,
    pub(super) plan: plan::Plan,
    pub(super) run: program::Run,
    permit: admission::Permit,
    max_tokens: id::Tokens,
    arrived: tokio::time::Instant,
    /// The attempt that callers currently read.
    reading: id::AttemptId,
    /// The side that currently runs the turn.
    pub(super) current: Option<Current>,
    /// Fingerprint that is the same for repetitions of the turn.
    fingerprint: quarantine::Fingerprint,
    /// Upstreams at which this turn failed, avoided by further tries: without this, two of three tries
    /// went to the same crashed upstream although another was idle.
    failed_at: Vec<id::UpstreamId>,
}

/// The side and attempt that run a turn.
#[derive(Clone, Debug)]
pub(super) struct Current {
    pub(super) side: Arc<sides::Side>,
    pub(super) attempt: id::AttemptId,
    alone: bool,
    /// Weight of the crash evidence that was known when the turn was placed.
    known: quarantine::Weight,
}

impl Task {
    /// A turn that was admitted.
    pub fn new(
        entry: Arc<entry::Entry>,
        req: peer::Submit,
        plan: plan::Plan,
        run: program::Run,
        permit: admission::Permit,
        max_tokens: id::Tokens,
    ) -> Self {
        Self {
            entry,
            fingerprint: submit::fingerprint(&req, &run.digest),
            req,
            plan,
            reading: run.attempt,
            run,
            permit,
            max_tokens,
            arrived: tokio::time::Instant::now(),
            current: None,
            failed_at: Vec::new(),
        }
    }

    /// Runs the turn until it is committed or has failed.
    pub async fn run(mut self, mut buf: Arc<buffer::Buffer>) {
        let abandoned = self.entry.attempts.abandoned_token(self.run.attempt);
        let stopped = self.entry.attempts.stop_token(self.run.attempt);
        let killed = self.entry.killed.clone();
        let cancels = self.plan.cancel_when_gone;
        let limit = self.time_limit();
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(limit, self.run_tries(&mut buf)) => {
                outcome.unwrap_or_else(|_| Err(deadline_exceeded()))
            }
            () = abandoned.cancelled(), if cancels => Err(cancelled()),
            () = stopped.cancelled() => Err(program_ended()),
            () = killed.cancelled() => return,
        };
        metrics::histogram!(TURN_SECONDS).record(self.arrived.elapsed().as_secs_f64());
        let killed = self.entry.killed.clone();
        let end = async {
            match outcome {
                Ok(finish) => self.commit(&buf, finish).await,
                Err(err) => self.fail(&buf, err).await,
            }
        };
        tokio::select! {
            () = end => {}
            () = killed.cancelled() => {}
        }
    }

    fn time_limit(&self) -> Duration {
        let left = self.run.time_left.unwrap_or(Duration::MAX);
        self.req.deadline.min(left)
    }

    async fn run_tries(
        &mut self,
        buf: &mut Arc<buffer::Buffer>,
    ) -> Result<attempt::Finish, error::Error> {
        let service = self.entry.sides.service(&self.plan.service);
        service.lock().retry.deposit();
        let mut tried = 0;
        let mut earlier = None;
        loop {
            tried += 1;
            let err = match self.try_once(buf).await {
                Ok(finish) => return Ok(finish),
                Err(err) => err,
            };
            let after = self.decide(tried, &err);
            let err = err.merge_earlier(earlier);
            let after = after.ok_or(err.clone())?;
            tokio::time::sleep(after).await;
            earlier = Some(err);
            self.reset_buffer(buf);
        }
    }

    /// The delay before the next try after a failed one; `None` if there is none.
    fn decide(&mut self, tried: u32, err: &error::Error) -> Option<Duration> {
        if self.renews_fence(err) {
            self.explain(
                "fence renewed",
                format!("{err}; the shard is kept here again"),
            );
            return Some(Duration::ZERO);
        }
        let failure = retry::Failure {
            kind: err.kind,
            attempt: tried,
            // The only effect of a model call is its answer, which is not committed yet.
            repeatable: true,
            time_left: self.req.deadline.saturating_sub(self.arrived.elapsed()),
            retry_after: None,
        };
        let service = self.entry.sides.service(&self.plan.service);
        let now = self.entry.now();
        let outcome = service.lock().retry.decide(now, &failure, &mut rand::rng());
        let label = err.kind.row().label;
        match outcome {
            retry::Outcome::Retry { after } => {
                metrics::counter!(RETRIES, "kind" => label).increment(1);
                self.explain("retried", format!("{err}; next try after {after:?}"));
                Some(after)
            }
            retry::Outcome::GiveUp { reason } => {
                let reason = reason.label();
                metrics::counter!(GIVEN_UP, "reason" => reason, "kind" => label).increment(1);
                self.explain("given up", format!("{err}; not retried: {reason}"));
                None
            }
        }
    }

    /// Adopts a newer fencing number of the shard, if there is one. After its lease lapsed, this entry
    /// may keep the shard again under a newer number, with the same turns under way. Sides refuse the
    /// old number, so the turn continues under the new one.
    fn renews_fence(&mut self, err: &error::Error) -> bool {
        if !matches!(err.kind, error::Kind::StaleFence | error::Kind::KeeperLost) {
            return false;
        }
        let newer = self.entry.keeper.fence(self.plan.shard);
        let Some(newer) = newer.filter(|fence| *fence > self.plan.fence) else {
            return false;
        };
        if !self.req.single && !self.is_under_way() {
            return false;
        }
        self.plan.fence = newer;
        true
    }

    fn is_under_way(&self) -> bool {
        let attempt = self.entry.keeper.with_shard(self.plan.shard, |shard| {
            let program = shard.program(&self.req.program)?;
            program.attempt()
        });
        attempt.is_ok_and(|changed| changed.value == Some(self.run.attempt))
    }

    /// Prepares a further try, whose events start from the beginning: if readers may have events of the
    /// failed one, they are moved to a new buffer.
    fn reset_buffer(&mut self, buf: &mut Arc<buffer::Buffer>) {
        if buf.is_empty() {
            return;
        }
        let next = rand::rng().random();
        *buf = self.entry.attempts.continue_as(self.reading, next);
        self.reading = next;
    }

    async fn try_once(
        &mut self,
        buf: &Arc<buffer::Buffer>,
    ) -> Result<attempt::Finish, error::Error> {
        self.entry.suspects.await_synced().await;
        let current = self.place()?;
        self.current = Some(current.clone());
        let start = self.start_message(&current)?;
        let attempt = upstream::Try {
            entry: &self.entry,
            side: &current.side,
            start,
            full_prompt: self.full_prompt()?,
            buf,
        };
        let outcome = attempt.run().await;
        self.record_outcome(&current, &outcome);
        self.record_evidence(&current, &outcome).await;
        if let Err(err) = &outcome {
            self.current = None;
            self.avoid(&current, err);
        }
        outcome
    }

    /// Excludes the upstream from further tries, unless the failure was caused by this entry's fence.
    fn avoid(&mut self, current: &Current, err: &error::Error) {
        let is_own_refusal = matches!(err.kind, error::Kind::StaleFence | error::Kind::KeeperLost);
        if !is_own_refusal {
            self.failed_at.push(current.side.instance.id.clone());
        }
    }

    fn place(&self) -> Result<Current, error::Error> {
        let now = self.entry.now();
        let known = self.entry.suspects.weight(now, &self.fingerprint);
        let alone = match self.entry.suspects.decide(now, &self.fingerprint) {
            quarantine::Outcome::Normal => false,
            quarantine::Outcome::Exclusive => true,
            quarantine::Outcome::Refused { retry_after } => return Err(quarantined(retry_after)),
        };
        let mut avoid = self.failed_at.clone();
        avoid.extend(
            self.entry
                .suspects
                .upstream_to_avoid(now, &self.fingerprint),
        );
        let outcome = self.choose(now, &avoid)?;
        let side = self.entry.sides.side(&outcome.upstream);
        let side = side.ok_or_else(|| self.no_upstream())?;
        side.update(|state| state.shards.insert(self.plan.shard));
        Ok(Current {
            side,
            attempt: rand::rng().random(),
            alone,
            known,
        })
    }

    fn choose(
        &self,
        now: Duration,
        avoid: &[id::UpstreamId],
    ) -> Result<place::Outcome, error::Error> {
        let service = self.entry.sides.service(&self.plan.service);
        let mut service = service.lock();
        let req = place::Request {
            program: Some(&self.req.program),
            prompt_tokens: self.run.prompt_tokens,
            place: &self.entry.settings.instance.place,
            model: Some(&self.req.model),
            avoid,
        };
        let chosen = place::choose(&service.view, &req, &self.plan.place, &mut rand::rng());
        let outcome = chosen.ok_or_else(|| self.no_upstream())?;
        service
            .view
            .record_sent(&outcome.upstream, outcome.uncached_tokens, now);
        drop(service);
        metrics::counter!(PLACED, "reason" => outcome.reason.label()).increment(1);
        let why = format!(
            "turn {} on {}: {}, expected latency {:?}, {} tokens not in its cache",
            self.run.turn,
            outcome.upstream,
            outcome.reason.label(),
            outcome.expected_latency,
            outcome.uncached_tokens,
        );
        self.explain("placed", why);
        Ok(outcome)
    }

    fn start_message(&self, current: &Current) -> Result<side::Start, error::Error> {
        Ok(side::Start {
            from: self.entry.id.clone(),
            revision: self.entry.records.revision(),
            attempt: current.attempt,
            program: self.req.program.clone(),
            shard: self.plan.shard,
            fence: self.plan.fence,
            turn: self.run.turn,
            model: self.req.model.clone(),
            base: self.run.base,
            messages: self.run.messages.clone(),
            digest: self.run.digest,
            committed: self.run.base,
            added: u32::try_from(self.run.messages.len()).unwrap_or(u32::MAX),
            params: Arc::clone(&self.req.params),
            max_tokens: self.max_tokens,
            deadline: self.time_limit().saturating_sub(self.arrived.elapsed()),
            team: self.req.team.clone(),
            share: self.plan.share,
            attained: self.attained(),
            prompt_tokens: self.run.prompt_tokens,
            single: self.req.single,
            alone: current.alone,
        })
    }

    /// The messages of the full prompt, shared with the shard's state.
    fn full_prompt(&self) -> Result<Vec<fw_base::chat::Message>, error::Error> {
        if self.run.turn == 1 {
            return Ok(self.run.messages.clone());
        }
        let history = self.entry.keeper.with_shard(self.plan.shard, |shard| {
            let program = shard.program(&self.req.program)?;
            Some(program.history().to_vec())
        });
        let history = history.ok().and_then(|changed| changed.value);
        let mut prompt = history.ok_or_else(keeper_changed)?;
        prompt.extend_from_slice(&self.run.messages);
        Ok(prompt)
    }

    fn attained(&self) -> Duration {
        let attained = self.entry.keeper.with_shard(self.plan.shard, |shard| {
            let program = shard.program(&self.req.program)?;
            Some(program.ledger().spent().time)
        });
        attained
            .ok()
            .and_then(|changed| changed.value)
            .unwrap_or_default()
    }

    fn record_outcome(
        &mut self,
        current: &Current,
        outcome: &Result<attempt::Finish, error::Error>,
    ) {
        let upstream = &current.side.instance.id;
        let service = self.entry.sides.service(&self.plan.service);
        let mut service = service.lock();
        match outcome {
            Ok(finish) => {
                service.view.record_finished(upstream, Some(finish.ran));
                let held = finish.usage.prompt + finish.usage.completion;
                metrics::counter!(WASTED).increment(self.wasted(finish));
                service.view.set_cached(&self.req.program, upstream, held);
                self.permit.record_queue_delay(finish.queued);
                metrics::histogram!(QUEUE_SECONDS).record(finish.queued.as_secs_f64());
            }
            Err(err) => {
                service.view.record_finished(upstream, None);
                self.record_failure(&mut service, upstream, err);
            }
        }
    }

    /// Records what the outcome says of whether the request crashes upstreams, at all entries.
    async fn record_evidence(
        &self,
        current: &Current,
        outcome: &Result<attempt::Finish, error::Error>,
    ) {
        let now = self.entry.now();
        let fingerprint = self.fingerprint;
        match outcome {
            Ok(_) => {
                if let Some(lifted) = self.entry.suspects.record_success(now, &fingerprint) {
                    suspects::spawn_reports(&self.entry, &lifted);
                }
            }
            Err(err) if err.kind == error::Kind::UpstreamCrashed => {
                let attempt = suspects::Attempt {
                    id: current.attempt,
                    upstream: &current.side.instance.id,
                    known: current.known,
                };
                let team = &self.req.team;
                let suspects = &self.entry.suspects;
                let suspect = suspects.record_crash(now, fingerprint, team, attempt);
                warn!(
                    program = %self.req.program,
                    upstream = %current.side.instance.id,
                    %fingerprint,
                    weight = suspect.evidence.weight(),
                    failures = suspect.evidence.failures(),
                    "upstream crashed while it ran the request"
                );
                suspects::report(&self.entry, suspect).await;
            }
            Err(_) => {}
        }
    }

    fn record_failure(
        &self,
        service: &mut sides::Service,
        upstream: &id::UpstreamId,
        err: &error::Error,
    ) {
        let now = self.entry.now();
        let observation = match err.kind {
            error::Kind::UpstreamCrashed => Some(fw_plan::health::Observation::Down),
            error::Kind::UpstreamLeaving => Some(fw_plan::health::Observation::Leaving),
            error::Kind::NoUpstream | error::Kind::UpstreamTimeout => {
                Some(fw_plan::health::Observation::Failed)
            }
            _ => None,
        };
        if let Some(observation) = observation {
            service.health.observe(now, upstream, observation);
            service.refresh(now, upstream);
        }
    }

    /// Prompt tokens recomputed although the previous turn had left them in some cache.
    fn wasted(&self, finish: &attempt::Finish) -> id::Tokens {
        let held = self.entry.keeper.with_shard(self.plan.shard, |shard| {
            let last = shard.program(&self.req.program)?.last()?;
            Some(last.answer.usage.prompt + last.answer.usage.completion)
        });
        let held = held
            .ok()
            .and_then(|changed| changed.value)
            .unwrap_or_default();
        held.min(finish.usage.prompt)
            .saturating_sub(finish.usage.cached)
    }

    async fn fail(self, buf: &Arc<buffer::Buffer>, err: error::Error) {
        let err = match err.kind {
            // The side has seen a newer keeper of the shard: this one was suspended and is fenced off.
            error::Kind::StaleFence => keeper_changed(),
            _ => err,
        };
        if err.kind == error::Kind::Internal {
            warn!(program = %self.req.program, %err, "turn failed");
        }
        if !self.req.single {
            let now = keeper::now();
            let _moved = self.entry.keeper.with_shard(self.plan.shard, |shard| {
                shard.fail(&self.req.program, self.run.attempt, err.ran(), now)
            });
        }
        self.explain("failed", err.to_string());
        buf.fail(err);
        if let Some(current) = &self.current {
            upstream::cancel(&self.entry, &current.side, current.attempt).await;
        }
    }

    pub(super) fn explain(&self, what: &'static str, why: String) {
        self.entry.explain.record(&self.req.program, what, why);
    }

    fn no_upstream(&self) -> error::Error {
        let message = format!("no healthy upstream of service {} now", self.plan.service);
        error::Error::new(error::Kind::NoUpstream, message)
            .with_retry_after(self.entry.settings.upstream.heartbeat_interval * 2)
    }
}

fn deadline_exceeded() -> error::Error {
    error::Error::new(
        error::Kind::DeadlineExceeded,
        "the turn took longer than its deadline",
    )
}

fn cancelled() -> error::Error {
    error::Error::new(
        error::Kind::Cancelled,
        "the caller disconnected before the answer was complete",
    )
}

pub(super) fn program_ended() -> error::Error {
    error::Error::new(
        error::Kind::Cancelled,
        "the program was ended while the turn was under way",
    )
}

pub(super) fn keeper_changed() -> error::Error {
    let message = "the program changed its keeper while the turn was under way; send it again";
    error::Error::new(error::Kind::KeeperLost, message)
}

/// The refusal of a request that has crashed upstreams.
pub(super) fn quarantined(after: Duration) -> error::Error {
    let message = "requests like this one crashed upstreams before; change it";
    error::Error::new(error::Kind::Quarantined, message).with_retry_after(after)
}
