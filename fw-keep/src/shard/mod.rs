//! The programs and claims of one shard in memory, and their changes that are not durable yet.

mod load;
mod sweep;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_base::id;

use crate::claim;
use crate::journal::Entry;
use crate::ledger;
use crate::program;
use crate::program::Program;
use crate::shard::load::Damage;
pub use crate::shard::sweep::Retention;

/// Position of a change among all changes of this shard since it was loaded; the first is 1.
/// A change is durable once the shard's durable position has reached it.
pub type Position = u64;

/// Outcome of a request for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The key is free: the call may be sent once `position` is durable.
    Opening {
        /// Position of the claim among the shard's changes.
        position: Position,
    },
    /// The key was used before.
    Duplicate(claim::Duplicate),
}

/// A turn that was committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// The turn.
    pub committed: program::Committed,
    /// Its position among the shard's changes.
    pub position: Position,
}

/// Outcome of the recovery of a turn that was held outside the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovered {
    /// It was committed.
    Applied,
    /// It is in the journal already, or does not continue the history.
    Obsolete,
    /// An earlier turn is missing, or the turn is running here: to be retried later.
    Gap,
}

/// Changes to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The shard.
    pub shard: id::ShardId,
    /// The changes, in order; never empty.
    pub entries: Vec<Entry>,
    /// Position of the last one.
    pub last_position: Position,
    /// Whether the entries are a snapshot of the shard rather than changes.
    pub snapshot: bool,
}

/// One shard.
#[derive(Debug)]
pub struct Shard {
    id: id::ShardId,
    programs: HashMap<id::ProgramId, Program>,
    claims: HashMap<claim::Key, claim::Claim>,
    pending: VecDeque<Entry>,
    /// Position of the last change.
    last: Position,
    durable: Position,
    retention: Retention,
    max_pending: usize,
    damage: Option<Damage>,
}

/// Maximum number of changes that wait for the store; beyond it, new turns and claims are refused.
/// Holds the changes of an hour's outage of the store at 42 turns per second over eleven shards.
pub(crate) const MAX_PENDING: usize = 16_384;

