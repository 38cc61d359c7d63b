//! Request and reply types of the replica service, and the service itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fw_base::id;
use fw_plan::{prefix, quarantine, quota, speed};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{affinity, beginnings, ledger, member, record, streams};

/// Requests a reservation of tokens for a turn, and the chain that the turn continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Epoch of the sender's member list.
    pub epoch: member::Epoch,
    /// The reservation; `None` for a program without a budget.
    pub reserve: Option<Reserve>,
    /// The newest turn of the requested chain; `None` if the sender has the chain or requests it
    /// from another replica.
    pub chain: Option<record::TurnId>,
    /// The sender's own calls in flight.
    pub load: Load,
    /// Whether the reply should include the state of the other entries. One replica is enough: all
    /// have the same numbers.
    pub wants_peer_state: bool,
    /// Lineage of the turn's prompt.
    pub lineage: affinity::Lineage,
    /// Requests of the turn's team that the sender has admitted.
    pub usage: Option<TeamUsage>,
    /// Whether `load` is left out, and the sender's last report goes on to count.
    pub omits_load: bool,
    /// Parts of the turn's prompt, if the reply should name the engines that hold them.
    pub parts: Vec<prefix::Part>,
}

/// Requests of a team that an entry has admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: id::TeamId,
    /// Request counts of the team.
    pub report: quota::Report,
}

/// One entry's calls in flight, by upstream.
///
/// They are sent along with the reservations, which go to all replicas anyway, so that entries
/// learn of each other's calls without extra messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the entry; drawn at its start.
    pub entry: u32,
    /// Short hash of an upstream's id, and the number of calls in flight there. Upstreams without
    /// calls are left out, except those in `speeds`.
    pub calls: Vec<(u16, u16)>,
    /// Speeds that the first upstreams of `calls` stated lately, in the same order.
    pub speeds: Vec<speed::Report>,
    /// Address at which the entry relays other entries' connections to replicas.
    pub relay: Option<SocketAddr>,
}

impl Load {
    /// The report without calls and relay, for a replica that keeps the last one.
    pub fn without_calls(&self) -> Self {
        Self {
            entry: self.entry,
            ..Self::default()
        }
    }
}

/// State of the other entries, aggregated by a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Calls in flight of all other entries, by the short hash of the upstream's id.
    pub calls: Vec<(u16, u16)>,
    /// Speeds that the first upstreams of `calls` stated lately, in the same order.
    pub speeds: Vec<speed::Report>,
    /// Relay addresses of some of them.
    pub relays: Vec<SocketAddr>,
    /// Requests of the team named in the request, if any.
    pub usage: Option<quota::Summary>,
}

/// Digest of a part's bytes; 0 if there is none.
///
/// A revision of the store does not determine a part, as its reader may have read it over several
/// pages.
pub type PartDigest = u64;

/// One part of the platform store's contents, as published by an entry that has read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Store revision that the part reflects.
    pub as_of: u64,
    /// The part, in an encoding private to the entries.
    pub bytes: Bytes,
}

impl SnapshotPart {
    /// Digest of the bytes.
    pub fn digest(&self) -> PartDigest {
        xxh3::xxh3_64(&self.bytes).max(1)
    }
}

/// Contents of the platform's store. The parts change independently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration: large, and changed a few times a minute.
    pub config: Option<SnapshotPart>,
    /// The list of upstreams: small, and changed more often.
    pub upstreams: Option<SnapshotPart>,
}

impl Snapshot {
    /// Digests of both parts.
    pub fn digests(&self) -> PartDigests {
        let of = |part: &Option<SnapshotPart>| part.as_ref().map_or(0, SnapshotPart::digest);
        PartDigests {
            config: of(&self.config),
            upstreams: of(&self.upstreams),
        }
    }

    /// Newest store revision that a part reflects.
    pub fn as_of(&self) -> u64 {
        let parts = self.config.iter().chain(&self.upstreams);
        parts.map(|part| part.as_of).max().unwrap_or(0)
    }
}

