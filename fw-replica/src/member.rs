//! Who the replicas are, and how many of them must agree.
//!
//! The list lies in the platform's store under one key and changes by compare-and-swap, one member
//! at a time, so that a majority of the old list and one of the new always share a member. The
//! store's revision of the key is the list's epoch. A list is changed only after a majority of its
//! members refuse older ones: otherwise an entry that still goes by the list before the last could
//! gather a majority of that one which shares no member with a majority of the newest, and a budget
//! could be spent twice. There are `2 * faults + 1` members; replicas beyond that stand by.
//!
//! *Load pattern:* replicas are replaced by empty ones at other addresses, lose their disks, are
//! added, retired, cut off and frozen, one at a time but in quick succession.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use fw_base::id;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::record;

/// Revision of the member list in the platform's store; 0 before the first list.
pub type Epoch = u64;

/// How long a member must be silent before it may be removed. Well above every pause that a live
/// one is expected to make (a power cycle takes 4 s), so that a member is not removed and added
/// again for each restart.
pub const SILENT_FOR: Duration = Duration::from_secs(6);

/// How long a member must be silent before a replica that stands by takes its place.
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// How long a replica that is to leave waits for another to take its place, if there is none that
/// stands by: some looks of those that do.
pub const SUCCESSOR: Duration = Duration::from_secs(4);

/// Whether a replica that has been told to leave for `told` may do so, as far as the number of those
/// that stay in `list` goes.
///
/// *Failure:* it left as soon as the others had copied everything, a moment before one that stood by
/// took its place. Two of three members were left, the next of them went down, and no turn could begin
/// until it was back.
pub fn may_leave(list: &List, told: Duration, faults: usize) -> bool {
    list.members.len() >= wanted_members(faults) || told >= SUCCESSOR
}

/// Time by which each replica that stands by lets the one before it go first.
///
/// *Failure:* a cut took a third of the machines, so that nearly every one of thirty that stood by heard
/// too few members. Each copied all records from all members it reached, for as long as the cut lasted,
/// and turns waited for the votes of the same members. One after the other, few have begun when a cut
/// ends; a member that is lost is replaced by the first, which waits for nobody.
pub const LETS_BY: Duration = Duration::from_secs(2);

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its data centre.
    pub place: id::PlaceId,
}

/// The list as it lies in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The members, by their names.
    pub members: BTreeMap<record::ReplicaId, Member>,
}

impl List {
    /// Addresses of all members.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().map(|member| member.addr)
    }
}

/// Whether a replica in `place` should join `list` at the first start of a system that has `places`
/// data centres: members are spread over them evenly, so that each has one nearby.
pub fn spreads(list: &List, place: &id::PlaceId, faults: usize, places: usize) -> bool {
    let here = list
        .members
        .values()
        .filter(|member| member.place == *place);
    here.count() < wanted_members(faults).div_ceil(places.max(1))
}

/// A list and its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Epoch of the list.
    pub epoch: Epoch,
    /// The list.
    pub list: List,
}

/// How many members must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Replicas that must have a record on disk before it counts as stored.
    pub write: usize,
    /// Members that must accept a reservation.
    pub vote: usize,
    /// Members that must be certain not to have a turn before it counts as unknown.
    pub absent: usize,
}

impl Quorum {
    /// The quorums of `members` of which `faults` may lose their disks together.
    pub fn of(members: usize, faults: usize) -> Self {
        let write = faults + 1;
        Self {
            write,
            vote: write.max(members / 2 + 1),
            absent: members.saturating_sub(faults).max(1),
        }
    }
}

/// Members that the list should have: with as many, `faults` may fail and a majority is left.
pub fn wanted_members(faults: usize) -> usize {
    2 * faults + 1
}

/// Members among `others` from which a replica without data must copy before it may vote, so that
/// they are sure to include a holder of each stored record and of each reservation.
///
/// A member that `lost` its disk may itself have been one of the holders of a record, so that
/// fewer of the others are.
pub fn needed_sources(others: usize, lost: bool, faults: usize) -> usize {
    let holders = others + usize::from(lost);
    holders.saturating_sub(faults).clamp(1, others.max(1))
}

