//! The tarpc service for entries.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use fw_wire::side;
use tarpc::context;

use crate::errors;
use crate::process::attempts;
use crate::process::core;
use crate::process::fences;
use crate::process::held;
use crate::process::histories;
use crate::process::tasks;
use crate::request::body;

/// Divisor of the session TTL. The quotient is the time after which an unrenewed shard is reported
/// in heartbeats: early enough for its new keeper to renew it in time, and longer than the maximum
/// interval between the heartbeats of a keeper that does renew it.
const UNRENEWED_TTL_DIVISOR: u32 = 2;

/// The service, cloned for each connection.
#[derive(Clone, Debug)]
pub struct Service {
    core: Arc<core::Core>,
}

impl Service {
    /// Creates the service over `core`.
    pub fn new(core: Arc<core::Core>) -> Self {
        Self { core }
    }

    fn check_fence(&self, shard: id::ShardId, fence: id::Fence) -> Result<(), error::Error> {
        match self.core.fences.renew(shard, fence, Instant::now()) {
            fences::Check::Current => Ok(()),
            fences::Check::Newer => {
                tasks::end_fenced_turns(&self.core, &HashSet::from([shard]));
                Ok(())
            }
            fences::Check::Stale { newest } => {
                let why = format!(
                    "fencing number {fence} of shard {shard} is lower than {newest}: \
                     another entry keeps the shard"
                );
                Err(errors::counted(error::Kind::StaleFence, why))
            }
        }
    }

    /// The complete prompt, or `None` if its base is not cached here.
    ///
    /// The digest is recomputed from the text that is sent to the engine. Guards against a history
    /// that was mixed up with another in transit or in the side's memory: it would not match the
    /// digest that the keeper's journal committed.
    fn build_prompt(
        &self,
        req: &mut side::Start,
    ) -> Result<Option<histories::Prompt>, error::Error> {
        let Some(mut prompt) = self.core.histories.get(&req.program, req.base) else {
            return Ok(None);
        };
        for message in std::mem::take(&mut req.messages) {
            prompt.push(message);
        }
        if prompt.digest() != req.digest {
            let why = format!(
                "the messages have digest {}, not {}: send the program's own history",
                prompt.digest(),
                req.digest
            );
            return Err(errors::counted(error::Kind::HistoryMismatch, why));
        }
        Ok(Some(prompt))
    }

    fn accept(&self, mut req: side::Start) -> Result<side::StartReply, error::Error> {
        if self.core.attempts.get(req.attempt).is_some() {
            return Ok(side::StartReply::Accepted);
        }
        if req.shard != id::shard_of(&req.program) {
            let why = format!("`shard` {} is not the shard of `program`", req.shard);
            return Err(errors::counted(error::Kind::BadRequest, why));
        }
        self.check_fence(req.shard, req.fence)?;
        self.core.check_available()?;
        body::check_params(&req.params)?;
        let Some(prompt) = self.build_prompt(&mut req)? else {
            metrics::counter!("fw_side_need_history_total").increment(1);
            return Ok(side::StartReply::NeedHistory);
        };
        self.queue(req, prompt)?;
        Ok(side::StartReply::Accepted)
    }

    fn queue(&self, req: side::Start, prompt: histories::Prompt) -> Result<(), error::Error> {
        let cached = self.core.cache_view.cached_tokens(&req.program);
        let missing = req.prompt_tokens.saturating_sub(cached);
        let superseded = self.core.attempts.unfinished_of(&req.program);
        let attempt = attempts::Attempt::new(req, prompt, Instant::now());
        let attempt = Arc::new(attempt);
        let push = || self.core.queue.push(&attempt, missing);
        let inserted = self.core.attempts.insert(attempt.clone(), push)?;
        if inserted == attempts::Insert::New {
            self.supersede(&superseded);
            self.core.queue_changed.notify_one();
        }
        Ok(())
    }

    /// Ends earlier attempts of the program. A program has one turn in progress at a time, so its
    /// keeper has abandoned those, or has lost the shard and cannot commit them.
    fn supersede(&self, superseded: &[Arc<attempts::Attempt>]) {
        for attempt in superseded {
            metrics::counter!("fw_side_superseded_total").increment(1);
            let why = "the program's keeper started another attempt";
            self.core.cancel(attempt, why);
        }
    }
}

