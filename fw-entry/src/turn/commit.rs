//! Commit of a turn's answer, and delivery of its end to the readers.

use std::sync::Arc;
use std::time::Duration;

use fw_base::error;
use fw_keep::keeper;
use fw_keep::program;
use fw_keep::shard;
use fw_wire::attempt;
use fw_wire::buffer;
use fw_wire::side;

use super::run;
use super::upstream;
use crate::connection::recover;
use crate::process::entry;

/// How long a turn is offered to the next keeper of its shard. Longer than the known outages of the
/// store; a turn that no keeper has accepted by then does not continue that keeper's history.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(120);

impl run::Task {
    pub(super) async fn commit(self, buf: &Arc<buffer::Buffer>, finish: attempt::Finish) {
        metrics::counter!(run::TURNS).increment(1);
        metrics::counter!(run::TOKENS, "sort" => "prompt").increment(finish.usage.prompt);
        metrics::counter!(run::TOKENS, "sort" => "completion").increment(finish.usage.completion);
        if self.req.single {
            buf.finish(finish);
            self.forget().await;
            return;
        }
        let answer = program::Answer {
            message: finish.message.clone(),
            finish_reason: finish.finish_reason.clone(),
            usage: finish.usage,
        };
        let now = keeper::now();
        let shard = self.plan.shard;
        let finished = self.entry.keeper.with_shard(shard, |shard| {
            let finished = shard.finish(&self.req.program, self.run.attempt, answer, now);
            finished.ok_or_else(|| self.not_under_way(shard))
        });
        match finished {
            Err(_) => buf.fail(run::keeper_changed()),
            Ok(keeper::Changed {
                value: Err(err), ..
            }) => buf.fail(err),
            Ok(changed) => self.make_durable(buf, finish, changed.ticket).await,
        }
    }

    /// The reason for which the answered turn is not under way in its shard.
    fn not_under_way(&self, shard: &shard::Shard) -> error::Error {
        let program = shard.program(&self.req.program);
        let has_ended = program.is_some_and(|program| program.status() == program::Status::Ended);
        match has_ended {
            true => run::program_ended(),
            // The shard was lost and has since been loaded again. An error that the program was ended would
            // be wrong, and its caller would not send the turn again.
            false => run::keeper_changed(),
        }
    }

    /// Delivers the end of the answer once it is in the store, or, while the store does not answer,
    /// once both the keeper and the side hold it: two instances, of which either may die.
    async fn make_durable(
        self,
        buf: &Arc<buffer::Buffer>,
        finish: attempt::Finish,
        ticket: keeper::Ticket,
    ) {
        let mut durable = self.entry.keeper.wait_durable(ticket).await;
        let mut held = false;
        while durable == Err(keeper::Error::StoreUnavailable) {
            if self.entry.is_cut_off(self.entry.settings.keeper.lease_ttl) {
                // The shard has another keeper by now, which has the answer from the side: the caller
                // receives it there sooner than here.
                break;
            }
            let alone = self.entry.is_cut_off(Duration::ZERO);
            if !held && !alone && self.is_held_by_side().await {
                held = self.release_answer(buf, &finish, ticket);
            }
            durable = self.entry.keeper.wait_durable(ticket).await;
        }
        if durable.is_err() {
            self.explain("fenced", "another entry keeps the program now".to_owned());
            // No effect on a caller that already has the answer.
            buf.fail(run::keeper_changed());
            if held {
                self.forward_to_keeper(finish).await;
            }
            return;
        }
        self.explain("committed", format!("turn {}", self.run.turn));
        buf.finish(finish);
        self.entry.held.remove(self.run.turn, self.run.attempt);
        self.forget().await;
    }

    /// Delivers the answer before the store has it. Returns false if the shard already has another
    /// keeper: that keeper may have queried this entry's held turns before this one was added, and would
    /// not have the turn when the caller continues there.
    fn release_answer(
        &self,
        buf: &buffer::Buffer,
        finish: &attempt::Finish,
        ticket: keeper::Ticket,
    ) -> bool {
        self.entry.held.insert(self.held(finish.clone()));
        if !self.entry.keeper.is_kept(ticket) {
            self.entry.held.remove(self.run.turn, self.run.attempt);
            return false;
        }
        self.explain("held", "the store does not answer".to_owned());
        buf.finish(finish.clone());
        true
    }

    /// Offers the turn to the shard's next keeper until it is stored there, since the side that also
    /// held the answer may be gone by now.
    async fn forward_to_keeper(&self, finish: attempt::Finish) {
        let held = self.held(finish);
        let until = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        while tokio::time::Instant::now() < until {
            let taken = recover::forward(&self.entry, &held).await;
            if taken.is_ok() {
                self.explain("passed on", format!("turn {}", self.run.turn));
                break;
            }
            if self.entry.stopping.is_cancelled() {
                break;
            }
        }
        self.entry.held.remove(self.run.turn, self.run.attempt);
    }

    /// Whether the side still has the answer. If it died since, there is no second holder: the answer
    /// would be lost with this entry after its caller received it.
    async fn is_held_by_side(&self) -> bool {
        match &self.current {
            Some(current) => upstream::holds(&self.entry, &current.side, current.attempt).await,
            None => false,
        }
    }

    /// The turn in the form in which its next keeper recovers it.
    fn held(&self, finish: attempt::Finish) -> side::Held {
        side::Held {
            attempt: self.run.attempt,
            program: self.req.program.clone(),
            team: self.req.team.clone(),
            turn: self.run.turn,
            model: self.req.model.clone(),
            params: Arc::clone(&self.req.params),
            base: self.run.base,
            messages: self.run.messages.clone(),
            finish,
        }
    }

    async fn forget(&self) {
        if let Some(current) = &self.current {
            upstream::forget(&self.entry, &current.side, current.attempt).await;
        }
    }
}

/// Ends `buf` with an answer that is committed in memory, as soon as the store has it.
pub(super) async fn end_once_durable(
    entry: &entry::Entry,
    buf: &buffer::Buffer,
    finish: attempt::Finish,
    ticket: keeper::Ticket,
) {
    let durable = tokio::select! {
        durable = durable_or_cut_off(entry, ticket) => durable,
        () = entry.killed.cancelled() => return,
    };
    match durable {
        Ok(()) => buf.finish(finish),
        Err(_) => buf.fail(run::keeper_changed()),
    }
}

/// Waits until the store has a change, or until only this entry is cut off from the store for so long
/// that the shard may have another keeper.
async fn durable_or_cut_off(
    entry: &entry::Entry,
    ticket: keeper::Ticket,
) -> Result<(), keeper::Error> {
    loop {
        let durable = entry.keeper.wait_durable(ticket).await;
        let is_pending = durable == Err(keeper::Error::StoreUnavailable);
        if !is_pending || entry.is_cut_off(entry.settings.keeper.lease_ttl) {
            return durable;
        }
    }
}
