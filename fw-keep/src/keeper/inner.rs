//! State shared by a keeper's tasks and handles.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_plan::commit_window;
use fw_store::kv;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::keeper::Changed;
use crate::keeper::Error;
use crate::keeper::Options;
use crate::keeper::Owner;
use crate::keeper::Ticket;
use crate::keeper::slot::Slot;
use crate::keeper::table::Table;
use crate::shard::Shard;

/// State shared by the tasks and the handles.
pub(super) struct Inner {
    pub(super) store: fw_store::Client,
    pub(super) opts: Options,
    /// Random number drawn at the start, which marks the keys written by this process.
    pub(super) nonce: u64,
    /// One slot per shard.
    pub(super) slots: Box<[Mutex<Slot>]>,
    pub(super) table: RwLock<Table>,
    /// Shards with changes that are not yet part of a commit.
    pub(super) dirty: Mutex<BTreeSet<id::ShardId>>,
    /// Notified when a shard becomes dirty.
    pub(super) dirty_added: Notify,
    /// Shards that requests wait for, which are acquired and verified before others.
    pub(super) prioritized: Mutex<BTreeSet<id::ShardId>>,
    /// Notified when the ownership of kept shards has to be verified in the store.
    pub(super) verify_due: Notify,
    /// Incremented whenever other entries may have taken the kept shards.
    ownership_epoch: AtomicU64,
    /// The lease in force, or 0 for none.
    pub(super) lease: watch::Sender<kv::LeaseId>,
    /// When the store last answered.
    pub(super) last_contact: Mutex<Instant>,
    /// The earliest time at which the lease can expire, counted from when the grant or renewal was sent;
    /// the store counts from its later arrival.
    pub(super) lease_valid_until: Mutex<Instant>,
    /// When a shard was last loaded.
    pub(super) last_loaded: Mutex<Option<Instant>>,
    /// Configured minimum interval between two group commits.
    pub(super) window_min: Mutex<Duration>,
    /// Adaptive interval between two group commits.
    pub(super) window: Mutex<commit_window::CommitWindow>,
    /// Whether the keeper is being closed.
    pub(super) closing: watch::Sender<bool>,
}

impl Inner {
    pub(super) fn new(store: fw_store::Client, opts: Options) -> Self {
        let shards = usize::from(opts.shards);
        let window_min = Mutex::new(opts.window);
        Self {
            store,
            nonce: rand::random(),
            slots: (0..shards).map(|_| Mutex::new(Slot::Absent)).collect(),
            table: RwLock::new(Table::new(shards)),
            dirty: Mutex::new(BTreeSet::new()),
            dirty_added: Notify::new(),
            prioritized: Mutex::default(),
            verify_due: Notify::new(),
            ownership_epoch: AtomicU64::new(0),
            lease: watch::Sender::new(0),
            last_contact: Mutex::new(Instant::now()),
            lease_valid_until: Mutex::new(Instant::now()),
            last_loaded: Mutex::new(None),
            window_min,
            window: Mutex::new(commit_window::CommitWindow::new(commit_window::Options {
                max_delay: opts.window_max,
                ..commit_window::Options::default()
            })),
            closing: watch::Sender::new(false),
            opts,
        }
    }

    pub(super) fn slot(&self, shard: id::ShardId) -> &Mutex<Slot> {
        &self.slots[usize::from(shard)]
    }

    pub(super) fn owner(&self, shard: id::ShardId) -> Owner {
        if usize::from(shard) >= self.slots.len() {
            return Owner::Vacant;
        }
        if self.slot(shard).lock().serving().is_some() {
            return Owner::Local;
        }
        self.table.read().owner(shard, &self.opts.entry)
    }

    pub(super) fn with_shard<T>(
        &self,
        shard: id::ShardId,
        f: impl FnOnce(&mut Shard) -> T,
    ) -> Result<Changed<T>, Owner> {
        if usize::from(shard) >= self.slots.len() {
            return Err(Owner::Vacant);
        }
        let mut slot = self.slot(shard).lock();
        let Some(kept) = slot.serving() else {
            drop(slot);
            return Err(self.owner(shard));
        };
        let value = f(&mut kept.shard);
        let ticket = kept.ticket();
        let is_dirty = kept.shard.pending() > 0;
        drop(slot);
        if is_dirty {
            self.mark_dirty(shard);
        }
        Ok(Changed { value, ticket })
    }

    /// Whether the shard of `ticket` has been kept without interruption since the change, and serves.
    pub(super) fn is_kept(&self, ticket: Ticket) -> bool {
        let mut slot = self.slot(ticket.shard).lock();
        let kept = slot.serving();
        kept.is_some_and(|kept| kept.incarnation == ticket.incarnation)
    }

