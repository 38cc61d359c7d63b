//! The replicas' member list and its quorums.
//!
//! The list is stored in the platform's store under one key and changes by compare-and-swap, one
//! member at a time, so that a majority of the old list and one of the new list always share a
//! member. The store's revision of the key is the list's epoch. A list is changed only after a
//! majority of its members refuse older ones: otherwise an entry that still uses the list before
//! the last could gather a majority of that list which shares no member with a majority of the
//! newest, and a budget could be spent twice. There are `2 * faults + 1` members; other replicas
//! are standbys.
//!
//! *Load pattern:* replicas are replaced by empty ones at other addresses, lose their disks, are
//! added, retired, partitioned and suspended, one at a time but in quick succession.

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

/// How long a member must be unresponsive before it may be removed. Well above the pauses expected
/// of a live one (a power cycle takes 4 s), so that a restart does not remove a member and add it
/// again.
pub const REMOVE_AFTER: Duration = Duration::from_secs(6);

/// How long a member must be unresponsive before a standby takes its place.
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// How long a retiring replica waits for a standby to take its place, if none has: several polls of
/// the standbys.
pub const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Whether a replica that has been retiring for `retiring_for` may leave, judged by the number of
/// members that stay in `list`.
///
/// *Failure:* it left as soon as the others had copied its records, just before a standby took its
/// place. Two of three members were left, the next of them went down, and no turn could begin until
/// it was back.
pub fn may_leave(list: &List, retiring_for: Duration, faults: usize) -> bool {
    list.members.len() >= target_members(faults) || retiring_for >= SUCCESSOR_TIMEOUT
}

/// Whether `name` may retire from `list` while the members in `leaving` retire too: `faults + 1` others have to stay
/// to keep copies, and each vote needs as many. Of several that retire together, those with the lower names go first.
///
/// *Failure:* two of three members retired in succession. The second one left a single member, no vote and no turn could
/// reach `faults + 1` of them any more, and the next lost disk took the last copy.
pub fn may_retire(
    list: &List,
    name: &record::ReplicaId,
    leaving: &[record::ReplicaId],
    faults: usize,
) -> bool {
    let goes_first = |other: &record::ReplicaId| leaving.contains(other) && other < name;
    let others = list.members.keys().filter(|other| *other != name);
    others.filter(|other| !goes_first(other)).count() > faults
}

/// How long each standby waits for the one before it.
///
/// *Failure:* a network partition took a third of the machines, so that nearly all of thirty
/// standbys saw too few members. Each copied all records from all members within reach for as long
/// as the partition lasted, and turns waited for the votes of those members. Staggered, few
/// standbys have started copying when a partition ends, while the first still replaces a lost
/// member at once.
pub const STANDBY_STAGGER: Duration = Duration::from_secs(2);

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub place: id::PlaceId,
}

/// The list as stored in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The members by name.
    pub members: BTreeMap<record::ReplicaId, Member>,
}

impl List {
    /// Addresses of all members.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().map(|member| member.addr)
    }
}

/// Whether a replica in `place` should join `list` at the first start of a system with `places`
/// data centres. Members are spread evenly over the data centres, so that each has one nearby.
pub fn improves_spread(list: &List, place: &id::PlaceId, faults: usize, places: usize) -> bool {
    let here = list
        .members
        .values()
        .filter(|member| member.place == *place);
    here.count() < target_members(faults).div_ceil(places.max(1))
}

/// A member list with its epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Epoch of the list.
    pub epoch: Epoch,
    /// The list.
    pub list: List,
}

/// The list as it is in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The list and its epoch.
    pub view: View,
    /// Whether a majority of its members refuses older lists, so that it may be changed without asking them.
    ///
    /// *Failure:* one of three members retired, then one of the two that were left was gone for good. A majority of two
    /// is both, so its successor could not join, and no turn began any more.
    pub is_announced: bool,
}

/// Number of members that must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Replicas that must have a record on disk before it counts as stored.
    pub write: usize,
    /// Members that must accept a reservation.
    pub vote: usize,
    /// Members that must report a turn absent with certainty before it counts as unknown.
    pub absent: usize,
}

impl Quorum {
    /// The quorums of `members`, of which `faults` may lose their disks together.
    pub fn of(members: usize, faults: usize) -> Self {
        let write = faults + 1;
        Self {
            write,
            vote: write.max(members / 2 + 1),
            absent: members.saturating_sub(faults).max(1),
        }
    }
}

/// Number of members the list should have: `faults` of them may fail, and a majority is left.
pub fn target_members(faults: usize) -> usize {
    2 * faults + 1
}

/// Number of members among `others` from which a replica without data must copy before it may vote.
/// They are sure to include a holder of each stored record and of each reservation.
///
/// A member that `lost` its disk may itself have been a holder of a record, which leaves one holder
/// fewer among the others.
pub fn needed_sources(others: usize, lost: bool, faults: usize) -> usize {
    let holders = others + usize::from(lost);
    holders.saturating_sub(faults).clamp(1, others.max(1))
}