/// Digests of the parts of a snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartDigests {
    /// Of the configuration.
    pub config: PartDigest,
    /// Of the upstreams.
    pub upstreams: PartDigest,
}

impl PartDigests {
    /// The parts that `other` lacks or has a different version of. Parts that both have, or that
    /// `self` lacks, are 0.
    pub fn differing_from(&self, other: Self) -> Self {
        let differing = |own, other| if own == other { 0 } else { own };
        Self {
            config: differing(self.config, other.config),
            upstreams: differing(self.upstreams, other.upstreams),
        }
    }

    /// Whether there is no part.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Version of the platform store's contents that the sender of a request has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// Newest store revision of which the sender has any part.
    pub as_of: u64,
    /// Digests of its parts.
    pub digests: PartDigests,
}

/// Publishes a read of the platform's store to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Identifies the entry that made the read.
    pub entry: u32,
    /// Revision up to which it has read.
    pub as_of: u64,
    /// A clock reading of the receiving replica, taken before the read was requested, if the sender
    /// has one.
    pub requested_at: Option<ClockReading>,
    /// Digests of all current parts.
    pub digests: PartDigests,
    /// Parts that have changed.
    pub changed: Snapshot,
}

/// A reading of a replica's clock. Other processes only send it back to that replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Identifies the start of the replica.
    pub run: u64,
    /// Time since the boot of its machine.
    pub at: Duration,
}

/// Answer to [`Publish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Whether the replica now has all parts.
    pub is_complete: bool,
    /// The replica's clock when it replied.
    pub now: ClockReading,
}

/// The last read of the platform's store by an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRead {
    /// Identifies the entry.
    pub by: u32,
    /// Revision up to which it read.
    pub as_of: u64,
    /// Time since the read was published.
    pub ago: Duration,
    /// Upper bound of the time since the read was requested; `None` if unproven. A publication that
    /// was delayed on its way looks recent.
    pub asked: Option<Duration>,
}

/// A sequence of reads of the platform's store without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadSpan {
    /// Time since the first was requested.
    pub first: Duration,
    /// Time since the last was requested.
    pub last: Duration,
}

/// Reply to a poll for changes in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The parts that the requester lacks; none while it has a newer revision.
    pub newer: Snapshot,
    /// Digests of all parts of the replica.
    pub digests: PartDigests,
    /// The newest member list.
    pub view: member::View,
    /// The contiguous reads since the last outage of the platform's store, as far as they were
    /// published to this replica.
    pub reads: Option<ReadSpan>,
    /// How long the reply was held back.
    pub held_for: Duration,
    /// The last read of which the replica has all parts. Together with `newer`, so has the
    /// requester.
    pub last_read: Option<LastRead>,
}

/// A reservation of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The program.
    pub program: record::ProgramId,
    /// The charge that is made.
    pub charge: record::ChargeId,
    /// Most tokens that the turn generates.
    pub tokens: record::Tokens,
    /// Token budget of the whole program.
    pub budget: record::Tokens,
    /// Charges known to the sender that the replica may lack.
    pub known: Vec<ledger::Line>,
}

/// A replica's vote on a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// Within the budget by the charges that this replica has, and on disk.
    Accepted {
        /// Digest of the charges that the replica had when it voted, without this one.
        digest: u64,
    },
    /// Over the budget.
    Refused {
        /// All charges of the program on this replica.
        ledger: Vec<ledger::Line>,
    },
    /// The replica abstains.
    Unsure {
        /// The reason.
        why: Unsure,
    },
}

/// Why a replica abstains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unsure {
    /// It has not yet copied the records of the other members.
    Unsynced,
    /// The sender's member list is older than the replica's, which is enclosed.
    OldList(member::View),
    /// It is being retired and accepts no new records.
    Retiring,
    /// Its disk failed.
    Disk,
}