    /// Records that another entry holds `shard` under `fence`.
    pub(super) fn supersede(&self, shard: id::ShardId, fence: id::Fence) {
        if usize::from(shard) >= self.slots.len() {
            return;
        }
        let mut slot = self.slot(shard).lock();
        let Some(kept) = slot.kept().filter(|kept| kept.writer.fence() < fence) else {
            return;
        };
        kept.is_superseded = true;
        drop(slot);
        self.verify_due.notify_one();
    }

    pub(super) fn mark_dirty(&self, shard: id::ShardId) {
        self.dirty.lock().insert(shard);
        self.dirty_added.notify_one();
    }

    pub(super) async fn wait_durable(&self, ticket: Ticket, wait: Duration) -> Result<(), Error> {
        let progress = {
            let mut slot = self.slot(ticket.shard).lock();
            let kept = slot
                .kept()
                .filter(|kept| kept.incarnation == ticket.incarnation);
            kept.map(|kept| kept.durable_position.subscribe())
        };
        let mut progress = progress.ok_or(Error::StaleFence)?;
        let reached = progress.wait_for(|position| *position >= ticket.position);
        match tokio::time::timeout(wait, reached).await {
            Ok(Ok(_)) => Ok(()),
            // The sender is dropped with the shard.
            Ok(Err(_)) => Err(Error::StaleFence),
            Err(_) => Err(Error::StoreUnavailable),
        }
    }

    /// Records that the store has answered.
    pub(super) fn record_contact(&self) {
        let before = std::mem::replace(&mut *self.last_contact.lock(), Instant::now());
        if before.elapsed() > self.opts.ttl {
            self.invalidate_ownership();
        }
    }

    /// Records that other entries may have taken the kept shards: the lease lapsed, or the store answers
    /// again after an interval in which it may have. Until its ownership is verified, a shard's state in
    /// memory may be outdated, since its programs may have continued elsewhere.
    pub(super) fn invalidate_ownership(&self) {
        self.ownership_epoch.fetch_add(1, Ordering::AcqRel);
        self.verify_due.notify_one();
    }

    /// The number of times that ownership was invalidated.
    pub(super) fn ownership_epoch(&self) -> u64 {
        self.ownership_epoch.load(Ordering::Acquire)
    }

    /// Whether `shard` is kept and its ownership was not verified in the current ownership epoch.
    pub(super) fn is_in_doubt(&self, shard: id::ShardId) -> bool {
        let Some(slot) = self.slots.get(usize::from(shard)) else {
            return false;
        };
        let mut slot = slot.lock();
        let epoch = self.ownership_epoch();
        slot.kept().is_some_and(|kept| kept.is_in_doubt(epoch))
    }

    /// The kept shards whose ownership has to be verified.
    pub(super) fn shards_in_doubt(&self) -> Vec<id::ShardId> {
        let epoch = self.ownership_epoch();
        let is_in_doubt = |slot: &Mutex<Slot>| {
            let mut slot = slot.lock();
            slot.kept().is_some_and(|kept| kept.is_in_doubt(epoch))
        };
        let numbered = (0..).zip(&self.slots);
        let in_doubt = numbered.filter(|(_, slot)| is_in_doubt(slot));
        in_doubt.map(|(shard, _)| shard).collect()
    }

    /// Removes up to `most` of `shards`, prioritized ones first.
    pub(super) fn take_prioritized_first(
        &self,
        shards: &mut Vec<id::ShardId>,
        most: usize,
    ) -> Vec<id::ShardId> {
        let mut prioritized = self.prioritized.lock();
        shards.sort_by_key(|shard| !prioritized.contains(shard));
        let part: Vec<_> = shards.drain(..most.min(shards.len())).collect();
        prioritized.retain(|shard| !part.contains(shard));
        part
    }

    /// Records that kept shards have no keeper in the store.
    pub(super) fn invalidate_shards(&self, shards: &[id::ShardId]) {
        for shard in shards {
            if let Some(kept) = self.slot(*shard).lock().kept() {
                kept.confirmed_epoch = None;
            }
        }
        self.verify_due.notify_one();
    }

    /// Records that the lease cannot expire before `until`.
    pub(super) fn extend_lease_validity(&self, until: Instant) {
        let mut valid_until = self.lease_valid_until.lock();
        *valid_until = until.max(*valid_until);
    }

    /// Whether the lease is still valid by this process's own clock.
    pub(super) fn has_lease(&self) -> bool {
        Instant::now() < *self.lease_valid_until.lock()
    }

    pub(super) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }
}
