//! What a shard writes to the store.
//!
//! A shard's journal is a sequence of segments, each one value in the store. [`Entry`] values are
//! encoded into groups, a group into one segment or, if it is large, several.

pub mod keys;
pub mod replay;
pub mod segment;
pub mod writer;

use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::claim;
use crate::ledger;
use crate::program;

/// One change of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A turn was finished. The first one of a program also makes it known.
    Turn {
        /// The program.
        program: id::ProgramId,
        /// Its team.
        team: id::TeamId,
        /// The program that it is a sub-agent of.
        parent: Option<id::ProgramId>,
        /// The turn.
        turn: Box<program::Turn>,
        /// When it was finished.
        at: Duration,
    },
    /// Budget was spent without a turn.
    Charge {
        /// The program.
        program: id::ProgramId,
        /// What was spent.
        amount: ledger::Amount,
    },
    /// A program was ended.
    End {
        /// The program.
        program: id::ProgramId,
        /// When.
        at: Duration,
    },
    /// A program's retention is over.
    Forget {
        /// The program.
        program: id::ProgramId,
    },
    /// A claim was made.
    Claim {
        /// The key.
        key: claim::Key,
        /// Fingerprint of the call.
        fingerprint: Digest,
        /// When.
        at: Duration,
    },
    /// A claimed call was answered.
    Done {
        /// The key.
        key: claim::Key,
        /// The answer.
        answer: claim::Answer,
        /// When.
        at: Duration,
    },
    /// A claim is void: its call did not run, or its retention is over.
    Free {
        /// The key.
        key: claim::Key,
    },
    /// The whole of a program, in a snapshot.
    Program {
        /// The program.
        program: id::ProgramId,
        /// All that is committed of it.
        saved: Box<program::Saved>,
    },
    /// The whole of a claim, in a snapshot.
    Kept {
        /// The key.
        key: claim::Key,
        /// The claim.
        claim: claim::Claim,
    },
}
