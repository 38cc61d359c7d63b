//! What a keeper's tasks and handles share.

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

/// What the tasks and the handles share.
pub(super) struct Inner {
    pub(super) store: fw_store::Client,
    pub(super) opts: Options,
    /// Drawn at the start; marks the keys that this process wrote.
    pub(super) nonce: u64,
    pub(super) slots: Box<[Mutex<Slot>]>,
    pub(super) table: RwLock<Table>,
    pub(super) dirty: Mutex<BTreeSet<id::ShardId>>,
    pub(super) dirtied: Notify,
    /// Shards without a known keeper that calls wait for.
    pub(super) wanted: Mutex<BTreeSet<id::ShardId>>,
    /// The store is to be asked for kept shards that are in doubt.
    pub(super) lapsed: Notify,
    /// How often it came to be in doubt whether others have taken the kept shards.
    doubts: AtomicU64,
    /// The lease in force; 0 for none.
    pub(super) lease: watch::Sender<kv::LeaseId>,
    /// When the store answered last.
    pub(super) contact: Mutex<Instant>,
    /// Until when the lease runs at least: it was granted or renewed, and the store counts from the
    /// call's arrival, which is later than its sending.
    pub(super) sure_until: Mutex<Instant>,
    /// When a shard was loaded last.
    pub(super) loaded: Mutex<Option<Instant>>,
    pub(super) window: Mutex<Duration>,
    pub(super) pacing: Mutex<commit_window::CommitWindow>,
    pub(super) closing: watch::Sender<bool>,
}

impl Inner {
    pub(super) fn new(store: fw_store::Client, opts: Options) -> Self {
        let shards = usize::from(opts.shards);
        let window = Mutex::new(opts.window);
        Self {
            store,
            nonce: rand::random(),
            slots: (0..shards).map(|_| Mutex::new(Slot::Absent)).collect(),
            table: RwLock::new(Table::new(shards)),
            dirty: Mutex::new(BTreeSet::new()),
            dirtied: Notify::new(),
            wanted: Mutex::default(),
            lapsed: Notify::new(),
            doubts: AtomicU64::new(0),
            lease: watch::Sender::new(0),
            contact: Mutex::new(Instant::now()),
            sure_until: Mutex::new(Instant::now()),
            loaded: Mutex::new(None),
            window,
            pacing: Mutex::new(commit_window::CommitWindow::new(commit_window::Options {
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

    /// Whether the shard of `ticket` has been kept without a break since the change, and serves.
    pub(super) fn is_kept(&self, ticket: Ticket) -> bool {
        let mut slot = self.slot(ticket.shard).lock();
        let kept = slot.serving();
        kept.is_some_and(|kept| kept.incarnation == ticket.incarnation)
    }

    /// Notes that another entry holds `shard` under `fence`.
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
        self.lapsed.notify_one();
    }

    pub(super) fn mark_dirty(&self, shard: id::ShardId) {
        self.dirty.lock().insert(shard);
        self.dirtied.notify_one();
    }

    pub(super) async fn wait_durable(&self, ticket: Ticket, wait: Duration) -> Result<(), Error> {
        let progress = {
            let mut slot = self.slot(ticket.shard).lock();
            let kept = slot
                .kept()
                .filter(|kept| kept.incarnation == ticket.incarnation);
            kept.map(|kept| kept.progress.subscribe())
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

    pub(super) fn note_contact(&self) {
        let before = std::mem::replace(&mut *self.contact.lock(), Instant::now());
        if before.elapsed() > self.opts.ttl {
            self.doubt();
        }
    }

    /// Notes that others may have taken the kept shards: the lease lapsed, or the store is back
    /// after a silence in which it may have. Until each was looked at, what is in memory may be
    /// the past of programs that have gone on elsewhere.
    pub(super) fn doubt(&self) {
        self.doubts.fetch_add(1, Ordering::AcqRel);
        self.lapsed.notify_one();
    }

    /// The number of doubts so far.
    pub(super) fn doubts(&self) -> u64 {
        self.doubts.load(Ordering::Acquire)
    }

    /// Whether the store was not asked who keeps `shard` since the last doubt.
    pub(super) fn is_in_doubt(&self, shard: id::ShardId) -> bool {
        let Some(slot) = self.slots.get(usize::from(shard)) else {
            return false;
        };
        let mut slot = slot.lock();
        let doubts = self.doubts();
        slot.kept().is_some_and(|kept| kept.is_in_doubt(doubts))
    }

    /// The kept shards that the store is to be asked for.
    pub(super) fn in_doubt(&self) -> Vec<id::ShardId> {
        let doubts = self.doubts();
        let is_in_doubt = |slot: &Mutex<Slot>| {
            let mut slot = slot.lock();
            slot.kept().is_some_and(|kept| kept.is_in_doubt(doubts))
        };
        let numbered = (0..).zip(&self.slots);
        let in_doubt = numbered.filter(|(_, slot)| is_in_doubt(slot));
        in_doubt.map(|(shard, _)| shard).collect()
    }

    /// Takes up to `most` out of `shards`, those first that calls wait for.
    pub(super) fn wanted_first(
        &self,
        shards: &mut Vec<id::ShardId>,
        most: usize,
    ) -> Vec<id::ShardId> {
        let mut wanted = self.wanted.lock();
        shards.sort_by_key(|shard| !wanted.contains(shard));
        let part: Vec<_> = shards.drain(..most.min(shards.len())).collect();
        wanted.retain(|shard| !part.contains(shard));
        part
    }

    /// Notes that kept shards were seen without keeper in the store.
    pub(super) fn doubt_shards(&self, shards: &[id::ShardId]) {
        for shard in shards {
            if let Some(kept) = self.slot(*shard).lock().kept() {
                kept.confirmed = None;
            }
        }
        self.lapsed.notify_one();
    }

    /// Notes until when the lease runs at least.
    pub(super) fn sure_until(&self, until: Instant) {
        let mut known = self.sure_until.lock();
        *known = until.max(*known);
    }

    /// Whether the lease runs by this process's own clock.
    pub(super) fn has_lease(&self) -> bool {
        Instant::now() < *self.sure_until.lock()
    }

    pub(super) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }
}
