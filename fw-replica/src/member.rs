//! Who the replicas are, and how many of them must agree.
//!
//! The list lies in the platform's store under one key and changes by compare-and-swap, one member
//! at a time, so that a majority of the old list and one of the new always share a member. The
//! store's revision of the key is the list's epoch.
//!
//! *Load pattern:* replicas are replaced by empty ones at other addresses, lose their disks, are
//! added, retired, cut off and frozen, one at a time but in quick succession.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::record;

/// Revision of the member list in the platform's store; 0 before the first list.
pub type Epoch = u64;

/// How long a member must be silent before it may be removed. Well above every pause that a live
/// one is expected to make (a power cycle takes 4 s), so that a member is not removed and added
/// again for each restart.
pub const SILENT_FOR: Duration = Duration::from_secs(6);

/// The list as it lies in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Address of each member, by its name.
    pub members: BTreeMap<record::ReplicaId, SocketAddr>,
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

/// Members from which a replica without data must copy before it may vote: as many as are sure to
/// include a holder of each stored record, also if one of its holders is the disk that was lost.
pub fn needed_sources(members: usize, faults: usize) -> usize {
    members.saturating_sub(faults).max(1)
}

/// The member that `me` should remove: the first that was silent for [`SILENT_FOR`], as long as
/// `2 * faults + 1` members remain and `me` is the first of those that are heard.
pub fn to_remove<'a>(
    list: &'a List,
    me: &record::ReplicaId,
    silent: &dyn Fn(&record::ReplicaId) -> Duration,
    faults: usize,
) -> Option<&'a record::ReplicaId> {
    if list.members.len() <= 2 * faults + 1 {
        return None;
    }
    let dead = |name: &&record::ReplicaId| *name != me && silent(name) >= SILENT_FOR;
    let mut alive = list.members.keys().filter(|name| !dead(name));
    if alive.next() != Some(me) {
        return None;
    }
    list.members.keys().find(dead)
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
    fn retired(&self, replica: record::ReplicaId) -> BoxFuture<'_, Result<(), Error>>;
}

/// A registry that may be shared.
pub type SharedRegistry = Arc<dyn Registry>;