/// What a replica knows of itself and the others.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The newest member list.
    pub list: &'a List,
    /// The replica's own name.
    pub me: &'a record::ReplicaId,
    /// The replica itself, as the list should have it.
    pub own: &'a Member,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Whether it is to be taken away.
    pub retiring: bool,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it has copied enough since the list in force was announced.
    pub copied: bool,
    /// For how long each other member has been silent.
    pub silent: &'a BTreeMap<record::ReplicaId, Duration>,
    /// Other members that are to be taken away.
    pub leaving: &'a [record::ReplicaId],
    /// Replicas that stand by and go first, as members tell.
    pub before: usize,
    /// For how long there have been too few members that are heard and stay.
    pub short_for: Duration,
}

/// What a replica should do next about the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Stay,
    /// Put this list in place of the one in force.
    Change(List),
    /// Vote: it has all that a member has to know.
    Vote,
    /// It is not needed now.
    StandBy,
    /// Leave the list once others have copied what is here.
    Leave(List),
    /// It has left, which the operator is to be told.
    Left,
}

impl Situation<'_> {
    /// What to do next.
    pub fn decide(&self) -> Next {
        let listed = self.list.members.get(self.me);
        if self.retiring {
            return match listed {
                Some(_) => Next::Leave(self.without(self.me)),
                None => Next::Left,
            };
        }
        match listed {
            Some(known) if known != self.own => Next::Change(self.with_me()),
            Some(_) if !self.votes && self.copied => Next::Vote,
            Some(_) => match self.to_remove() {
                Some(dead) => Next::Change(self.without(dead)),
                None => Next::Stay,
            },
            None if self.is_short() && self.short_for >= LETS_BY * self.before as u32 => {
                Next::Change(self.with_me())
            }
            None => Next::StandBy,
        }
    }

    /// Whether there are too few members that are heard and stay.
    pub fn is_short(&self) -> bool {
        self.usable() < wanted_members(self.faults)
    }

    /// Members that are heard and stay.
    fn usable(&self) -> usize {
        let names = self.list.members.keys();
        names
            .filter(|name| !self.leaving.contains(name) && self.silence(name) < REPLACE_AFTER)
            .count()
    }

    fn silence(&self, name: &record::ReplicaId) -> Duration {
        self.silent.get(name).copied().unwrap_or_default()
    }

    /// The first member that was silent for [`SILENT_FOR`], as long as enough members remain. Only
    /// the first of those that are heard removes it, so that they do not all try.
    fn to_remove(&self) -> Option<&record::ReplicaId> {
        if !self.votes || self.list.members.len() <= wanted_members(self.faults) {
            return None;
        }
        let dead = |name: &&record::ReplicaId| *name != self.me && self.silence(name) >= SILENT_FOR;
        let mut heard = self.list.members.keys().filter(|name| !dead(name));
        if heard.next() != Some(self.me) {
            return None;
        }
        self.list.members.keys().find(dead)
    }

    fn with_me(&self) -> List {
        let mut list = self.list.clone();
        list.members.insert(self.me.clone(), self.own.clone());
        list
    }

    fn without(&self, name: &record::ReplicaId) -> List {
        let mut list = self.list.clone();
        list.members.remove(name);
        list
    }
}

/// Why the list could not be read or changed.
#[derive(Clone, Debug, Snafu)]
pub enum Error {
    /// The store did not answer; a change may have been made.
    #[snafu(display("the platform's store does not answer: {message}"))]
    Unavailable {
        /// What the client saw.
        message: String,
    },
    /// Somebody else changed the list first.
    #[snafu(display("the member list has changed since it was read"))]
    Conflict,
}

/// The list in the platform's store.
pub trait Registry: Send + Sync + 'static {
    /// Reads it.
    fn load(&self) -> BoxFuture<'_, Result<View, Error>>;
    /// Replaces the list of epoch `from`; returns the new epoch.
    fn replace(&self, from: Epoch, list: List) -> BoxFuture<'_, Result<Epoch, Error>>;
    /// Tells the operator that `replica` may be taken away.
    fn report_retired(&self, replica: record::ReplicaId) -> BoxFuture<'_, Result<(), Error>>;
}

/// A registry that may be shared.
pub type SharedRegistry = Arc<dyn Registry>;
