//! The messages between entries and replicas, and among replicas.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fw_base::id;
use fw_plan::quota;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{affinity, ledger, member, record};

/// Asks for tokens for a turn, and for the chain that it continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Epoch of the sender's member list.
    pub epoch: member::Epoch,
    /// The tokens wanted; `None` for a program without a budget.
    pub reserve: Option<Reserve>,
    /// The newest turn of the chain wanted; `None` if the sender has it or asks another.
    pub chain: Option<record::TurnId>,
    /// The sender's own calls under way.
    pub load: Load,
    /// Whether the answer is to tell those of the others, a number for each upstream: one replica tells
    /// them as well as all.
    pub wants_peer_state: bool,
    /// What the turn's prompt begins like.
    pub lineage: affinity::Lineage,
    /// What the sender has let through of the turn's team.
    pub usage: Option<TeamUsage>,
}

/// Requests of a team that an entry has let through.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: id::TeamId,
    /// Their counts.
    pub report: quota::Report,
}

/// One entry's calls under way, by upstream.
///
/// They travel with the reservations, which go to all replicas anyway: so entries know of each
/// other's calls without a message more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Names the entry; drawn at its start.
    pub entry: u32,
    /// Short hash of an upstream's id, and calls under way there. Upstreams without any are left
    /// out.
    pub calls: Vec<(u16, u16)>,
    /// Where the entry passes connections of others on to replicas.
    pub relay: Option<SocketAddr>,
}

/// What an entry learns of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Calls of all others under way, by the short hash of the upstream's id.
    pub calls: Vec<(u16, u16)>,
    /// Where some of them pass connections on to replicas.
    pub relays: Vec<SocketAddr>,
    /// Requests of the team named, if any was.
    pub usage: Option<quota::Summary>,
}

/// Digest of a part's bytes; 0 if there is none.
///
/// A revision of the store does not determine a part: its reader may have read it over several pages.
pub type PartDigest = u64;

/// A part of what entries know from the platform's store, for those that do not read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Revision of the store that it reflects.
    pub as_of: u64,
    /// The entries' own form.
    pub bytes: Bytes,
}

impl SnapshotPart {
    /// Digest of the bytes.
    pub fn digest(&self) -> PartDigest {
        xxh3::xxh3_64(&self.bytes).max(1)
    }
}

/// The parts, each of which changes by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration: large, and changed a few times a minute.
    pub config: Option<SnapshotPart>,
    /// The upstreams: small, and changed more often.
    pub upstreams: Option<SnapshotPart>,
}

impl Snapshot {
    /// Digests of the parts.
    pub fn digests(&self) -> PartDigests {
        let of = |part: &Option<SnapshotPart>| part.as_ref().map_or(0, SnapshotPart::digest);
        PartDigests {
            config: of(&self.config),
            upstreams: of(&self.upstreams),
        }
    }

    /// Newest revision that a part reflects.
    pub fn as_of(&self) -> u64 {
        let parts = self.config.iter().chain(&self.upstreams);
        parts.map(|part| part.as_of).max().unwrap_or(0)
    }
}

/// Digests of the parts that somebody has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartDigests {
    /// Of the configuration.
    pub config: PartDigest,
    /// Of the upstreams.
    pub upstreams: PartDigest,
}

impl PartDigests {
    /// Which of the parts that somebody has, these, the owner of `others` lacks: not that part, but
    /// none or another.
    pub fn differing_from(&self, others: Self) -> Self {
        let unlike = |own, other| if own == other { 0 } else { own };
        Self {
            config: unlike(self.config, others.config),
            upstreams: unlike(self.upstreams, others.upstreams),
        }
    }

    /// Whether there is no part.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What an asker knows of the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// Newest revision of which it knows something.
    pub as_of: u64,
    /// Digests of its parts.
    pub digests: PartDigests,
}

/// An entry has read the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Names the entry.
    pub entry: u32,
    /// Revision up to which it has read.
    pub as_of: u64,
    /// A moment of the receiver before which the read was not asked, if the sender knows one.
    pub requested_at: Option<ClockReading>,
    /// Digests of what is known now.
    pub digests: PartDigests,
    /// What has changed.
    pub changed: Snapshot,
}

/// A moment by the clock of a replica, which the receiver only hands back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Names the start of the replica.
    pub run: u64,
    /// Time since the boot of its machine.
    pub at: Duration,
}

/// Answer to [`Publish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Whether no part is missing here.
    pub is_complete: bool,
    /// When it was answered.
    pub now: ClockReading,
}

/// The last time that an entry read the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRead {
    /// Names the entry.
    pub by: u32,
    /// Revision up to which it read.
    pub as_of: u64,
    /// How long ago it told so.
    pub ago: Duration,
    /// How long ago the read was asked at most; `None` if that is not proven. A post that was held up
    /// on its way looks new.
    pub asked: Option<Duration>,
}

/// Reads of the platform's store that followed each other without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadSpan {
    /// How long ago the first was asked.
    pub first: Duration,
    /// How long ago the last was asked.
    pub last: Duration,
}

