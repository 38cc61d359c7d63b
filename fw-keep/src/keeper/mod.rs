//! Keeps shards for one entry: runs the I/O-free core on tokio against the store.
//!
//! Three tasks run while the keeper is open: `lease` renews the entry's lease, `membership` follows the
//! table of live entries and acquires or hands over shards, and `flush` commits the changes of all
//! shards in groups. Requests access memory only, under the lock of one shard.

mod acquire;
mod close;
mod flush;
mod inner;
mod lease;
mod load;
mod membership;
mod owner_lookup;
mod slot;
mod table;
mod watch_health;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_base::id;
use parking_lot::Mutex;
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::task::JoinHandle;

use crate::claim;
use crate::commit;
use crate::journal::writer;
use crate::keeper::inner::Inner;
use crate::shard;
use crate::shard::Shard;

/// Counter of shards in group commits, with label `outcome`.
pub const COMMITS_TOTAL: &str = "fw_keep_commits_total";
/// Counter of shards whose acquisition was attempted, with label `outcome`.
pub const ACQUIRES_TOTAL: &str = "fw_keep_acquires_total";
/// Counter of shards that are no longer kept, with label `reason`.
pub const LOST_TOTAL: &str = "fw_keep_lost_total";
/// Counter of replayed journals, with label `outcome`.
pub const REPLAYS_TOTAL: &str = "fw_keep_replays_total";
/// Counter of lease calls, with label `outcome`.
pub const LEASES_TOTAL: &str = "fw_keep_leases_total";
/// Counter of refused claims, with label `kind`.
pub const REFUSALS_TOTAL: &str = "fw_keep_refusals_total";

/// Options of a keeper.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's id; a restarted entry takes a new one.
    pub entry: id::EntryId,
    /// Address at which other entries reach it.
    pub address: SmolStr,
    /// Prefix of all keys in the store.
    pub root: SmolStr,
    /// Whether this entry takes shards. In a large fleet only some entries do, since the store's write
    /// rate is shared by the commits of all entries that keep shards.
    pub keeps: bool,
    /// Number of shards, at most [`id::SHARDS`]; the same at all entries, and it must never change.
    pub shards: id::ShardId,
    /// Lease TTL: the time after which the shards of an entry that does not renew its lease are free.
    pub ttl: Duration,
    /// Minimum time from one group commit to the next, so that changes share a store call.
    pub window: Duration,
    /// Maximum time from one group commit to the next, reached when many entries share the store.
    pub window_max: Duration,
    /// Timeout of [`Keeper::wait_durable`].
    pub durable_wait: Duration,
    /// Timeout of [`Keeper::close`] for flushing the last changes to the store.
    pub close_wait: Duration,
    /// Delay from a change of the table to the acquisition and handover of shards.
    pub debounce: Duration,
    /// Interval between two removals of expired state.
    pub sweep_interval: Duration,
    /// Retention of finished programs and claims.
    pub retention: shard::Retention,
    /// Maximum number of pending changes of a shard before it refuses more.
    pub max_pending: usize,
    /// Limits of a journal.
    pub journal: writer::Options,
    /// Limits of a transaction.
    pub commit: commit::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entry: id::EntryId::default(),
            address: SmolStr::default(),
            root: SmolStr::new_static("/foxtailweir/"),
            keeps: true,
            shards: id::SHARDS,
            ttl: Duration::from_secs(3),
            window: Duration::from_millis(20),
            window_max: Duration::from_secs(4),
            durable_wait: Duration::from_secs(5),
            close_wait: Duration::from_secs(10),
            debounce: Duration::from_millis(50),
            sweep_interval: Duration::from_secs(60),
            retention: shard::Retention::default(),
            max_pending: shard::MAX_PENDING,
            journal: writer::Options::default(),
            commit: commit::Options::default(),
        }
    }
}

/// The owner of a shard. This is a hint: the named entry checks it on use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This entry.
    Local,
    /// Another entry.
    Remote {
        /// Its id.
        entry: id::EntryId,
        /// Its address.
        address: SmolStr,
    },
    /// No entry at present: its keeper is gone, or it is being taken over.
    Vacant,
}