/// A replica's view of itself and of the other members.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The newest member list.
    pub list: &'a List,
    /// The replica's own name.
    pub own_name: &'a record::ReplicaId,
    /// The replica's own entry, as it should be on the list.
    pub own: &'a Member,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Whether the replica is retiring.
    pub retiring: bool,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it has copied from enough members since the current list was announced.
    pub copied: bool,
    /// Time since each other member last responded.
    pub last_seen_ago: &'a BTreeMap<record::ReplicaId, Duration>,
    /// Other members that are retiring.
    pub leaving: &'a [record::ReplicaId],
    /// Other members that lack records, so that they do not vote.
    pub unsynced: &'a [record::ReplicaId],
    /// Standby replicas that take precedence, as reported by members.
    pub standbys_ahead: usize,
    /// How long there have been too few usable members.
    pub short_for: Duration,
}

/// The next step of a replica regarding the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Stay,
    /// Replace the current list by this one.
    Change(List),
    /// Vote from now on: it has all records that a member must have.
    Vote,
    /// Stay a standby.
    StandBy,
    /// Change the list to this one, without the replica, once others have copied its records.
    Leave(List),
    /// It is off the list, which is to be reported to the operator.
    Left,
}

impl Situation<'_> {
    /// Decides on the next step.
    pub fn decide(&self) -> Action {
        let listed = self.list.members.get(self.own_name);
        if self.retiring {
            return match listed {
                Some(_) => Action::Leave(self.without(self.own_name)),
                None => Action::Left,
            };
        }
        match listed {
            Some(current) if current != self.own => Action::Change(self.with_me()),
            Some(_) if !self.votes && self.copied => Action::Vote,
            Some(_) => match self.to_remove() {
                Some(dead) => Action::Change(self.without(dead)),
                None => Action::Stay,
            },
            None if self.is_short()
                && self.short_for >= STANDBY_STAGGER * self.standbys_ahead as u32 =>
            {
                Action::Change(self.with_me())
            }
            None => Action::StandBy,
        }
    }

    /// Whether there are too few usable members.
    pub fn is_short(&self) -> bool {
        self.usable() < target_members(self.faults)
    }

    /// Number of members that respond and are not retiring.
    fn usable(&self) -> usize {
        let names = self.list.members.keys();
        names
            .filter(|name| !self.leaving.contains(name) && self.last_seen_ago(name) < REPLACE_AFTER)
            .count()
    }

    fn last_seen_ago(&self, name: &record::ReplicaId) -> Duration {
        self.last_seen_ago.get(name).copied().unwrap_or_default()
    }

    /// The first member that has been unresponsive for [`REMOVE_AFTER`], as long as enough members
    /// remain. Only the first of the responsive members that vote removes it, so that they do not all try.
    ///
    /// *Failure:* a successor was killed between joining and voting. It waited for the records of the dead member, whose
    /// removal was left to the successor, as it was the first of those that responded.
    fn to_remove(&self) -> Option<&record::ReplicaId> {
        if !self.votes || self.list.members.len() <= target_members(self.faults) {
            return None;
        }
        let dead = |name: &&record::ReplicaId| {
            *name != self.own_name && self.last_seen_ago(name) >= REMOVE_AFTER
        };
        let goes_first = |name: &&record::ReplicaId| {
            *name < self.own_name && !dead(name) && !self.unsynced.contains(name)
        };
        if self.list.members.keys().any(|name| goes_first(&name)) {
            return None;
        }
        self.list.members.keys().find(dead)
    }

    fn with_me(&self) -> List {
        let mut list = self.list.clone();
        list.members.insert(self.own_name.clone(), self.own.clone());
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
    /// The store did not answer; the change may have taken effect.
    #[snafu(display("the platform's store does not answer: {message}"))]
    Unavailable {
        /// The client's error.
        message: String,
    },
    /// The list was changed concurrently.
    #[snafu(display("the member list has changed since it was read"))]
    Conflict,
}

/// The member list in the platform's store.
pub trait Registry: Send + Sync + 'static {
    /// Reads the list.
    fn load(&self) -> BoxFuture<'_, Result<Stored, Error>>;
    /// Replaces the list of epoch `from`; returns the new epoch. `is_announced` is what [`Stored`] says.
    fn replace(
        &self,
        from: Epoch,
        list: List,
        is_announced: bool,
    ) -> BoxFuture<'_, Result<Epoch, Error>>;
    /// Reports to the operator that `replica` may be removed.
    fn report_retired(&self, replica: record::ReplicaId) -> BoxFuture<'_, Result<(), Error>>;
}

/// A shared registry.
pub type SharedRegistry = Arc<dyn Registry>;