/// What a replica knows of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The parts that the asker lacks; none while it knows a newer revision.
    pub newer: Snapshot,
    /// Digests of all parts that the replica has.
    pub digests: PartDigests,
    /// The newest member list.
    pub view: member::View,
    /// The reads since the platform's store was away last, as far as the replica was told of them.
    pub reads: Option<ReadSpan>,
    /// How long the answer was held back.
    pub held_for: Duration,
    /// The last read of which the replica knows all parts. With `newer` the asker knows them too.
    pub last_read: Option<LastRead>,
}

/// A reservation of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The program.
    pub program: record::ProgramId,
    /// The turn that is to run.
    pub turn: record::TurnId,
    /// Tokens that it generates at most.
    pub tokens: record::Tokens,
    /// Tokens that the whole program may generate.
    pub budget: record::Tokens,
    /// Charges that the sender knows and the replica may not.
    pub known: Vec<ledger::Line>,
}

/// What a replica says of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// It is within the budget as far as this replica knows, and on disk.
    Accepted {
        /// Digest of the charges known here when it was judged, but for this one.
        digest: u64,
    },
    /// It is not within the budget.
    Refused {
        /// All charges known here.
        ledger: Vec<ledger::Line>,
    },
    /// The replica cannot say.
    Unsure {
        /// Why.
        why: Unsure,
    },
}

/// Why a replica cannot say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unsure {
    /// It has not copied yet what the others know.
    Unsynced,
    /// The sender's member list is older than this one.
    OldList(member::View),
    /// It is to be taken away and takes nothing new.
    Retiring,
    /// Its disk failed.
    Disk,
}

/// Answer to [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginReply {
    /// Of the reservation; `None` if none was asked for.
    pub vote: Option<Vote>,
    /// Of the chain.
    pub chain: Chain,
    /// Of the other entries, if wanted.
    pub peer_state: Option<PeerState>,
    /// Where turns whose prompts begin like this one's ran last.
    pub last_upstreams: affinity::LastUpstreams,
}

/// As much of a chain as a replica has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// Turns from the newest to the oldest.
    pub turns: Vec<record::Turn>,
    /// The first turn on the way that is not here.
    pub missing: Option<record::TurnId>,
    /// Whether the replica would have that turn if it had been stored here, as a member of the list
    /// that the sender goes by.
    pub certain: bool,
}

/// Stores what came of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The turn, if later ones may continue it.
    pub turn: Option<record::Turn>,
    /// The settlement of its tokens.
    pub charge: Option<record::Charge>,
    /// Where it ran.
    pub location: Option<affinity::Location>,
}

/// Where a reader stands in a replica's list of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Drawn at each start of the replica; another one means that counting begins anew.
    pub run: u64,
    /// Records read so far.
    pub read: u64,
}

/// One record in a replica's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedRecord {
    /// A turn, by its id.
    Turn(record::TurnId),
    /// A charge, whole.
    Charge(record::Charge),
}

/// A part of a replica's list of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Where to go on.
    pub next: Position,
    /// The records, in the order in which they were stored.
    pub records: Vec<ListedRecord>,
    /// Whether more are there already.
    pub more: bool,
    /// Whether the replica has all that a member has to know.
    pub synced: bool,
    /// Whether it is to be taken away.
    pub retiring: bool,
}

/// How a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingReply {
    /// Whether it is to be taken away.
    pub retiring: bool,
    /// The newest member list that it knows.
    pub view: member::View,
    /// Replicas that the operator wants emptied.
    pub retire: Vec<record::ReplicaId>,
    /// Replicas that stand by and come before the asker.
    pub standbys_ahead: usize,
}

/// The calls that a replica answers.
#[tarpc::service]
pub trait Replica {
    /// Reserves tokens and reads a chain.
    async fn begin(req: Begin) -> BeginReply;
    /// Stores a turn and settles its tokens; `true` once both are on disk.
    async fn finish(req: Finish) -> bool;
    /// Reads all charges of a program.
    async fn ledger(program: record::ProgramId) -> Vec<ledger::Line>;
    /// Reads a chain from its newest turn, for a sender that goes by the member list of `epoch`.
    async fn chain(epoch: member::Epoch, newest: record::TurnId) -> Chain;
    /// Reads the list of records. `reader` has stored all that it was given before `after`.
    async fn list(reader: record::ReplicaId, after: Position) -> Page;
    /// Tells the newest member list known, and which replicas the operator wants emptied; `true`
    /// once the replica refuses older lists, also after a restart.
    async fn announce_members(view: member::View, retire: Vec<record::ReplicaId>) -> bool;
    /// Keeps what an entry has read, unless newer is known.
    async fn publish(post: Publish) -> Published;
    /// Counts what an entry has let through of some teams; returns what is known of each.
    async fn report_usage(entry: u32, spent: Vec<TeamUsage>) -> Vec<quota::Summary>;
    /// What an asker lacks. Waits up to `wait` until an entry has read the store.
    async fn poll_update(known: KnownVersion, wait: Duration) -> Update;
    /// Tells the present moment.
    async fn read_clock() -> ClockReading;
    /// Asks how the replica is; `standby` names the asker if it stands by.
    async fn ping(standby: Option<record::ReplicaId>) -> PingReply;
    /// Reads turns by their ids; those that are not here are left out.
    async fn fetch(ids: Vec<record::TurnId>) -> Vec<record::Turn>;
}
