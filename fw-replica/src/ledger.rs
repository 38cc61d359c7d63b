//! A program's token budget as a set of charges.
//!
//! *Load pattern:* a program's sub-agents run turns through several entries at once, and one that
//! loops endlessly starts more until it is stopped.
//!
//! *Rule:* a replica accepts a reservation if it and all charges of the program on that replica stay
//! within the budget. Charges merge in any order: a settlement replaces its reservation,
//! and nothing replaces a settlement. A reservation made before a failure thus counts in full until it
//! is settled.
//!
//! A majority of replicas that each accept is not enough: each earlier reservation is on at least
//! one of them, but not all on the same one, so that three turns could pass where two fit.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::record;

/// One charge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Its id.
    pub charge: record::ChargeId,
    /// Tokens reserved, or used if settled.
    pub tokens: record::Tokens,
    /// Whether the turn has ended.
    pub settled: bool,
}

impl From<&record::Charge> for Line {
    fn from(charge: &record::Charge) -> Self {
        Self {
            charge: charge.id.clone(),
            tokens: charge.tokens,
            settled: charge.settled,
        }
    }
}

/// All charges of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    lines: HashMap<record::ChargeId, (record::Tokens, bool)>,
    total: record::Tokens,
    last_charged: record::UnixMs,
}

impl Ledger {
    /// Whether `line` is new: it is unless it repeats a reservation or the charge is settled already.
    pub fn is_new(&self, line: &Line) -> bool {
        match self.lines.get(&line.charge) {
            None => true,
            Some((_, settled)) => line.settled && !settled,
        }
    }

    /// Whether `line` is the current state of its charge.
    pub fn holds(&self, line: &Line) -> bool {
        self.lines.get(&line.charge) == Some(&(line.tokens, line.settled))
    }

    /// Merges `line`; returns whether the ledger changed.
    pub fn merge(&mut self, line: &Line, made: record::UnixMs) -> bool {
        self.last_charged = self.last_charged.max(made);
        if !self.is_new(line) {
            return false;
        }
        let old = self.lines.get(&line.charge).map_or(0, |known| known.0);
        self.lines
            .insert(line.charge.clone(), (line.tokens, line.settled));
        self.total = self.total.saturating_sub(old).saturating_add(line.tokens);
        true
    }

    /// Whether `tokens` for `charge` and all other charges stay within `budget`. A charge that is
    /// in the ledger already adds nothing, but is judged again.
    ///
    /// *Failure:* too few replicas answered, and an entry retried its turn. Meanwhile replicas had
    /// copied its reservation from each other, treated the turn as granted, and accepted it beside
    /// another turn granted in between: both ran where the budget held one.
    pub fn allows(
        &self,
        charge: &record::ChargeId,
        tokens: record::Tokens,
        budget: record::Tokens,
    ) -> bool {
        let additional = if self.lines.contains_key(charge) {
            0
        } else {
            tokens
        };
        self.total.saturating_add(additional) <= budget
    }

    /// The union of several ledgers.
    pub fn union<'a>(ledgers: impl IntoIterator<Item = &'a Line>) -> Self {
        let mut union = Self::default();
        for line in ledgers {
            union.merge(line, 0);
        }
        union
    }

    /// Digest of all charges except `charge`, independent of their order.
    pub fn digest(&self, charge: &record::ChargeId) -> u64 {
        let others = self.lines.iter().filter(|(known, _)| *known != charge);
        others.fold(0, |all, (charge, (tokens, settled))| {
            let seed = tokens * 2 + u64::from(*settled);
            all ^ xxh3::xxh3_64_with_seed(charge.as_bytes(), seed)
        })
    }

    /// Sum of all charges.
    pub fn total(&self) -> record::Tokens {
        self.total
    }

    /// Time of the last charge.
    pub fn last_charged(&self) -> record::UnixMs {
        self.last_charged
    }

    /// All charges, in arbitrary order.
    pub fn lines(&self) -> Vec<Line> {
        let line =
            |(charge, &(tokens, settled)): (&record::ChargeId, &(record::Tokens, bool))| Line {
                charge: charge.clone(),
                tokens,
                settled,
            };
        self.lines.iter().map(line).collect()
    }
}
