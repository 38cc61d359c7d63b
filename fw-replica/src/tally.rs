//! Tally of the votes on a reservation, and the verdict.
//!
//! *Load pattern:* sub-agents of one program request tokens through several entries at once, while
//! members are lost, replaced and partitioned.
//!
//! *Rule:* a majority of the members has to accept, and the union of their charges has to stay
//! within the budget. If their digests agree, each has verified that itself. If not, their ledgers
//! are read after the last of them has accepted: of any concurrent turns, one then sees all the
//! others.

use crate::{ledger, member, record, service};

/// The votes on one reservation, with members identified by `M`.
#[derive(Clone, Debug)]
pub struct Tally<M> {
    /// Members that accepted, and the digest of each one's charges.
    accepted: Vec<(M, u64)>,
    refused: usize,
    /// Charges reported with refusals.
    known: Vec<ledger::Line>,
}

/// Verdict on a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The turn may run.
    Run,
    /// The members that accepted have different charges: the union of their ledgers decides.
    Compare,
    /// The turn exceeds the program's budget.
    Spent {
        /// Tokens charged so far.
        used: record::Tokens,
    },
    /// Too few members voted.
    Unsure {
        /// Members that voted.
        answered: usize,
        /// Members that have to accept.
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
    /// Counts a vote to accept from a member whose charges have this `digest`.
    pub fn accept(&mut self, from: M, digest: u64) {
        self.accepted.push((from, digest));
    }

    /// Counts a refusal by a member with the charges `known`.
    pub fn refuse(&mut self, known: Vec<ledger::Line>) {
        self.refused += 1;
        self.known.extend(known);
    }

    /// Members that accepted.
    pub fn accepted(&self) -> impl Iterator<Item = M> {
        self.accepted.iter().map(|(from, _)| *from)
    }

    /// Charges to send with a second request, if that may change the outcome: a member that refused
    /// may lack settlements that others have.
    pub fn retry_charges(&self, reserve: &service::Reserve) -> Option<Vec<ledger::Line>> {
        if self.refused == 0 {
            return None;
        }
        let union = ledger::Ledger::union(&self.known);
        if !union.allows(&reserve.charge, reserve.tokens, reserve.budget) {
            return None;
        }
        let mut charges = union.lines();
        charges.retain(|line| line.charge != reserve.charge);
        Some(charges)
    }

    /// The verdict for `members` members with these quorums.
    pub fn verdict(&self, members: usize, quorum: member::Quorum) -> Verdict {
        let needed = quorum.vote;
        if self.accepted.len() >= needed {
            return if self.digests_agree() {
                Verdict::Run
            } else {
                Verdict::Compare
            };
        }
        // With this many refusals, no majority can accept.
        if self.refused > 0 && self.refused + needed > members {
            let used = ledger::Ledger::union(&self.known).total();
            return Verdict::Spent { used };
        }
        Verdict::Unsure {
            answered: self.accepted.len() + self.refused,
            needed,
        }
    }

    /// Whether all that accepted have the same charges.
    fn digests_agree(&self) -> bool {
        let mut digests = self.accepted.iter().map(|(_, digest)| digest);
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }
}

/// Judges a reservation by the ledgers of all that accepted, read after the last of them did.
///
/// # Errors
///
/// The tokens charged, if they exceed the budget.
pub fn compare(reserve: &service::Reserve, lines: &[ledger::Line]) -> Result<(), record::Tokens> {
    let used = ledger::Ledger::union(lines).total();
    if used <= reserve.budget {
        Ok(())
    } else {
        Err(used)
    }
}