/// Answer to [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginReply {
    /// Vote on the reservation; `None` if none was requested.
    pub vote: Option<Vote>,
    /// The requested chain.
    pub chain: Chain,
    /// State of the other entries, if requested.
    pub peer_state: Option<PeerState>,
    /// Upstreams that last ran turns of this lineage.
    pub last_upstreams: affinity::LastUpstreams,
    /// Engines that hold the beginning of the turn's prompt.
    pub holders: Vec<prefix::Holder>,
}

/// The part of a chain that a replica has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// Turns from the newest to the oldest.
    pub turns: Vec<record::Turn>,
    /// The first turn of the rest that this replica lacks.
    pub missing: Option<record::TurnId>,
    /// Whether the absence of `missing` is certain: as a member of the sender's list, the replica
    /// would have that turn if it had been stored here.
    pub certain: bool,
}

/// Stores the outcome of a turn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The turn, if later ones may continue it.
    pub turn: Option<record::Turn>,
    /// The settlement of its tokens.
    pub charge: Option<record::Charge>,
    /// The upstream that ran it.
    pub location: Option<affinity::Location>,
}

/// Answer to a [`Finish`] that needs the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finished {
    /// The outcome is not on disk.
    Refused,
    /// All of the outcome is on disk.
    Stored,
    /// Nothing is stored, as the replica lacks this turn of the chain that the turn continues.
    LacksChain {
        /// The newest turn of the chain that it lacks.
        missing: record::TurnId,
    },
}

/// Stores a chain at a replica that lacks a part of it, before a turn that continues it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChain {
    /// Epoch of the sender's member list, if the chain is stored on `f + 1` members only.
    pub quorum: Option<member::Epoch>,
    /// The turns, from the oldest on.
    pub turns: Vec<record::Turn>,
    /// Until when they are retained at least.
    pub until: record::UnixMs,
}

/// A reader's position in a replica's list of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Drawn at each start of the replica; if it differs, the list is read from its beginning.
    pub run: u64,
    /// Number of records read so far.
    pub read: u64,
}

/// One record in a replica's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedRecord {
    /// A turn, by its id.
    Turn(record::TurnId),
    /// A charge in full.
    Charge(record::Charge),
}

/// A page of a replica's list of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Position of the next page.
    pub next: Position,
    /// The records, in the order in which they were stored.
    pub records: Vec<ListedRecord>,
    /// Whether there are more records.
    pub more: bool,
    /// Whether the replica has all records that a member must have.
    pub synced: bool,
    /// Whether the replica is being retired.
    pub retiring: bool,
    /// Indexes of the records that are turns stored on a write quorum only.
    pub quorum_turns: Vec<u32>,
}

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingReply {
    /// Whether it is being retired.
    pub retiring: bool,
    /// Its newest member list.
    pub view: member::View,
    /// Replicas that the operator wants retired.
    pub retire: Vec<record::ReplicaId>,
    /// Standby replicas that take precedence over the requester.
    pub standbys_ahead: usize,
}

/// Requests the single attempt of a request that has crashed upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAttempt {
    /// The attempt.
    pub holder: quarantine::HolderId,
    /// What the sender knows of the request.
    pub suspect: quarantine::Suspect,
}

/// Answer to [`ClaimAttempt`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Whether the attempt is granted by this replica.
    pub granted: bool,
    /// What the replica knows of the request; `None` if its record has just been dropped.
    pub suspect: Option<quarantine::Suspect>,
}

/// Reports the outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAttempt {
    /// What the sender knows of the request.
    pub suspect: quarantine::Suspect,
    /// The attempt whose claim ends.
    pub release: Option<quarantine::HolderId>,
}

/// Changes of a replica's record of crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPage {
    /// Position after these changes.
    pub next: Position,
    /// The requests that have changed.
    pub suspects: Vec<quarantine::Suspect>,
}

/// Reports that the first event of a stream was forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBegun {
    /// The stream.
    pub stream: streams::StreamId,
    /// Where the event came from.
    pub origin: streams::Origin,
}

