//! The set of records that a process acts on.

use fw_base::id;
use tokio::sync::watch;

use crate::set;

/// Gauge: revision of the records in force.
pub const REVISION: &str = "fw_records_revision";

/// Gauge: records that cannot be taken as they stand in the store.
pub const PROBLEMS: &str = "fw_records_problems";

/// What became of an offered set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force.
    Applied,
    /// The set in force is as new or newer.
    Stale,
}

/// Keeps the newest set seen. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    tx: watch::Sender<set::Set>,
}

impl Holder {
    /// The set in force; empty, at revision 0, before the first is offered.
    pub fn current(&self) -> set::Set {
        self.tx.borrow().clone()
    }

    /// Revision of the set in force.
    pub fn revision(&self) -> id::Revision {
        self.tx.borrow().revision()
    }

    /// Puts a set in force unless the one in force is as new or newer.
    ///
    /// Sets arrive by watch, from peers and from reads that may be late. Without the comparison a
    /// late one would undo a change that was already seen to be in force.
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

    /// Wakes on each set that comes into force.
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