/// Position of a change, for [`Keeper::wait_durable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    shard: id::ShardId,
    incarnation: u64,
    position: shard::Position,
}

/// Result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Changed<T> {
    /// The return value of the closure.
    pub value: T,
    /// The position after it.
    pub ticket: Ticket,
}

/// Reason why a change is not known to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// This entry no longer keeps the shard. Whether the change is in the store is known to the shard's
    /// new keeper: a turn has to be submitted there again, which replays or runs it.
    #[snafu(display("the shard has another keeper"))]
    StaleFence,
    /// The store did not confirm the change within the timeout; it is still pending.
    #[snafu(display("the store did not confirm the change in time"))]
    StoreUnavailable,
}

impl Error {
    /// The kind for counters. It must not be returned to callers whose turn ran: [`Kind::StaleFence`]
    /// and [`Kind::StoreUnavailable`] both state that it did not run.
    pub fn kind(&self) -> Kind {
        match self {
            Self::StaleFence => Kind::StaleFence,
            Self::StoreUnavailable => Kind::StoreUnavailable,
        }
    }
}

/// Outcome of a request for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// The claim is durable: the call is to be sent, once.
    Granted,
    /// The call ran before, with this answer.
    Replay(claim::Answer),
    /// This entry does not keep the key's shard.
    NotKeeper,
    /// The call must not be sent.
    Refused(error::Error),
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The call did not run.
    NotRun,
    /// The call was answered.
    Done(claim::Answer),
    /// The call was sent and its outcome cannot be determined.
    Unknown,
}

/// A shard kept here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptShard {
    /// The shard.
    pub shard: id::ShardId,
    /// Its fencing number.
    pub fence: id::Fence,
}

/// Outcome of a graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseReport {
    /// Number of shards that another entry can take at once.
    pub handed_over: usize,
    /// Number of shards whose last changes were not flushed in time, or that were lost meanwhile.
    pub unflushed: usize,
}

/// Keeps shards for one entry. Clones share the same keeper.
#[derive(Clone)]
pub struct Keeper {
    inner: Arc<Inner>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Keeper {
    /// Starts the keeper. Returns at once; shards are acquired in the background.
    ///
    /// Must be called inside a tokio runtime.
    pub fn open(store: fw_store::Client, opts: Options) -> Self {
        let inner = Arc::new(Inner::new(store, opts));
        let tasks = vec![
            tokio::spawn(lease::run(Arc::clone(&inner))),
            tokio::spawn(membership::run(Arc::clone(&inner))),
            tokio::spawn(flush::run(Arc::clone(&inner))),
        ];
        Self {
            inner,
            tasks: Arc::new(Mutex::new(tasks)),
        }
    }

    /// The shard that keeps `name`: a program's id, or a claim's [`claim::Key::shard_name`].
    pub fn shard_of(&self, name: &str) -> id::ShardId {
        id::shard_of(name) % self.inner.opts.shards
    }

    /// The owner of `shard` according to this entry's table.
    pub fn owner(&self, shard: id::ShardId) -> Owner {
        self.inner.owner(shard)
    }

    /// Records that a call waits for `shard`, so that this entry acquires or verifies it before others.
    pub fn prioritize(&self, shard: id::ShardId) {
        self.inner.prioritized.lock().insert(shard);
    }

    /// The shards kept here, in order.
    pub fn shards(&self) -> Vec<KeptShard> {
        let slots = self.inner.slots.iter();
        let kept = (0..).zip(slots).filter_map(|(shard, slot)| {
            let fence = slot.lock().serving()?.writer.fence();
            Some(KeptShard { shard, fence })
        });
        kept.collect()
    }

    /// The fencing number of `shard`, if it is kept here.
    pub fn fence(&self, shard: id::ShardId) -> Option<id::Fence> {
        let slot = self.inner.slots.get(usize::from(shard))?;
        let mut slot = slot.lock();
        slot.serving().map(|kept| kept.writer.fence())
    }

    /// Whether another entry may have taken `shard`, which is kept here: the lease lapsed, or the store
    /// answers again after an interval in which it may have, and the shard's ownership is not yet verified.
    /// During an outage of the store no entry can take it, so it is not in doubt.
    pub fn is_in_doubt(&self, shard: id::ShardId) -> bool {
        self.inner.is_in_doubt(shard)
    }

    /// Whether no other entry can have taken the shards kept here: the lease is still valid by this
    /// process's own clock, and no shard is in doubt.
    pub fn is_sole_keeper(&self) -> bool {
        self.inner.has_lease() && self.inner.shards_in_doubt().is_empty()
    }

    /// Whether no other entry can have taken `shard`, if it is kept here.
    pub fn is_sole_keeper_of(&self, shard: id::ShardId) -> bool {
        self.inner.has_lease() && !self.inner.is_in_doubt(shard)
    }

    /// The time since which `shard` is kept here, if it is.
    pub fn kept_since(&self, shard: id::ShardId) -> Option<Instant> {
        let slot = self.inner.slots.get(usize::from(shard))?;
        let mut slot = slot.lock();
        slot.serving().map(|kept| kept.since)
    }

    /// The live entries, this one included, and their addresses.
    pub fn entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        self.inner.table.read().entries()
    }

