//! The messages between entries and replicas, and among replicas.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{ledger, member, record, trail};

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
    /// What the turn's prompt begins like.
    pub lineage: trail::Lineage,
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
pub struct Others {
    /// Calls of all others under way, by the short hash of the upstream's id.
    pub calls: Vec<(u16, u16)>,
    /// Where some of them pass connections on to replicas.
    pub peers: Vec<SocketAddr>,
}

/// What entries know from the platform's store, for one that cannot reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bulletin {
    /// Revision of the store that it reflects.
    pub as_of: u64,
    /// The entries' own form.
    pub bytes: Bytes,
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
pub struct Begun {
    /// Of the reservation; `None` if none was asked for.
    pub vote: Option<Vote>,
    /// Of the chain.
    pub chain: Chain,
    /// Of the other entries.
    pub others: Others,
    /// Where turns whose prompts begin like this one's ran last.
    pub last: trail::Last,
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
    pub ran: Option<trail::Ran>,
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
pub enum Listed {
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
    pub records: Vec<Listed>,
    /// Whether more are there already.
    pub more: bool,
    /// Whether the replica has all that a member has to know.
    pub synced: bool,
    /// Whether it is to be taken away.
    pub retiring: bool,
}

/// How a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Whether it is to be taken away.
    pub retiring: bool,
    /// The newest member list that it knows.
    pub view: member::View,
    /// Replicas that the operator wants emptied.
    pub retire: Vec<record::ReplicaId>,
}

/// The calls that a replica answers.
#[tarpc::service]
pub trait Replica {
    /// Reserves tokens and reads a chain.
    async fn begin(req: Begin) -> Begun;
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
    async fn tell(view: member::View, retire: Vec<record::ReplicaId>) -> bool;
    /// Keeps a bulletin unless a newer one is known.
    async fn post(bulletin: Bulletin);
    /// The newest bulletin, if it is newer than revision `after`, and the member list.
    async fn news(after: u64) -> (Option<Bulletin>, member::View);
    /// Asks how the replica is.
    async fn ping() -> Pong;
    /// Reads turns by their ids; those that are not here are left out.
    async fn fetch(ids: Vec<record::TurnId>) -> Vec<record::Turn>;
}
