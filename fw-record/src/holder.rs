//! The set of records in force in a process.

use fw_base::id;
use tokio::sync::watch;

use crate::set;

/// Gauge: revision of the records in force.
pub const REVISION: &str = "fw_records_revision";

/// Gauge: records whose stored version cannot be parsed.
pub const PROBLEMS: &str = "fw_records_problems";

/// Result of offering a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The offered set is in force.
    Applied,
    /// The set in force has the same or a higher revision.
    Stale,
}

/// Holds the newest set offered. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    tx: watch::Sender<set::Set>,
}

impl Holder {
    /// The set in force; an empty set at revision 0 before the first offer.
    pub fn current(&self) -> set::Set {
        self.tx.borrow().clone()
    }

    /// Revision of the set in force.
    pub fn revision(&self) -> id::Revision {
        self.tx.borrow().revision()
    }

    /// Puts a set in force if its revision is higher than that of the set in force.
    ///
    /// Sets arrive from the watch, from peers and from reads that may be delayed. Without the
    /// comparison a delayed one would undo a change that has already been in force.
    pub fn offer(&self, set: set::Set) -> Offer {
        let mut offer = Offer::Stale;
        self.tx.send_if_modified(|current| {
            if set.revision() <= current.revision() {
                return false;
            }
            report(&set);
            *current = set;
            offer = Offer::Applied;
            true
        });
        offer
    }

    /// A receiver that is notified of each set that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<set::Set> {
        self.tx.subscribe()
    }
}

fn report(set: &set::Set) {
    metrics::gauge!(REVISION).set(set.revision() as f64);
    metrics::gauge!(PROBLEMS).set(set.problems().len() as f64);
    for problem in set.problems() {
        let set::Problem {
            name,
            revision,
            reason,
        } = problem;
        tracing::warn!(%name, revision, reason, "a record cannot be read");
    }
}
