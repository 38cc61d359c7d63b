//! Whether a call goes on looking for its program's keeper.
//!
//! *Load pattern:* a keeper dies, or is cut off, and its shard is free for a lease; or the platform's
//! store is away, and with it all news of who keeps what.
//!
//! *Without it:* an officer's call waits for a keeper that cannot come: nobody can take a shard while
//! the store is away, and nobody hears of it. It is refused seconds later all the same.
//!
//! *Rule:* a call looks again until its patience is over. While the store is away the patience is
//! shorter, unless the keeper that is known may yet answer. It is not gone: the store may be back
//! before this entry has heard so.
//!
//! *Grounds:* an entry hears from the store at least at each renewal of its lease.

use std::time::Duration;

/// Why a keeper did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// NoKeeper is known to keep the shard.
    NoKeeper,
    /// This entry kept it, and does so no more.
    NoLongerKeeper,
    /// The entry that was asked does not keep it.
    NotKeeper,
    /// No process listens at the keeper's address.
    ConnectionRefused,
    /// The keeper could not be connected to.
    Unreachable,
    /// The connection broke after the call was sent.
    ConnectionBroken,
}

impl Miss {
    /// A counter's or log line's word for it.
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

    /// Whether the keeper may answer after all, without any news from the store.
    fn may_pass(self) -> bool {
        matches!(self, Self::Unreachable | Self::ConnectionBroken)
    }
}

/// How long a call looks for its keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time: a little more than a dead keeper's lease.
    pub timeout: Duration,
    /// The same while the store is away: as long as a commit is waited for.
    pub outage_timeout: Duration,
    /// Silence of the store after which it counts as away: two renewals of the lease that were not
    /// answered.
    pub outage_after: Duration,
}

/// Whether a call that has `waited` looks again, with the store silent for `silence`.
pub fn should_retry(miss: Miss, waited: Duration, silence: Duration, opts: &Options) -> bool {
    let waits_for_news = silence >= opts.outage_after && !miss.may_pass();
    let patience = match waits_for_news {
        true => opts.timeout.min(opts.outage_timeout),
        false => opts.timeout,
    };
    waited < patience
}
