//! Record types of the journal, and their ids.

use std::time::Duration;

use bytes::Bytes;
use fw_plan::quarantine;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{member, service};

/// Id of a turn: the request id of the attempt that ran it.
pub type TurnId = SmolStr;
/// Id of a charge, unique for each attempt at a turn. A caller may send a turn again under the id of
/// an earlier attempt, whose charge is settled and final.
pub type ChargeId = SmolStr;
/// Id of a program.
pub type ProgramId = SmolStr;
/// Name of a replica, stable over restarts.
pub type ReplicaId = SmolStr;
/// Milliseconds since the Unix epoch, by the writer's clock.
pub type UnixMs = u64;
/// A count of model tokens.
pub type Tokens = u64;

/// Retention of a charge. A stopped program may return within the retention of its turns; twice
/// the longest seen (60 s) leaves room for clock differences.
pub const CHARGE_RETENTION: Duration = Duration::from_secs(180);
/// Additional retention of turns, for clock differences.
pub const RETENTION_SLACK: Duration = Duration::from_secs(60);

/// A finished turn: its input and its output.
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
    /// How long it is retained after its end.
    pub retention: Duration,
}

impl Turn {
    /// End of its retention.
    pub fn retain_until(&self) -> UnixMs {
        add(self.ended, self.retention + RETENTION_SLACK)
    }
}

/// A change of one program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The program charged.
    pub program: ProgramId,
    /// Its id.
    pub id: ChargeId,
    /// Tokens reserved, or used if settled.
    pub tokens: Tokens,
    /// Whether `tokens` is final.
    pub settled: bool,
    /// When it was made.
    pub made: UnixMs,
}

impl Charge {
    /// End of its retention, unless its program is charged again before.
    pub fn retain_until(&self) -> UnixMs {
        add(self.made, CHARGE_RETENTION)
    }
}

/// All requests in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// The requests, with their ages at the time of writing.
    pub suspects: Vec<quarantine::Suspect>,
    /// When it was written.
    pub written: UnixMs,
}

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A finished turn.
    Turn(Turn),
    /// A reservation or settlement of tokens.
    Charge(Charge),
    /// Whether the replica has all records that a member must have, so that it may vote.
    Synced(bool),
    /// A member list that the replica has received, so that it refuses older ones after a restart
    /// too.
    Members(member::View),
    /// The configuration in the platform's store, as published by entries.
    Config(service::SnapshotPart),
    /// The upstreams in the platform's store, as published by entries.
    Upstreams(service::SnapshotPart),
    /// The requests in quarantine.
    Quarantine(Quarantine),
    /// A finished turn that is stored on `f + 1` members and not copied to the others.
    QuorumTurn(Turn),
}

impl Record {
    /// End of its retention. Zero for kinds of which only the newest record counts: each segment of
    /// the journal begins with these.
    pub fn retain_until(&self) -> UnixMs {
        match self {
            Self::Turn(turn) | Self::QuorumTurn(turn) => turn.retain_until(),
            Self::Charge(charge) => charge.retain_until(),
            Self::Synced(_)
            | Self::Members(_)
            | Self::Config(_)
            | Self::Upstreams(_)
            | Self::Quarantine(_) => 0,
        }
    }
}

/// `time` plus `later`.
pub fn add(time: UnixMs, later: Duration) -> UnixMs {
    time.saturating_add(later.as_millis() as u64)
}
