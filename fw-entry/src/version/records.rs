//! The operators' records in force at this entry.

use fw_base::id;
use fw_record::holder;
use fw_record::set;
use tokio::sync::Notify;

/// The set in force. It never goes back to a lower revision.
#[derive(Debug, Default)]
pub struct InForce {
    /// Keeps the newest set seen.
    pub holder: holder::Holder,
    newer: Notify,
}

impl InForce {
    /// The set in force; an empty one before the first was read.
    pub fn current(&self) -> set::Set {
        self.holder.current()
    }

    /// Whether any set was read.
    pub fn is_loaded(&self) -> bool {
        self.revision() > 0
    }

    /// Revision of the set in force; 0 before the first was read.
    pub fn revision(&self) -> id::Revision {
        self.holder.revision()
    }

    /// Another process acts on records of `revision`: if they are newer, they are fetched.
    pub fn observe_revision(&self, revision: id::Revision) {
        if revision > self.revision() {
            self.newer.notify_one();
        }
    }

    /// Waits until some process was seen to act on newer records.
    pub async fn wait_for_newer(&self) {
        self.newer.notified().await;
    }
}

/// The team's share of what is contended; 1.0 for a team without a record.
pub fn share_of(set: &set::Set, team: &id::TeamId) -> f64 {
    set.team(team).map_or(1.0, |team| team.share)
}
