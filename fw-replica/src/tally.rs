//! What the members said of one reservation, and what follows from it.
//!
//! *Load pattern:* sub-agents of one program ask for tokens through several entries at once, while
//! members are lost, replaced and cut off.
//!
//! *Rule:* a majority of the members has to accept, and what these know together has to stay within
//! the budget. If their digests agree, each has judged that itself. If not, their ledgers are read
//! after the last of them has accepted: of any turns that race, one then sees all the others.

use crate::{ledger, member, record, service};

/// The votes on one reservation, of members named by `M`.
#[derive(Clone, Debug)]
pub struct Tally<M> {
    /// Those that accepted, and the digest of what each knew.
    accepted: Vec<(M, u64)>,
    refused: usize,
    /// Charges that those which refused know.
    known: Vec<ledger::Line>,
}

/// What to do about a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The turn may run.
    Run,
    /// Those that accepted know different charges: what they know together decides.
    Compare,
    /// The program's budget does not hold the turn.
    Spent {
        /// Tokens charged so far.
        used: record::Tokens,
    },
    /// Too few could say.
    Unsure {
        /// How many could.
        answered: usize,
        /// How many have to accept.
        needed: usize,
    },
}

impl<M> Default for Tally<M> {
    fn default() -> Self {
        Self {
            accepted: Vec::new(),
            refused: 0,
            known: Vec::new(),
        }
    }
}

impl<M: Copy> Tally<M> {
    /// `from` accepted; `digest` is that of what it knew.
    pub fn accept(&mut self, from: M, digest: u64) {
        self.accepted.push((from, digest));
    }

    /// A member refused, and knows the charges `known`.
    pub fn refuse(&mut self, known: Vec<ledger::Line>) {
        self.refused += 1;
        self.known.extend(known);
    }

    /// Those that accepted.
    pub fn accepted(&self) -> impl Iterator<Item = M> {
        self.accepted.iter().map(|(from, _)| *from)
    }

    /// What to tell the members when they are asked again, if that may change the outcome: those that
    /// refused did not know settlements that others of them know.
    pub fn retry_charges(&self, reserve: &service::Reserve) -> Option<Vec<ledger::Line>> {
        if self.refused == 0 {
            return None;
        }
        let union = ledger::Ledger::union(&self.known);
        if !union.allows(&reserve.turn, reserve.tokens, reserve.budget) {
            return None;
        }
        let mut charges = union.lines();
        charges.retain(|line| line.turn != reserve.turn);
        Some(charges)
    }

    /// What follows, with `members` asked of which `quorum` have to agree.
    pub fn verdict(&self, members: usize, quorum: member::Quorum) -> Verdict {
        let needed = quorum.vote;
        if self.accepted.len() >= needed {
            return if self.digests_agree() {
                Verdict::Run
            } else {
                Verdict::Compare
            };
        }
        // With so many refusals no majority can accept.
        if self.refused > 0 && self.refused + needed > members {
            let used = ledger::Ledger::union(&self.known).total();
            return Verdict::Spent { used };
        }
        Verdict::Unsure {
            answered: self.accepted.len() + self.refused,
            needed,
        }
    }

    /// Whether those that accepted knew the same.
    fn digests_agree(&self) -> bool {
        let mut digests = self.accepted.iter().map(|(_, digest)| digest);
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }
}

/// Judges by the ledgers of all that accepted, read after the last of them had.
///
/// # Errors
///
/// The tokens charged, if they are more than the budget.
pub fn compare(reserve: &service::Reserve, lines: &[ledger::Line]) -> Result<(), record::Tokens> {
    let used = ledger::Ledger::union(lines).total();
    if used <= reserve.budget {
        Ok(())
    } else {
        Err(used)
    }
}
