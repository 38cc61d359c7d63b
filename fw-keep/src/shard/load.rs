//! Builds a shard from its journal.

use std::collections::HashSet;
use std::time::Duration;

use fw_base::id;

use crate::claim;
use crate::journal::Entry;
use crate::journal::replay;
use crate::program;
use crate::program::Program;
use crate::shard::Shard;

/// What a damaged journal leaves in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Damage {
    pub(super) reason: String,
    /// Programs that a later turn has shown to be whole.
    pub(super) intact: HashSet<id::ProgramId>,
}

impl Shard {
    /// The shard that a journal describes. What was open under the former holder has an unknown
    /// outcome.
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

    /// Changes of any program or claim may be missing here, so all are in doubt. A program whose
    /// next turn continues exactly what is known of it has lost nothing.
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
