//! The programs and claims of one shard, in memory, and what of them is not yet durable.

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
    Again(claim::Again),
}

/// A turn that was finished.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// The turn.
    pub committed: program::Committed,
    /// Where it stands in the journal.
    pub position: Position,
}

/// How long what is finished is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// From a program's end.
    pub ended: Duration,
    /// From the last use of a program that was not ended.
    pub idle: Duration,
    /// From a claim's last change.
    pub claim: Duration,
    /// After this time without outcome a claim's holder is taken to be gone.
    pub patience: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        const HOUR: Duration = Duration::from_secs(3600);
        Self {
            ended: HOUR,
            idle: 24 * HOUR,
            claim: 24 * HOUR,
            patience: HOUR / 12,
        }
    }
}

/// Changes on their way to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The shard.
    pub shard: id::ShardId,
    /// The changes, in order; never none.
    pub entries: Vec<Entry>,
    /// Position of the last one.
    pub upto: Position,
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
    /// Position up to which changes were handed out by [`Shard::take_batch`].
    taken: Position,
    durable: Position,
    retention: Retention,
}

impl Shard {
    /// An empty shard.
    pub fn new(id: id::ShardId) -> Self {
        Self {
            id,
            programs: HashMap::new(),
            claims: HashMap::new(),
            pending: VecDeque::new(),
            last: 0,
            taken: 0,
            durable: 0,
            retention: Retention::default(),
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
        if let Some(known) = self.programs.get_mut(program) {
            return known.begin(begin, now);
        }
        if let Err(err) = check_first(&begin) {
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
        let known = self.programs.get_mut(program)?;
        let turn = known.finish(attempt, answer, now)?;
        let committed = turn.committed.clone();
        let entry = Entry::Turn {
            program: program.clone(),
            team: known.team().clone(),
            parent: known.parent().cloned(),
            turn: Box::new(turn),
            at: now,
        };
        let position = self.push(entry);
        Some(Finished {
            committed,
            position,
        })
    }

    /// Gives up the turn of `attempt`; false if that attempt is not under way.
    pub fn fail(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        ran: error::Ran,
        now: Duration,
    ) -> bool {
        let Some(known) = self.programs.get_mut(program) else {
            return false;
        };
        let Some(amount) = known.fail(attempt, ran, now) else {
            return false;
        };
        // A program without a committed turn is not in the journal, hence nothing to charge.
        if known.turn() == 0 && amount == ledger::Amount::default() {
            self.programs.remove(program);
            return true;
        }
        if known.turn() > 0 {
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
        let known = self.programs.get_mut(program).ok_or_else(unknown)?;
        if known.team() != team {
            return Err(error::Error::new(
                Kind::ForeignProgram,
                "the program belongs to another team",
            ));
        }
        if known.status() == program::Status::Ended {
            return Ok(None);
        }
        let attempt = known.end(now);
        let in_journal = known.turn() > 0;
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
        want: ledger::Want,
    ) -> Result<ledger::Grant, error::Error> {
        let known = self.programs.get_mut(program).ok_or_else(unknown)?;
        known.reserve(attempt, want)
    }

    /// Replaces a sub-agent's reservation by what it used.
    pub fn settle(
        &mut self,
        program: &id::ProgramId,
        attempt: id::AttemptId,
        used: ledger::Amount,
    ) {
        let Some(known) = self.programs.get_mut(program) else {
            return;
        };
        known.settle(attempt, used);
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
            let patience = self.retention.patience;
            return ClaimOutcome::Again(claim.again(fingerprint, patience, now));
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
        claim.opened(now);
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

    /// Notes the answer of the claimed call.
    pub fn claim_done(
        &mut self,
        key: &claim::Key,
        fingerprint: Digest,
        answer: claim::Answer,
        now: Duration,
    ) -> Option<Position> {
        let claim = self.claims.get_mut(key)?;
        if claim.fingerprint != fingerprint || !claim.done(answer.clone(), now) {
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
        self.taken = self.last;
        Some(Batch {
            shard: self.id,
            entries: self.pending.drain(..).collect(),
            upto: self.taken,
        })
    }

    /// Notes that all changes up to `position` are in the store.
    pub fn durable(&mut self, position: Position) {
        self.durable = self.durable.max(position);
    }

    /// Forgets what has outlived its retention.
    pub fn sweep(&mut self, now: Duration) {
        self.sweep_programs(now);
        self.sweep_claims(now);
    }

    /// Applies a change read from the journal.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Turn {
                program,
                team,
                parent,
                turn,
                at,
            } => {
                let fresh = || Program::new(team, parent, at);
                let known = self.programs.entry(program).or_insert_with(fresh);
                known.apply(&turn, at);
            }
            Entry::Charge { program, amount } => {
                if let Some(known) = self.programs.get_mut(&program) {
                    known.settle(0, amount);
                }
            }
            Entry::End { program, at } => {
                if let Some(known) = self.programs.get_mut(&program) {
                    known.end(at);
                }
            }
            Entry::Forget { program } => {
                self.programs.remove(&program);
            }
            Entry::Claim {
                key,
                fingerprint,
                at,
            } => {
                let claim = claim::Claim::new(fingerprint, at);
                self.claims.insert(key, claim);
            }
            Entry::Done { key, answer, at } => {
                if let Some(claim) = self.claims.get_mut(&key) {
                    claim.done(answer, at);
                }
            }
            Entry::Free { key } => {
                self.claims.remove(&key);
            }
            Entry::Program { program, saved } => {
                self.programs.insert(program, Program::restore(*saved));
            }
            Entry::Kept { key, claim } => {
                self.claims.insert(key, claim);
            }
        }
    }

    /// Ends the replay: what was open under the former holder has an unknown outcome.
    pub fn replayed(&mut self) {
        self.claims.values_mut().for_each(claim::Claim::orphan);
    }

    /// All that is committed, as the entries of a snapshot.
    pub fn snapshot(&self) -> Vec<Entry> {
        let programs = self.programs.iter().filter(|(_, p)| p.turn() > 0);
        let programs = programs.map(|(program, known)| Entry::Program {
            program: program.clone(),
            saved: Box::new(known.save()),
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

    fn sweep_programs(&mut self, now: Duration) {
        let retention = self.retention;
        let is_over = |known: &Program| {
            let age = now.saturating_sub(known.touched());
            match known.status() {
                program::Status::Running => false,
                program::Status::Ended => age > retention.ended,
                program::Status::Idle => age > retention.idle,
            }
        };
        let over = self.programs.iter().filter(|(_, known)| is_over(known));
        let over: Vec<_> = over.map(|(program, _)| program.clone()).collect();
        for program in over {
            self.programs.remove(&program);
            self.push(Entry::Forget { program });
        }
    }

    fn sweep_claims(&mut self, now: Duration) {
        let keep = self.retention.claim;
        let is_over = |claim: &claim::Claim| now.saturating_sub(claim.since) > keep;
        let over = self.claims.iter().filter(|(_, claim)| is_over(claim));
        let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            self.claims.remove(&key);
            self.push(Entry::Free { key });
        }
    }
}

/// A program that is not known begins with its first turn; any later one means that its history
/// was kept elsewhere or is over, and a made-up empty history must not take its place.
fn check_first(begin: &program::Begin) -> Result<(), error::Error> {
    let later_turn = begin.turn.is_some_and(|turn| turn > 1);
    let later_base = begin.base.is_some_and(|base| base != Digest::EMPTY);
    if later_turn || later_base {
        return Err(unknown());
    }
    Ok(())
}

fn unknown() -> error::Error {
    error::Error::new(
        Kind::UnknownProgram,
        "no such program; its retention may be over: start another with its first turn",
    )
}
