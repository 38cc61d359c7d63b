//! Keeps shards for one entry: runs the pure core on tokio against the store.
//!
//! Three tasks run for as long as the keeper is open: `lease` renews the entry's lease, `member`
//! follows the table of live entries and takes or hands over shards, and `flush` commits the
//! changes of all shards together. Requests touch memory only, under the lock of one shard.

mod acquire;
mod close;
mod flush;
mod freshness;
mod inner;
mod lease;
mod load;
mod member;
mod slot;
mod table;
mod wanted;

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

/// Counter of group commits by shard, with label `outcome`.
pub const COMMITS_TOTAL: &str = "fw_keep_commits_total";
/// Counter of shards asked for, with label `outcome`.
pub const ACQUIRES_TOTAL: &str = "fw_keep_acquires_total";
/// Counter of shards given up, with label `reason`.
pub const LOST_TOTAL: &str = "fw_keep_lost_total";
/// Counter of journals read back, with label `outcome`.
pub const REPLAYS_TOTAL: &str = "fw_keep_replays_total";
/// Counter of lease calls, with label `outcome`.
pub const LEASES_TOTAL: &str = "fw_keep_leases_total";
/// Counter of refusals, with label `kind`.
pub const REFUSALS_TOTAL: &str = "fw_keep_refusals_total";

/// How an entry keeps shards.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry; a restarted one takes a new id.
    pub entry: id::EntryId,
    /// Where other entries reach it.
    pub address: SmolStr,
    /// Prefix of all keys in the store.
    pub root: SmolStr,
    /// Whether this entry takes shards. In a large fleet only some do: the store's writes for
    /// commits are shared by those that keep shards.
    pub keeps: bool,
    /// Number of shards, at most [`id::SHARDS`]; the same at all entries and for good.
    pub shards: id::ShardId,
    /// Time after which a silent entry's shards are free.
    pub ttl: Duration,
    /// Least time from one group commit to the next, for changes to share a store call.
    pub window: Duration,
    /// Longest such time, reached when many entries share the store.
    pub window_max: Duration,
    /// Longest wait of [`Keeper::wait_durable`].
    pub durable_wait: Duration,
    /// Longest wait of [`Keeper::close`] for the last changes to reach the store.
    pub close_wait: Duration,
    /// Time without a change of the table after which shards are taken and handed over.
    pub debounce: Duration,
    /// Time between two searches for what has outlived its retention.
    pub sweep_interval: Duration,
    /// How long what is finished is kept.
    pub retention: shard::Retention,
    /// Most changes of a shard that wait for the store before it refuses more.
    pub max_pending: usize,
    /// Bounds of a journal.
    pub journal: writer::Options,
    /// Bounds of a transaction.
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

/// Who keeps a shard. A hint: the one named checks it on use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This entry.
    Local,
    /// Another entry.
    Remote {
        /// Its id.
        entry: id::EntryId,
        /// Where to reach it.
        address: SmolStr,
    },
    /// Nobody for now: its keeper is gone, or it is being taken over.
    Vacant,
}

/// Position of a change, to wait for with [`Keeper::wait_durable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    shard: id::ShardId,
    incarnation: u64,
    position: shard::Position,
}

/// What a change returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Changed<T> {
    /// What the closure returned.
    pub value: T,
    /// The position after it.
    pub ticket: Ticket,
}

/// Why a change is not known to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// This entry does not keep the shard any more. The change may be in the store or not; the
    /// shard's new keeper knows. A turn is to be submitted there again, which replays or runs it.
    #[snafu(display("the shard has another keeper"))]
    StaleFence,
    /// The store did not take it within the wait; it is still on its way.
    #[snafu(display("the store did not take the change in time"))]
    StoreUnavailable,
}

impl Error {
    /// The kind for counters. Not for callers whose turn ran: [`Kind::StaleFence`] and
    /// [`Kind::StoreUnavailable`] both say that it did not.
    pub fn kind(&self) -> Kind {
        match self {
            Self::StaleFence => Kind::StaleFence,
            Self::StoreUnavailable => Kind::StoreUnavailable,
        }
    }
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// It is durable: send the call, once.
    Granted,
    /// The call ran before; this was its answer.
    Replay(claim::Answer),
    /// This entry does not keep the key's shard.
    NotKeeper,
    /// It must not be sent.
    Refused(error::Error),
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// It did not run.
    NotRun,
    /// It was answered.
    Done(claim::Answer),
    /// It was sent, and nobody will know what became of it.
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

/// What became of the shards at a graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseReport {
    /// Shards that another entry can take at once.
    pub handed_over: usize,
    /// Shards whose last changes the store did not take in time, or that were lost meanwhile.
    pub unflushed: usize,
}

