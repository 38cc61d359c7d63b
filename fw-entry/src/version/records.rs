//! Holder of the operators' records in force at this entry.

use fw_base::id;
use fw_record::holder;
use fw_record::set;
use tokio::sync::Notify;

/// The set in force. Its revision never decreases.
#[derive(Debug, Default)]
pub struct InForce {
    /// Holds the newest set received.
    pub holder: holder::Holder,
    newer: Notify,
}

impl InForce {
    /// The set in force; empty before the first one was read.
    pub fn current(&self) -> set::Set {
        self.holder.current()
    }

    /// Whether a set was read.
    pub fn is_loaded(&self) -> bool {
        self.revision() > 0
    }

    /// Revision of the set in force; 0 before the first was read.
    pub fn revision(&self) -> id::Revision {
        self.holder.revision()
    }

    /// Records that another process uses records of `revision`; newer ones are then fetched.
    pub fn observe_revision(&self, revision: id::Revision) {
        if revision > self.revision() {
            self.newer.notify_one();
        }
    }

    /// Waits until another process is seen to use newer records.
    pub async fn wait_for_newer(&self) {
        self.newer.notified().await;
    }
}

/// The team's share of contended capacity; 1.0 for a team without a record.
pub fn share_of(set: &set::Set, team: &id::TeamId) -> f64 {
    set.team(team).map_or(1.0, |team| team.share)
}