impl Service {
    /// Shards with unrenewed sessions, and those with answers held for an earlier keeper. They are
    /// reported to their current keeper; otherwise the sessions would expire and the answers would
    /// be lost.
    fn shards_to_report(&self, now: Instant) -> Vec<id::ShardId> {
        let core = &self.core;
        let within = core.opts.settings.sessions.ttl / UNRENEWED_TTL_DIVISOR;
        let mut shards = core.sessions.unrenewed_shards(&core.fences, within, now);
        shards.extend(held::shards(&core.attempts, &core.fences));
        shards.sort_unstable();
        shards.dedup();
        shards
    }
}

impl side::Side for Service {
    async fn heartbeat(self, _: context::Context, req: side::Heartbeat) -> side::HeartbeatReply {
        let now = Instant::now();
        let core = &self.core;
        let renewed = tasks::renew_shards(core, &req.shards, now);
        for program in &req.gone {
            if renewed.contains(&id::shard_of(program)) {
                core.sessions.schedule_release(program, now);
                core.histories.remove(program);
            }
        }
        core.releases_changed.notify_one();
        let delta = core.cache_view.changes_since(req.cache_seen);
        let cfg = &core.opts.settings.instance;
        let identity = match req.known == core.incarnation {
            true => side::HeartbeatReply::default(),
            false => side::HeartbeatReply {
                upstream: cfg.id.clone(),
                service: cfg.service.clone(),
                place: cfg.place.clone(),
                ..side::HeartbeatReply::default()
            },
        };
        side::HeartbeatReply {
            incarnation: core.incarnation,
            revision: core.records.revision(),
            leaving: core.is_leaving(),
            down: core.is_down(),
            load: core.load(now),
            cache_seq: delta.seq,
            cache_reset: delta.reset,
            cache: delta.changes,
            asked: core
                .sessions
                .take_idle(&renewed, core.opts.verify_idle_after, now),
            unrenewed: self.shards_to_report(now),
            ..identity
        }
    }

    async fn records(self, _: context::Context, req: side::Records) -> id::Revision {
        self.core.update_records(&req);
        self.core.records.revision()
    }

    async fn start(self, _: context::Context, req: side::Start) -> side::StartReply {
        match self.accept(req) {
            Ok(reply) => reply,
            Err(err) => side::StartReply::Refused(err),
        }
    }

    async fn read(self, _: context::Context, req: attempt::Read) -> attempt::ReadReply {
        match self.core.attempts.get(req.attempt) {
            Some(attempt) => {
                let max_wait = self.core.opts.max_read_wait;
                let req = attempt::Read {
                    wait: req.wait.min(max_wait),
                    gather: req.gather.min(max_wait),
                    ..req
                };
                attempt.read(&req).await
            }
            None => attempt::ReadReply {
                events: Vec::new(),
                state: attempt::State::Unknown,
            },
        }
    }

    async fn cancel(self, _: context::Context, attempt: id::AttemptId) -> bool {
        let Some(attempt) = self.core.attempts.get(attempt) else {
            return false;
        };
        if !attempt.is_ended() {
            self.core.cancel(&attempt, "the keeper cancelled the turn");
        }
        true
    }

    async fn forget(self, _: context::Context, attempt: id::AttemptId) {
        self.core.attempts.forget(attempt);
    }

    async fn held(self, _: context::Context, req: side::HeldQuery) -> side::HeldReply {
        let current = req.shards.into_iter().filter(|(shard, fence)| {
            let checked = self.check_fence(*shard, *fence);
            checked.is_ok()
        });
        let shards: HashSet<_> = current.map(|(shard, _)| shard).collect();
        held::reply(&self.core.attempts, &self.core.fences, &shards)
    }

    async fn release(self, _: context::Context, req: side::Release) {
        let now = Instant::now();
        for (program, fence) in &req.programs {
            let shard = id::shard_of(program);
            if self.core.fences.check(shard, *fence) == fences::Check::Current {
                self.core.sessions.schedule_release(program, now);
                self.core.histories.remove(program);
            } else {
                metrics::counter!("fw_side_stale_releases_total").increment(1);
            }
        }
        self.core.releases_changed.notify_one();
    }
}