/// Keeps shards for one entry. Clones share the same keeper.
#[derive(Clone)]
pub struct Keeper {
    inner: Arc<Inner>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Keeper {
    /// Starts to keep shards. Returns at once; shards come as the store answers.
    ///
    /// Must be called inside a tokio runtime.
    pub fn open(store: fw_store::Client, opts: Options) -> Self {
        let inner = Arc::new(Inner::new(store, opts));
        let tasks = vec![
            tokio::spawn(lease::run(Arc::clone(&inner))),
            tokio::spawn(member::run(Arc::clone(&inner))),
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

    /// Who keeps `shard`, as far as this entry knows.
    pub fn owner(&self, shard: id::ShardId) -> Owner {
        self.inner.owner(shard)
    }

    /// A call waits for a keeper of `shard`: should this entry take it, then before others.
    pub fn prioritize(&self, shard: id::ShardId) {
        self.inner.wanted.lock().insert(shard);
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

    /// Whether others may have taken `shard`, which is kept here: the lease lapsed, or the store is back
    /// after it may have, and was not asked for the shard yet. In an outage that goes on nobody can take
    /// it, and there is no doubt.
    pub fn is_in_doubt(&self, shard: id::ShardId) -> bool {
        self.inner.is_in_doubt(shard)
    }

    /// Whether nobody else can have taken the shards that are kept here: the lease still runs, by this
    /// process's own clock, and no shard is in doubt.
    pub fn is_sole_keeper(&self) -> bool {
        self.inner.has_lease() && self.inner.in_doubt().is_empty()
    }

    /// Whether nobody else can have taken `shard`, if it is kept here.
    pub fn is_sole_keeper_of(&self, shard: id::ShardId) -> bool {
        self.inner.has_lease() && !self.inner.is_in_doubt(shard)
    }

    /// Since when `shard` is kept here, if it is.
    pub fn kept_since(&self, shard: id::ShardId) -> Option<Instant> {
        let slot = self.inner.slots.get(usize::from(shard))?;
        let mut slot = slot.lock();
        slot.serving().map(|kept| kept.since)
    }

    /// The other live entries and where to reach them.
    pub fn entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        self.inner.table.read().entries()
    }

    /// The other entries that are live, or whose lease lapsed lately.
    pub fn recent_entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        let table = self.inner.table.read();
        let mut entries = table.entries();
        entries.extend(table.lately_gone());
        entries.retain(|(entry, _)| *entry != self.inner.opts.entry);
        entries
    }

    /// When a shard was loaded last.
    pub fn last_loaded_at(&self) -> Option<Instant> {
        *self.inner.loaded.lock()
    }

    /// The shards that were loaded after `since`, kept here still.
    pub fn loaded_since(&self, since: Option<Instant>) -> Vec<KeptShard> {
        let is_new = |at: Instant| since.is_none_or(|since| at > since);
        if !self.inner.loaded.lock().is_some_and(is_new) {
            return Vec::new();
        }
        let mut shards = self.shards();
        shards.retain(|kept| self.kept_since(kept.shard).is_some_and(is_new));
        shards
    }

    /// Whether the shard of `ticket` has been kept here without a break since the change, as far as
    /// is known.
    pub fn is_kept(&self, ticket: Ticket) -> bool {
        self.inner.is_kept(ticket)
    }

    /// Notes that another entry holds `shard` under `fence`: if that is newer, the shard serves no more
    /// until the store has been asked.
    pub fn supersede(&self, shard: id::ShardId, fence: id::Fence) {
        self.inner.supersede(shard, fence);
    }

    /// Time since the store last answered this keeper.
    pub fn time_since_contact(&self) -> Duration {
        self.inner.contact.lock().elapsed()
    }

    /// The error for a shard that nobody keeps.
    pub fn unavailable_error(&self) -> error::Error {
        error::Error::new(
            Kind::KeeperUnavailable,
            "the program's keeper is gone and its shard is being taken over; send the call again",
        )
        .with_retry_after(self.inner.opts.ttl)
    }

    /// Changes the least time from one group commit to the next.
    pub fn set_window(&self, window: Duration) {
        *self.inner.window.lock() = window;
    }

    /// Runs `f` on the shard of `program`, under its lock.
    ///
    /// # Errors
    ///
    /// Who keeps the shard instead, if it is not kept here.
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
    /// Who keeps the shard instead, if it is not kept here.
    pub fn with_shard<T>(
        &self,
        shard: id::ShardId,
        f: impl FnOnce(&mut Shard) -> T,
    ) -> Result<Changed<T>, Owner> {
        self.inner.with_shard(shard, f)
    }

    /// Waits until the change of `ticket` is in the store.
    ///
    /// # Errors
    ///
    /// When the shard has another keeper, or the store does not take the change in time.
    pub async fn wait_durable(&self, ticket: Ticket) -> Result<(), Error> {
        self.inner
            .wait_durable(ticket, self.inner.opts.durable_wait)
            .await
    }

    /// Asks for the one run of a call, and returns when the claim is durable.
    pub async fn claim(&self, key: &claim::Key, fingerprint: Digest) -> ClaimResult {
        let shard = self.shard_of(&key.shard_name());
        let open = |kept: &mut Shard| kept.open_claim(key, fingerprint, now());
        let Ok(changed) = self.with_shard(shard, open) else {
            return ClaimResult::NotKeeper;
        };
        match changed.value {
            shard::ClaimOutcome::Again(claim::Again::Replay(answer)) => ClaimResult::Replay(answer),
            shard::ClaimOutcome::Again(claim::Again::Refused(err)) => refuse(err),
            shard::ClaimOutcome::Opening { .. } => {
                let durable = self.wait_durable(changed.ticket).await;
                self.opened(shard, key, fingerprint, durable)
            }
        }
    }

    /// Notes how a claimed call ended. The returned ticket may be waited for; none is returned if
    /// nothing was changed.
    ///
    /// # Errors
    ///
    /// Who keeps the shard instead, if it is not kept here.
    pub fn settle(
        &self,
        key: &claim::Key,
        fingerprint: Digest,
        how: Settlement,
    ) -> Result<Option<Ticket>, Owner> {
        let shard = self.shard_of(&key.shard_name());
        let changed = self.with_shard(shard, |kept| match how {
            Settlement::NotRun => kept.claim_not_run(key, fingerprint),
            Settlement::Unknown => {
                kept.claim_unknown(key, fingerprint);
                None
            }
            Settlement::Done(answer) => kept.claim_done(key, fingerprint, answer, now()),
        })?;
        Ok(changed.value.map(|_| changed.ticket))
    }

    /// Hands all shards over and stops. Turns under way should have ended before.
    pub async fn close(&self) -> CloseReport {
        let closed = close::run(&self.inner).await;
        let tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.iter().for_each(JoinHandle::abort);
        closed
    }

    /// Stops at once, as a crash would: nothing is flushed or handed over.
    pub fn abort(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.iter().for_each(JoinHandle::abort);
    }

    /// A claim that did not become durable is withdrawn: its call is refused as not run.
    fn opened(
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
        // The claim may still reach the store, hence the entry that frees the key again.
        let withdraw = |kept: &mut Shard| kept.claim_not_run(key, fingerprint);
        let withdrawn = self.with_shard(shard, withdraw);
        match (err, withdrawn) {
            (Error::StaleFence, _) | (_, Err(_)) => ClaimResult::NotKeeper,
            (Error::StoreUnavailable, Ok(_)) => refuse(
                error::Error::new(
                    Kind::StoreUnavailable,
                    "the claim on `Idempotency-Key` could not be stored; send the call again",
                )
                .with_retry_after(shard::STORE_RETRY),
            ),
        }
    }
}

/// The time that the pure core is given: since the Unix epoch, so that retention outlives keepers.
pub fn now() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}

fn refuse(err: error::Error) -> ClaimResult {
    metrics::counter!(REFUSALS_TOTAL, "kind" => err.kind.row().label).increment(1);
    ClaimResult::Refused(err)
}

/// A random time up to `most`, so that entries that wait for the same event act one by one.
fn jitter(most: Duration) -> Duration {
    most.mul_f64(rand::random::<f64>())
}