/// Which records a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All.
    All,
    /// All but the turns that are stored on a write quorum only and reservations that are settled.
    ForAllMembers,
}

/// The service of a replica. New methods are added at the end, as the codec numbers them by their order.
#[tarpc::service]
pub trait Replica {
    /// Reserves tokens and reads a chain.
    async fn begin(req: Begin) -> BeginReply;
    /// Stores a turn and settles its tokens; `true` once both are on disk.
    async fn finish(req: Finish) -> bool;
    /// Reads all charges of a program.
    async fn ledger(program: record::ProgramId) -> Vec<ledger::Line>;
    /// Reads a chain from its newest turn, for a sender that uses the member list of `epoch`.
    async fn chain(epoch: member::Epoch, newest: record::TurnId) -> Chain;
    /// Reads the list of records. `reader` has stored all records before `after`.
    async fn list(reader: record::ReplicaId, after: Position) -> Page;
    /// Announces the sender's newest member list, and the replicas that the operator wants retired;
    /// `true` once the replica refuses older lists, also after a restart.
    async fn announce_members(view: member::View, retire: Vec<record::ReplicaId>) -> bool;
    /// Stores the parts that an entry has read, unless newer ones are stored.
    async fn publish(req: Publish) -> Published;
    /// Records the requests that an entry has admitted for some teams; returns the totals of each
    /// team.
    async fn report_usage(entry: u32, usage: Vec<TeamUsage>) -> Vec<quota::Summary>;
    /// Long poll for the parts that the requester lacks: waits up to `wait` until a read of the
    /// store is published or the member list changes.
    async fn poll_update(known: KnownVersion, wait: Duration) -> Update;
    /// Reads the replica's clock.
    async fn read_clock() -> ClockReading;
    /// Reports the replica's state; `standby` is the requester's name if it is a standby replica.
    async fn ping(standby: Option<record::ReplicaId>) -> PingReply;
    /// Reads turns by their ids; those not stored here are left out, and the last ones if the reply has no
    /// room for them.
    async fn fetch(ids: Vec<record::TurnId>) -> Vec<record::Turn>;
    /// Claims the single attempt of a request that has crashed upstreams.
    async fn claim_attempt(req: ClaimAttempt) -> ClaimReply;
    /// Records the outcome of an attempt.
    async fn report_attempt(req: ReportAttempt);
    /// Long poll for what has changed after a position in the record of crashes: waits up to `wait`
    /// for a change.
    async fn poll_suspects(after: Position, wait: Duration) -> SuspectPage;
    /// Records the origin of a stream.
    async fn record_stream(req: StreamBegun);
    /// The origin of a stream, if it is on record.
    async fn find_stream(stream: streams::StreamId) -> Option<streams::Origin>;
    /// Stores a turn that is on `f + 1` members only, and settles its tokens. `true` once both are on
    /// disk; `false` at once if the replica does not vote or has a newer member list than that of
    /// `epoch`, as it may then not count as one of the `f + 1`.
    async fn finish_quorum(epoch: member::Epoch, req: Finish) -> bool;
    /// Reads the list of records for a reader that has not stored all records before `after`.
    async fn browse(after: Position, scope: Scope) -> Page;
    /// Stores a turn and settles its tokens, if the replica has the whole chain that it continues. On `f + 1`
    /// members only if `quorum` is the epoch of the sender's member list.
    async fn finish_with_chain(quorum: Option<member::Epoch>, req: Finish) -> Finished;
    /// Stores turns that the replica lacks; `true` once all are on disk.
    async fn store_chain(req: StoreChain) -> bool;
    /// Adds events to the beginning of a stream that may be taken up.
    async fn extend_stream(req: beginnings::Extend) -> beginnings::Extended;
    /// The beginning of a stream, if it is on record.
    async fn find_beginning(stream: streams::StreamId) -> Option<beginnings::Beginning>;
}