    /// The other entries that are live or whose lease lapsed recently, and their addresses.
    pub fn recent_entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        let table = self.inner.table.read();
        let mut entries = table.entries();
        entries.extend(table.recently_gone());
        entries.retain(|(entry, _)| *entry != self.inner.opts.entry);
        entries
    }

    /// When a shard was last loaded.
    pub fn last_loaded_at(&self) -> Option<Instant> {
        *self.inner.last_loaded.lock()
    }

    /// The shards that were loaded after `since` and are still kept here.
    pub fn loaded_since(&self, since: Option<Instant>) -> Vec<KeptShard> {
        let is_new = |at: Instant| since.is_none_or(|since| at > since);
        if !self.inner.last_loaded.lock().is_some_and(is_new) {
            return Vec::new();
        }
        let mut shards = self.shards();
        shards.retain(|kept| self.kept_since(kept.shard).is_some_and(is_new));
        shards
    }

    /// Whether the shard of `ticket` has been kept here without interruption since the change, according
    /// to this entry's current state.
    pub fn is_kept(&self, ticket: Ticket) -> bool {
        self.inner.is_kept(ticket)
    }

    /// Records that another entry holds `shard` under `fence`. If that fencing number is newer, the shard
    /// stops serving until its ownership is verified in the store.
    pub fn supersede(&self, shard: id::ShardId, fence: id::Fence) {
        self.inner.supersede(shard, fence);
    }

    /// Time since the store last answered this keeper.
    pub fn time_since_contact(&self) -> Duration {
        self.inner.last_contact.lock().elapsed()
    }

    /// The error for a shard without a keeper.
    pub fn unavailable_error(&self) -> error::Error {
        error::Error::new(
            Kind::KeeperUnavailable,
            "the program's keeper is gone and its shard is being taken over; send the call again",
        )
        .with_retry_after(self.inner.opts.ttl)
    }

    /// Sets the minimum time from one group commit to the next.
    pub fn set_window(&self, window: Duration) {
        *self.inner.window_min.lock() = window;
    }

    /// Runs `f` on the shard of `program`, under its lock.
    ///
    /// # Errors
    ///
    /// The owner of the shard, if it is not kept here.
    pub fn with_program<T>(
        &self,
        program: &str,
        f: impl FnOnce(&mut Shard) -> T,
    ) -> Result<Changed<T>, Owner> {
        self.with_shard(self.shard_of(program), f)
    }

    /// Runs `f` on `shard`, under its lock.
    ///
    /// # Errors
    ///
    /// The owner of the shard, if it is not kept here.
    pub fn with_shard<T>(
        &self,
        shard: id::ShardId,
        f: impl FnOnce(&mut Shard) -> T,
    ) -> Result<Changed<T>, Owner> {
        self.inner.with_shard(shard, f)
    }

    /// Waits until the change of `ticket` is durable in the store.
    ///
    /// # Errors
    ///
    /// If the shard has another keeper, or the store does not confirm the change in time.
    pub async fn wait_durable(&self, ticket: Ticket) -> Result<(), Error> {
        self.inner
            .wait_durable(ticket, self.inner.opts.durable_wait)
            .await
    }

    /// Claims the only run of a call, and returns when the claim is durable.
    pub async fn claim(&self, key: &claim::Key, fingerprint: Digest) -> ClaimResult {
        let shard = self.shard_of(&key.shard_name());
        let open = |kept: &mut Shard| kept.open_claim(key, fingerprint, now());
        let Ok(changed) = self.with_shard(shard, open) else {
            return ClaimResult::NotKeeper;
        };
        match changed.value {
            shard::ClaimOutcome::Duplicate(claim::Duplicate::Replay(answer)) => {
                ClaimResult::Replay(answer)
            }
            shard::ClaimOutcome::Duplicate(claim::Duplicate::Refused(err)) => refuse(err),
            shard::ClaimOutcome::Opening { .. } => {
                let durable = self.wait_durable(changed.ticket).await;
                self.finish_claim(shard, key, fingerprint, durable)
            }
        }
    }

    /// Records how a claimed call ended. Returns a ticket to wait for, or `None` if nothing changed.
    ///
    /// # Errors
    ///
    /// The owner of the shard, if it is not kept here.
    pub fn settle(
        &self,
        key: &claim::Key,
        fingerprint: Digest,
        settlement: Settlement,
    ) -> Result<Option<Ticket>, Owner> {
        let shard = self.shard_of(&key.shard_name());
        let changed = self.with_shard(shard, |kept| match settlement {
            Settlement::NotRun => kept.claim_not_run(key, fingerprint),
            Settlement::Unknown => {
                kept.claim_unknown(key, fingerprint);
                None
            }
            Settlement::Done(answer) => kept.claim_done(key, fingerprint, answer, now()),
        })?;
        Ok(changed.value.map(|_| changed.ticket))
    }

    /// Hands all shards over and stops. Turns in progress should have ended before.
    pub async fn close(&self) -> CloseReport {
        let closed = close::run(&self.inner).await;
        let tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.iter().for_each(JoinHandle::abort);
        closed
    }

    /// Stops at once, as in a crash: nothing is flushed or handed over.
    pub fn abort(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.iter().for_each(JoinHandle::abort);
    }

    /// Grants a claim that became durable; withdraws any other, so that its call is refused as not run.
    fn finish_claim(
        &self,
        shard: id::ShardId,
        key: &claim::Key,
        fingerprint: Digest,
        durable: Result<(), Error>,
    ) -> ClaimResult {
        let Err(err) = durable else {
            let opened = self.with_shard(shard, |kept| kept.claim_opened(key, now()));
            return match opened {
                Ok(Changed { value: true, .. }) => ClaimResult::Granted,
                _ => ClaimResult::NotKeeper,
            };
        };
        // The claim may still reach the store, so a journal entry that frees the key is added.
        let withdraw = |kept: &mut Shard| kept.claim_not_run(key, fingerprint);
        let withdrawn = self.with_shard(shard, withdraw);
        match (err, withdrawn) {
            (Error::StaleFence, _) | (_, Err(_)) => ClaimResult::NotKeeper,
            (Error::StoreUnavailable, Ok(_)) => refuse(
                error::Error::new(
                    Kind::StoreUnavailable,
                    "the claim on `Idempotency-Key` could not be stored; send the call again",
                )
                .with_retry_after(shard::STORE_RETRY_AFTER),
            ),
        }
    }
}

/// The current time for the I/O-free core, since the Unix epoch so that retention outlives keepers.
pub fn now() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}

fn refuse(err: error::Error) -> ClaimResult {
    metrics::counter!(REFUSALS_TOTAL, "kind" => err.kind.row().label).increment(1);
    ClaimResult::Refused(err)
}

/// A random time up to `most`, so that entries that wait for the same event do not act in step.
fn jitter(most: Duration) -> Duration {
    most.mul_f64(rand::random::<f64>())
}
