//! Restores a shard from its journal.

use std::collections::HashSet;
use std::time::Duration;

use fw_base::id;

use crate::claim;
use crate::journal::Entry;
use crate::journal::replay;
use crate::program;
use crate::program::Program;
use crate::shard::Shard;

/// Damage of a journal, which may have lost changes of any program or claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Damage {
    pub(super) reason: String,
    /// Programs that a later turn has proven to be complete.
    pub(super) intact: HashSet<id::ProgramId>,
}

impl Shard {
    /// Restores the shard from the items of its journal. Claims that were open under the former
    /// holder have an unknown outcome.
    pub fn load(id: id::ShardId, items: Vec<replay::Item>) -> Self {
        let mut shard = Self::new(id);
        for item in items {
            shard.replay(item);
        }
        shard
            .claims
            .values_mut()
            .for_each(claim::Claim::mark_orphaned);
        shard
    }

    fn replay(&mut self, item: replay::Item) {
        match item {
            replay::Item::Snapshot(entries) => {
                self.programs.clear();
                self.claims.clear();
                self.damage = None;
                self.replay_entries(entries);
            }
            replay::Item::Group(entries) => self.replay_entries(entries),
            replay::Item::Damage(corrupt) => self.mark_damaged(&corrupt.to_string()),
        }
    }

    fn replay_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.replay_entry(entry);
        }
    }

    /// Marks all programs and claims as possibly incomplete, as changes of any of them may be
    /// missing at this point. A program whose next turn follows exactly its restored history has
    /// lost nothing.
    fn mark_damaged(&mut self, reason: &str) {
        self.damage = Some(Damage {
            reason: reason.to_owned(),
            intact: HashSet::new(),
        });
    }

    fn replay_turn(
        &mut self,
        program: id::ProgramId,
        fresh: Program,
        turn: &program::Turn,
        at: Duration,
    ) {
        let state = self.programs.entry(program.clone()).or_insert(fresh);
        if !state.continues(&turn.committed) {
            let number = turn.committed.turn;
            let last = state.turn();
            let reason = format!("turn {number} of `{program}` does not follow its turn {last}");
            if self.damage.is_none() {
                self.mark_damaged(&reason);
            }
            return;
        }
        state.apply(turn, at);
        if let Some(damage) = &mut self.damage {
            damage.intact.insert(program);
        }
    }

    fn replay_entry(&mut self, entry: Entry) {
        match entry {
            Entry::Turn {
                program,
                team,
                parent,
                turn,
                at,
            } => self.replay_turn(program, Program::new(team, parent, at), &turn, at),
            Entry::Charge { program, amount } => {
                if let Some(state) = self.programs.get_mut(&program) {
                    state.charge(amount);
                }
            }
            Entry::End { program, at } => {
                if let Some(state) = self.programs.get_mut(&program) {
                    state.end(at);
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
                    claim.record_answer(answer, at);
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
}
