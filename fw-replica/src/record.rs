//! What is stored, and the ids it is stored under.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{member, service};

/// Names a turn: the request id of the attempt that ran it.
pub type TurnId = SmolStr;
/// Names a program.
pub type ProgramId = SmolStr;
/// Names a replica; stable over its restarts.
pub type ReplicaId = SmolStr;
/// Milliseconds since the Unix epoch, by the writer's clock.
pub type UnixMs = u64;
/// A count of model tokens.
pub type Tokens = u64;

/// How long a charge is kept. A program that was stopped may return within the retention of its
/// turns; twice the longest seen (60 s) leaves room for clocks that differ.
pub const KEEP_CHARGE: Duration = Duration::from_secs(180);
/// Time that a turn is kept beyond its retention, for clocks that differ.
pub const KEEP_SLACK: Duration = Duration::from_secs(60);

/// A finished turn: what it was asked and what it answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn's own id.
    pub id: TurnId,
    /// The turn that it continues; `None` at the start of a chain.
    pub parent: Option<TurnId>,
    /// The new input alone, without the chain before it.
    pub input: Bytes,
    /// The data of each event, each followed by a line feed.
    pub output: Bytes,
    /// When it ended.
    pub ended: UnixMs,
    /// How long it has to be kept from then on.
    pub retention: Duration,
}

impl Turn {
    /// Until when it has to be kept.
    pub fn until(&self) -> UnixMs {
        add(self.ended, self.retention + KEEP_SLACK)
    }
}

/// A change of one program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The program charged.
    pub program: ProgramId,
    /// The turn that it is charged for.
    pub turn: TurnId,
    /// Tokens reserved at most, or used in the end.
    pub tokens: Tokens,
    /// Whether `tokens` is final.
    pub settled: bool,
    /// When it was made.
    pub made: UnixMs,
}

impl Charge {
    /// Until when it has to be kept, unless its program is charged again by then.
    pub fn until(&self) -> UnixMs {
        add(self.made, KEEP_CHARGE)
    }
}

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A finished turn.
    Turn(Turn),
    /// A reservation or settlement of tokens.
    Charge(Charge),
    /// Whether the replica has all that a member has to know, so that it may vote.
    Synced(bool),
    /// A member list that the replica has learned, so that it refuses older ones after a restart
    /// too.
    Members(member::View),
    /// The configuration, as entries know it from the platform's store.
    Config(service::SnapshotPart),
    /// The upstreams, as entries know them.
    Upstreams(service::SnapshotPart),
}

impl Record {
    /// Until when it has to be kept. Zero for kinds of which only the newest counts: each segment
    /// of the journal begins with these.
    pub fn until(&self) -> UnixMs {
        match self {
            Self::Turn(turn) => turn.until(),
            Self::Charge(charge) => charge.until(),
            Self::Synced(_) | Self::Members(_) | Self::Config(_) | Self::Upstreams(_) => 0,
        }
    }
}

/// The time `later` than `time`.
pub fn add(time: UnixMs, later: Duration) -> UnixMs {
    time.saturating_add(later.as_millis() as u64)
}
