//! The programs and claims of one shard, in memory, and what of them is not yet durable.

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

/// What became of a claim that was asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The key is free: the call may be sent once `position` is durable.
    Opening {
        /// Where the claim stands in the journal.
        position: Position,
    },
    /// The key was used before.
    Duplicate(claim::Duplicate),
}

/// A turn that was finished.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// The turn.
    pub committed: program::Committed,
    /// Where it stands in the journal.
    pub position: Position,
}

/// What became of a turn that was held outside of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovered {
    /// It is committed now.
    Applied,
    /// It is in the journal already, or does not continue the history.
    Obsolete,
    /// A turn before it is missing, or the turn is under way here: to be asked for again.
    Gap,
}

/// Changes on their way to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The shard.
    pub shard: id::ShardId,
    /// The changes, in order; never none.
    pub entries: Vec<Entry>,
    /// Position of the last one.
    pub last_position: Position,
    /// Whether the entries are the whole shard rather than changes.
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

/// Most changes that wait for the store before new turns and claims are refused. At 42 turns a
/// second over eleven shards, an hour's outage of the store fits.
pub(crate) const MAX_PENDING: usize = 16_384;

/// When to ask again after a refusal for want of the store.
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

    /// The same shard with another bound on changes that wait for the store.
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

    /// Why some of its programs can't be served, if its journal is damaged.
    pub fn damage(&self) -> Option<&str> {
        self.damage.as_ref().map(|damage| damage.reason.as_str())
    }

    /// Whether nothing would be cut off by handing it over: no turn and no claim is under way.
    pub fn is_idle(&self) -> bool {
        let running = |state: &Program| state.status() == program::Status::Running;
        let open = |claim: &claim::Claim| {
            matches!(claim.state, claim::State::Opening | claim::State::Open)
        };
        !self.programs.values().any(running) && !self.claims.values().any(open)
    }

    /// Number of changes not handed out yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Asks for a turn; a program not known yet comes into being with its first.
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

    /// Commits the turn of `attempt`; `None` if that attempt is not under way.
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
    /// The answer may have been given to its caller: another one for the same turn would not fit
    /// what the caller holds.
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

    /// Enters a turn of a known program into the journal.
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

    /// Gives up the turn of `attempt`; false if that attempt is not under way.
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
        // A program without a committed turn is not in the journal, hence nothing to charge.
        if state.turn() == 0 && amount == ledger::Amount::default() {
            self.programs.remove(program);
            return true;
        }
        if state.turn() > 0 {
            self.push_charge(program, amount);
        }
        true
    }

    /// Ends a program. Returns the attempt to cancel, if a turn is under way.
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

    /// Sets aside budget of `program` for a sub-agent's attempt, wherever that one is kept.
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

    /// Replaces a sub-agent's reservation by what it used.
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

    /// Asks for the one run of a call under `key`.
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

    /// Notes that the claim is durable; true if the call may be sent now.
    pub fn claim_opened(&mut self, key: &claim::Key, now: Duration) -> bool {
        let Some(claim) = self.claims.get_mut(key) else {
            return false;
        };
        claim.mark_open(now);
        claim.state == claim::State::Open
    }

    /// Notes that the claimed call did not run: the key is free again.
    pub fn claim_not_run(&mut self, key: &claim::Key, fingerprint: Digest) -> Option<Position> {
        let claim = self.claims.get(key)?;
        if claim.fingerprint != fingerprint || !claim.is_unsettled() {
            return None;
        }
        self.claims.remove(key);
        Some(self.push(Entry::Free { key: key.clone() }))
    }

    /// Notes that nobody will know what became of the claimed call. The journal has the claim as
    /// open, which means the same to whoever reads it.
    pub fn claim_unknown(&mut self, key: &claim::Key, fingerprint: Digest) {
        if let Some(claim) = self.claims.get_mut(key)
            && claim.fingerprint == fingerprint
        {
            claim.mark_orphaned();
        }
    }

    /// Notes the answer of the claimed call.
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

    /// Hands out the pending changes, or none.
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

    /// Hands out the whole shard in place of the pending changes, which it contains.
    pub fn take_snapshot(&mut self) -> Batch {
        self.pending.clear();
        Batch {
            shard: self.id,
            entries: self.snapshot(),
            last_position: self.last,
            snapshot: true,
        }
    }

    /// Notes that all changes up to `position` are in the store.
    pub fn mark_durable(&mut self, position: Position) {
        self.durable = self.durable.max(position);
    }

    /// A program that a damaged journal leaves in doubt is refused rather than run on a history
    /// that may lack turns; so is an unknown one, which the damaged part may have held.
    fn check_program(&self, program: &id::ProgramId) -> Result<(), error::Error> {
        self.check_room()?;
        match &self.damage {
            Some(damage) if !damage.intact.contains(program) => {
                Err(journal_corrupt(&damage.reason))
            }
            _ => Ok(()),
        }
    }

    /// A key that is not known may have been claimed in the damaged part.
    fn check_claims(&self) -> Result<(), error::Error> {
        self.check_room()?;
        match &self.damage {
            Some(damage) => Err(journal_corrupt(&damage.reason)),
            None => Ok(()),
        }
    }

    /// Changes that the store does not take are held in memory, which is bounded.
    fn check_room(&self) -> Result<(), error::Error> {
        let waiting = self.pending.len();
        if waiting < self.max_pending {
            return Ok(());
        }
        Err(error::Error::new(
            Kind::StoreUnavailable,
            format!("{waiting} changes wait for the store already; send the call again later"),
        )
        .with_retry_after(STORE_RETRY_AFTER))
    }

    /// All that is committed, as the entries of a snapshot.
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

/// A program that is not known begins with its first turn; any later one means that its history
/// was kept elsewhere or is over, and a made-up empty history must not take its place.
fn check_first_turn(begin: &program::Begin) -> Result<(), error::Error> {
    let later_turn = begin.turn.is_some_and(|turn| turn > 1);
    let later_base = begin.base.is_some_and(|base| base != Digest::EMPTY);
    if later_turn || later_base {
        return Err(unknown_program());
    }
    Ok(())
}

fn journal_corrupt(reason: &str) -> error::Error {
    error::Error::new(
        Kind::JournalCorrupt,
        format!("the program's journal is damaged: {reason}; ask the operator to restore it"),
    )
}

fn unknown_program() -> error::Error {
    error::Error::new(
        Kind::UnknownProgram,
        "no such program; its retention may be over: start another with its first turn",
    )
}