/// Time after which a call that was refused because the store is unavailable may be retried.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Shard {
    /// An empty shard.
    pub fn new(id: id::ShardId) -> Self {
        Self {
            id,
            programs: HashMap::new(),
            claims: HashMap::new(),
            pending: VecDeque::new(),
            last: 0,
            durable: 0,
            retention: Retention::default(),
            max_pending: MAX_PENDING,
            damage: None,
        }
    }

    /// The same shard with another limit on changes that wait for the store.
    pub fn with_max_pending(self, max_pending: usize) -> Self {
        Self {
            max_pending,
            ..self
        }
    }

    /// The same shard with another retention.
    pub fn with_retention(self, retention: Retention) -> Self {
        Self { retention, ..self }
    }

    /// Its number.
    pub fn id(&self) -> id::ShardId {
        self.id
    }

    /// One of its programs.
    pub fn program(&self, program: &id::ProgramId) -> Option<&Program> {
        self.programs.get(program)
    }

    /// Its programs.
    pub fn programs(&self) -> impl Iterator<Item = (&id::ProgramId, &Program)> {
        self.programs.iter()
    }

    /// One of its claims.
    pub fn claim(&self, key: &claim::Key) -> Option<&claim::Claim> {
        self.claims.get(key)
    }

    /// Position up to which all changes are in the store.
    pub fn durable_position(&self) -> Position {
        self.durable
    }

    /// Position of the last change.
    pub fn last_position(&self) -> Position {
        self.last
    }

    /// Description of the damage that makes some programs unavailable, if its journal is damaged.
    pub fn damage(&self) -> Option<&str> {
        self.damage.as_ref().map(|damage| damage.reason.as_str())
    }

    /// Whether no turn is running and no claim is open, so that a handover interrupts nothing.
    pub fn is_idle(&self) -> bool {
        let running = |state: &Program| state.status() == program::Status::Running;
        let open = |claim: &claim::Claim| {
            matches!(claim.state, claim::State::Opening | claim::State::Open)
        };
        !self.programs.values().any(running) && !self.claims.values().any(open)
    }

    /// Number of changes not taken by [`Shard::take_batch`] yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Requests a turn; the first turn of an unknown program creates it.
    pub fn begin(
        &mut self,
        program: &id::ProgramId,
        begin: program::Begin,
        now: Duration,
    ) -> program::Outcome {
        if let Err(err) = self.check_program(program) {
            return program::Outcome::Refused(err);
        }
        if let Some(state) = self.programs.get_mut(program) {
            return state.begin(begin, now);
        }
        if let Err(err) = check_first_turn(&begin) {
            return program::Outcome::Refused(err);
        }
        let mut fresh = Program::new(begin.team.clone(), begin.parent.clone(), now);
        let outcome = fresh.begin(begin, now);
        if matches!(outcome, program::Outcome::Run(_)) {
            self.programs.insert(program.clone(), fresh);
        }
        outcome
    }

    /// Commits the turn of `attempt`; `None` if that attempt is not running.
    pub fn finish(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        answer: program::Answer,
        now: Duration,
    ) -> Option<Finished> {
        let state = self.programs.get_mut(program)?;
        let turn = state.finish(attempt, answer, now)?;
        let committed = turn.committed.clone();
        let position = self.push_turn(program, turn, now);
        Some(Finished {
            committed,
            position,
        })
    }

    /// Commits a turn that was answered under an earlier keeper and did not reach the journal.
    ///
    /// The answer may have reached its caller: another answer to the same turn would contradict the
    /// caller's history.
    pub fn recover(
        &mut self,
        program: &id::ProgramId,
        held: program::Held,
        now: Duration,
    ) -> Recovered {
        let fresh = Program::new(held.team.clone(), None, now);
        let state = self.programs.get(program).unwrap_or(&fresh);
        let is_next = state.turn() + 1 == held.turn;
        let runs = state.status() == program::Status::Running;
        if state.turn() + 1 < held.turn || (is_next && runs) {
            return Recovered::Gap;
        }
        let Some(turn) = state.recover_turn(held) else {
            return Recovered::Obsolete;
        };
        let state = self.programs.entry(program.clone()).or_insert(fresh);
        state.apply(&turn, now);
        self.push_turn(program, turn, now);
        Recovered::Applied
    }

    /// Adds a turn of an existing program to the pending changes.
    fn push_turn(
        &mut self,
        program: &id::ProgramId,
        turn: program::Turn,
        now: Duration,
    ) -> Position {
        let state = self.programs.get(program);
        let state = state.expect("the turn was applied to the program");
        let entry = Entry::Turn {
            program: program.clone(),
            team: state.team().clone(),
            parent: state.parent().cloned(),
            turn: Box::new(turn),
            at: now,
        };
        self.push(entry)
    }

    /// Abandons the turn of `attempt`; false if that attempt is not running.
    pub fn fail(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        ran: error::Ran,
        now: Duration,
    ) -> bool {
        let Some(state) = self.programs.get_mut(program) else {
            return false;
        };
        let Some(amount) = state.fail(attempt, ran, now) else {
            return false;
        };
        // A program without a committed turn is not in the journal, so there is nothing to charge.
        if state.turn() == 0 && amount == ledger::Amount::default() {
            self.programs.remove(program);
            return true;
        }
        if state.turn() > 0 {
            self.push_charge(program, amount);
        }
        true
    }

    /// Ends a program. Returns the attempt to cancel, if a turn is running.
    ///
    /// # Errors
    ///
    /// [`Kind::UnknownProgram`], or [`Kind::ForeignProgram`] if it belongs to another team.
    pub fn end(
        &mut self,
        program: &id::ProgramId,
        team: &id::TeamId,
        now: Duration,
    ) -> Result<Option<id::AttemptId>, error::Error> {
        let state = self.programs.get_mut(program).ok_or_else(unknown_program)?;
        if state.team() != team {
            return Err(error::Error::new(
                Kind::ForeignProgram,
                "the program belongs to another team",
            ));
        }
        if state.status() == program::Status::Ended {
            return Ok(None);
        }
        let attempt = state.end(now);
        let in_journal = state.turn() > 0;
        if in_journal {
            self.push(Entry::End {
                program: program.clone(),
                at: now,
            });
        }
        Ok(attempt)
    }

    /// Reserves budget of `program` for a sub-agent's attempt; the sub-agent may be in another
    /// shard.
    ///
    /// # Errors
    ///
    /// [`Kind::BudgetExhausted`], [`Kind::ProgramEnded`] or [`Kind::UnknownProgram`].
    pub fn reserve(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        request: ledger::Request,
    ) -> Result<ledger::Grant, error::Error> {
        let state = self.programs.get_mut(program).ok_or_else(unknown_program)?;
        state.reserve(attempt, request)
    }

    /// Replaces a sub-agent's reservation by the amount that it used.
    pub fn settle(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        used: ledger::Amount,
    ) {
        let Some(state) = self.programs.get_mut(program) else {
            return;
        };
        state.settle(attempt, used);
        self.push_charge(program, used);
    }

    /// Claims `key` for the one run of a call.
    pub fn open_claim(
        &mut self,
        key: &claim::Key,
        fingerprint: Digest,
        now: Duration,
    ) -> ClaimOutcome {
        if let Some(claim) = self.claims.get(key) {
            let open_timeout = self.retention.open_claim;
            return ClaimOutcome::Duplicate(claim.answer_duplicate(fingerprint, open_timeout, now));
        }
        if let Err(err) = self.check_claims() {
            return ClaimOutcome::Duplicate(claim::Duplicate::Refused(err));
        }
        let claim = claim::Claim::new(fingerprint, now);
        self.claims.insert(key.clone(), claim);
        let position = self.push(Entry::Claim {
            key: key.clone(),
            fingerprint,
            at: now,
        });
        ClaimOutcome::Opening { position }
    }

    /// Records that the claim is durable; true if the call may be sent now.
    pub fn claim_opened(&mut self, key: &claim::Key, now: Duration) -> bool {
        let Some(claim) = self.claims.get_mut(key) else {
            return false;
        };
        claim.mark_open(now);
        claim.state == claim::State::Open
    }

    /// Records that the claimed call did not run, which releases the key.
    pub fn claim_not_run(&mut self, key: &claim::Key, fingerprint: Digest) -> Option<Position> {
        let claim = self.claims.get(key)?;
        if claim.fingerprint != fingerprint || !claim.is_unsettled() {
            return None;
        }
        self.claims.remove(key);
        Some(self.push(Entry::Free { key: key.clone() }))
    }

    /// Records that the outcome of the claimed call will stay unknown. Nothing is written: the
    /// journal has the claim as open, and a later keeper treats that as an unknown outcome.
    pub fn claim_unknown(&mut self, key: &claim::Key, fingerprint: Digest) {
        if let Some(claim) = self.claims.get_mut(key)
            && claim.fingerprint == fingerprint
        {
            claim.mark_orphaned();
        }
    }

    /// Records the answer of the claimed call.
    pub fn claim_done(
        &mut self,
        key: &claim::Key,
        fingerprint: Digest,
        answer: claim::Answer,
        now: Duration,
    ) -> Option<Position> {
        let claim = self.claims.get_mut(key)?;
        if claim.fingerprint != fingerprint || !claim.record_answer(answer.clone(), now) {
            return None;
        }
        Some(self.push(Entry::Done {
            key: key.clone(),
            answer,
            at: now,
        }))
    }

    /// Takes the pending changes, if there are any.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        Some(Batch {
            shard: self.id,
            entries: self.pending.drain(..).collect(),
            last_position: self.last,
            snapshot: false,
        })
    }

    /// Takes a snapshot of the shard, which includes the pending changes and replaces them.
    pub fn take_snapshot(&mut self) -> Batch {
        self.pending.clear();
        Batch {
            shard: self.id,
            entries: self.snapshot(),
            last_position: self.last,
            snapshot: true,
        }
    }

    /// Records that all changes up to `position` are in the store.
    pub fn mark_durable(&mut self, position: Position) {
        self.durable = self.durable.max(position);
    }

    /// Refuses programs that a damaged journal may concern, rather than run them on a history that
    /// may lack turns. Unknown programs are refused too: the damaged part may have held them.
    fn check_program(&self, program: &id::ProgramId) -> Result<(), error::Error> {
        self.check_room()?;
        match &self.damage {
            Some(damage) if !damage.intact.contains(program) => Err(corrupt(&damage.reason)),
            _ => Ok(()),
        }
    }

    /// Refuses claims if the journal is damaged: an unknown key may have been claimed in the
    /// damaged part.
    fn check_claims(&self) -> Result<(), error::Error> {
        self.check_room()?;
        match &self.damage {
            Some(damage) => Err(corrupt(&damage.reason)),
            None => Ok(()),
        }
    }

    /// Limits the changes that are held in memory while the store is unavailable.
    fn check_room(&self) -> Result<(), error::Error> {
        let waiting = self.pending.len();
        if waiting < self.max_pending {
            return Ok(());
        }
        Err(error::Error::new(
            Kind::StoreUnavailable,
            format!("{waiting} changes already wait for the store; retry later"),
        )
        .with_retry_after(STORE_RETRY_AFTER))
    }

    /// All committed state, as the entries of a snapshot.
    fn snapshot(&self) -> Vec<Entry> {
        let programs = self.programs.iter().filter(|(_, p)| p.turn() > 0);
        let programs = programs.map(|(program, state)| Entry::Program {
            program: program.clone(),
            saved: Box::new(state.save()),
        });
        let claims = self.claims.iter().map(|(key, claim)| Entry::Kept {
            key: key.clone(),
            claim: claim.clone(),
        });
        programs.chain(claims).collect()
    }

    fn push(&mut self, entry: Entry) -> Position {
        self.last += 1;
        self.pending.push_back(entry);
        self.last
    }

    fn push_charge(&mut self, program: &id::ProgramId, amount: ledger::Amount) {
        if amount != ledger::Amount::default() {
            self.push(Entry::Charge {
                program: program.clone(),
                amount,
            });
        }
    }
}

/// Checks that the first request for an unknown program is for its first turn. A later turn means
/// that its history is elsewhere or was deleted, and must not be replaced by an empty one.
fn check_first_turn(begin: &program::Begin) -> Result<(), error::Error> {
    let later_turn = begin.turn.is_some_and(|turn| turn > 1);
    let later_base = begin.base.is_some_and(|base| base != Digest::EMPTY);
    if later_turn || later_base {
        return Err(unknown_program());
    }
    Ok(())
}

fn corrupt(reason: &str) -> error::Error {
    error::Error::new(
        Kind::JournalCorrupt,
        format!("the program's journal is damaged: {reason}; ask the operator to restore it"),
    )
}

fn unknown_program() -> error::Error {
    error::Error::new(
        Kind::UnknownProgram,
        "no such program; its retention may be over, so start another one with its first turn",
    )
}
