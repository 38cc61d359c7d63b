//! Whether a call continues to look for its program's keeper.
//!
//! *Load pattern:* a keeper dies or is partitioned, and its shard is free to be leased; or the
//! platform's store is unavailable, and with it all information about which entry keeps which
//! shard.
//!
//! *Without it:* an officer's call waits for a keeper that cannot be found: no entry can take a
//! shard while the store is unavailable, and no entry learns of one that was taken. The call is
//! refused all the same, only seconds later.
//!
//! *Rule:* a call repeats the lookup until its timeout. While the store is unavailable the timeout
//! is shorter, unless the known keeper may still answer. It is not zero: the store may have
//! recovered before this entry has noticed.
//!
//! *Grounds:* an entry receives an answer from the store at least at each renewal of its lease.

use std::time::Duration;

/// Why a keeper did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// No keeper of the shard is known.
    NoKeeper,
    /// This entry kept the shard and no longer does.
    NoLongerKeeper,
    /// The entry that received the call does not keep the shard.
    NotKeeper,
    /// No process listens at the keeper's address.
    ConnectionRefused,
    /// No connection to the keeper could be opened.
    Unreachable,
    /// The connection broke after the call was sent.
    ConnectionBroken,
}

impl Miss {
    /// Value of the label on counters and in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoKeeper => "nobody",
            Self::NoLongerKeeper => "lost",
            Self::NotKeeper => "stale",
            Self::ConnectionRefused => "refused",
            Self::Unreachable => "unreachable",
            Self::ConnectionBroken => "broken",
        }
    }

    /// Whether the keeper may still answer without an update from the store.
    fn may_recover(self) -> bool {
        matches!(self, Self::Unreachable | Self::ConnectionBroken)
    }
}

/// How long a call looks for its keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Timeout of the lookup: a little more than a dead keeper's lease.
    pub timeout: Duration,
    /// Timeout while the store is unavailable: as long as a commit is waited for.
    pub outage_timeout: Duration,
    /// Time without an answer from the store after which it counts as unavailable: two lease
    /// renewals that were not answered.
    pub outage_after: Duration,
}

/// Whether a call that has waited for `waited` repeats the lookup, if the store last answered
/// `silence` ago.
pub fn should_retry(miss: Miss, waited: Duration, silence: Duration, opts: &Options) -> bool {
    let needs_store = silence >= opts.outage_after && !miss.may_recover();
    let timeout = match needs_store {
        true => opts.timeout.min(opts.outage_timeout),
        false => opts.timeout,
    };
    waited < timeout
}
