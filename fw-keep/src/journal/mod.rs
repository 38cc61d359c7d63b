//! Journal of a shard in the store.
//!
//! A journal is a sequence of segments, each of which is one value in the store. [`Entry`] values
//! are encoded in groups; a group takes one segment or, if it is large, several.

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
    /// A turn was committed. The first turn of a program also creates it.
    Turn {
        /// The program.
        program: id::ProgramId,
        /// Its team.
        team: id::TeamId,
        /// The program that it is a sub-agent of.
        parent: Option<id::ProgramId>,
        /// The turn.
        turn: Box<program::Turn>,
        /// Time at which it was committed.
        at: Duration,
    },
    /// Budget was spent without a turn.
    Charge {
        /// The program.
        program: id::ProgramId,
        /// The amount spent.
        amount: ledger::Amount,
    },
    /// A program was ended.
    End {
        /// The program.
        program: id::ProgramId,
        /// Time at which it was ended.
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
        /// Time at which it was made.
        at: Duration,
    },
    /// A claimed call was answered.
    Done {
        /// The key.
        key: claim::Key,
        /// The answer.
        answer: claim::Answer,
        /// Time at which it was answered.
        at: Duration,
    },
    /// A claim was deleted: its call did not run, or its retention is over.
    Free {
        /// The key.
        key: claim::Key,
    },
    /// The state of a program, in a snapshot.
    Program {
        /// The program.
        program: id::ProgramId,
        /// Its committed state.
        saved: Box<program::Saved>,
    },
    /// The state of a claim, in a snapshot.
    Kept {
        /// The key.
        key: claim::Key,
        /// The claim.
        claim: claim::Claim,
    },
}
