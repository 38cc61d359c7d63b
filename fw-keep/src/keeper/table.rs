//! Cached table of live entries and shard owners, updated from the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_store::kv;
use fw_store::watch;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::balance;
use crate::journal::keys;
use crate::keeper::Owner;
use crate::owners;
use crate::progress;

/// Value of a live entry's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryValue {
    pub(super) address: SmolStr,
    /// Whether the entry takes shards.
    #[serde(default = "yes")]
    pub(super) keeps: bool,
}

/// Default of [`EntryValue::keeps`]: entries of versions without this field take shards.
fn yes() -> bool {
    true
}

/// Value of a shard keeper's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerValue {
    pub(super) entry: id::EntryId,
    /// Random number that identifies the process that wrote the key.
    pub(super) nonce: u64,
}

impl OwnerValue {
    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data encodes into memory")
    }

    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The holder that this value names, with the fencing number of its key.
    pub(super) fn into_holder(self, fence: id::Fence) -> owners::Holder {
        owners::Holder {
            entry: self.entry,
            nonce: self.nonce,
            fence,
        }
    }
}

/// The cached table.
#[derive(Debug)]
pub(super) struct Table {
    entries: BTreeMap<id::EntryId, EntryValue>,
    owners: owners::Owners,
    progress: progress::Progress,
    /// Entries whose key was deleted, and when.
    gone: BTreeMap<id::EntryId, (EntryValue, Instant)>,
}

/// How long an entry whose key was deleted is retained. Its lease may have lapsed although it still runs
/// and holds answers that its callers have received but the store lacks; it continues to offer them itself.
const GONE_RETENTION: Duration = Duration::from_secs(60);

impl Table {
    pub(super) fn new(shards: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            owners: owners::Owners::new(shards, Instant::now()),
            progress: progress::Progress::default(),
            gone: BTreeMap::new(),
        }
    }

    /// Replaces the table by a full reading at `revision`.
    pub(super) fn reset(&mut self, root: &str, kvs: Vec<kv::Kv>, revision: id::Revision) {
        let listed: BTreeSet<String> = kvs.iter().map(|kv| kv.key.clone()).collect();
        let entries = self.entries.keys().map(|entry| keys::entry(root, entry));
        let owners = (0..).zip(self.owners.all());
        let owners = owners.map(|(shard, _)| keys::owner(root, shard));
        let cached: Vec<_> = entries.chain(owners).collect();
        for key in cached.iter().filter(|key| !listed.contains(*key)) {
            self.delete(root, key, revision);
        }
        for kv in kvs {
            self.put(root, kv);
        }
    }

    /// Updates the owners of `shards` from their keys as read at `revision`.
    pub(super) fn update_owners(
        &mut self,
        root: &str,
        shards: &[id::ShardId],
        found: Vec<kv::Kv>,
        revision: id::Revision,
    ) {
        for shard in shards {
            let key = keys::owner(root, *shard);
            let holder = found.iter().find(|kv| kv.key == key).and_then(|kv| {
                let value = OwnerValue::decode(&kv.value)?;
                Some(value.into_holder(kv.create_revision))
            });
            self.update_owner(*shard, holder, revision);
        }
    }

    /// Applies a watch event; returns whether it may change the plan of any entry.
    pub(super) fn apply(&mut self, root: &str, event: watch::Event) -> bool {
        match event.kind {
            watch::EventKind::Put => self.put(root, event.kv),
            watch::EventKind::Delete => self.delete(root, &event.kv.key, event.kv.mod_revision),
        }
    }

    /// The live entries and their addresses.
    pub(super) fn entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        let entries = self.entries.iter();
        entries
            .map(|(id, value)| (id.clone(), value.address.clone()))
            .collect()
    }

    /// The entries whose key was deleted within the last [`GONE_RETENTION`] and that are not listed again.
    pub(super) fn recently_gone(&self) -> Vec<(id::EntryId, SmolStr)> {
        let gone = self.gone.iter();
        let recent = gone.filter(|(id, (_, since))| {
            since.elapsed() < GONE_RETENTION && !self.entries.contains_key(*id)
        });
        recent
            .map(|(id, (value, _))| (id.clone(), value.address.clone()))
            .collect()
    }

    fn record_gone(&mut self, entry: id::EntryId, value: EntryValue) {
        self.gone
            .retain(|_, (_, since)| since.elapsed() < GONE_RETENTION);
        self.gone.insert(entry, (value, Instant::now()));
    }

    pub(super) fn has_free_shards(&self) -> bool {
        self.owners.has_free()
    }

    /// The owner of `shard` as seen by entry `me`, which does not serve it.
    pub(super) fn owner(&self, shard: id::ShardId, me: &id::EntryId) -> Owner {
        let holder = self.owners.holder(shard);
        let Some(holder) = holder.filter(|holder| holder.entry != *me) else {
            return Owner::Vacant;
        };
        let entry = holder.entry.clone();
        match self.entries.get(&entry) {
            Some(value) => Owner::Remote {
                entry,
                address: value.address.clone(),
            },
            None => Owner::Vacant,
        }
    }

    /// The shards that process `nonce` keeps according to the table.
    pub(super) fn kept_by(&self, nonce: u64) -> Vec<(id::ShardId, id::Fence)> {
        let held = self.owners.kept();
        let mine = held.filter(|(_, holder)| holder.nonce == nonce);
        mine.map(|(shard, holder)| (shard, holder.fence)).collect()
    }

    /// The shards that processes other than `nonce` keep according to the table.
    pub(super) fn kept_by_others(
        &self,
        nonce: u64,
    ) -> impl Iterator<Item = (id::ShardId, id::Fence)> {
        let held = self.owners.kept();
        let theirs = held.filter(move |(_, holder)| holder.nonce != nonce);
        theirs.map(|(shard, holder)| (shard, holder.fence))
    }

    /// Records the keeper of a shard at `revision`, from an own call or the watch.
    pub(super) fn update_owner(
        &mut self,
        shard: id::ShardId,
        holder: Option<owners::Holder>,
        revision: id::Revision,
    ) {
        let now = Instant::now();
        let taker = holder.as_ref().map(|holder| holder.entry.clone());
        let has_changed = self.owners.update(shard, holder, revision, now);
        if let Some(taker) = taker.filter(|_| has_changed) {
            self.progress.record_taken(&taker, now);
        }
    }

    /// Computes the plan of entry `me`, and detects entries stalled for `stall_timeout`.
    pub(super) fn plan(&mut self, me: &id::EntryId, stall_timeout: Duration) -> balance::Plan {
        let assignments = balance::assignments(&self.view()).into_iter();
        let others = assignments.filter(|assignment| assignment.entry != me);
        let pending = others.filter_map(|assignment| {
            Some(progress::PendingShard {
                entry: assignment.entry.into(),
                free_since: self.owners.free_since(assignment.shard)?,
            })
        });
        let pending: Vec<_> = pending.collect();
        for stalled in self
            .progress
            .detect_stalled(pending, stall_timeout, Instant::now())
        {
            tracing::warn!(entry = %me, stuck = %stalled, "an entry takes no free shards; its share is assigned to others");
        }
        balance::plan(me, &self.view())
    }

    /// The live entries that take shards.
    pub(super) fn keepers(&self) -> impl Iterator<Item = &id::EntryId> {
        let keepers = self.entries.iter().filter(|(_, value)| value.keeps);
        keepers.map(|(entry, _)| entry)
    }

    fn view(&self) -> balance::View<'_> {
        let owners = self.owners.all();
        let owners = owners.map(|holder| holder.map(|holder| holder.entry.as_str()));
        balance::View {
            entries: self.keepers().map(SmolStr::as_str).collect(),
            passive: self.progress.passive().map(SmolStr::as_str).collect(),
            owners: owners.collect(),
        }
    }

    fn put(&mut self, root: &str, kv: kv::Kv) -> bool {
        match keys::parse_live(root, &kv.key) {
            Some(keys::Live::Entry(entry)) => {
                let Ok(value) = serde_json::from_slice::<EntryValue>(&kv.value) else {
                    return false;
                };
                let address = value.address.clone();
                let entry = id::EntryId::from(entry);
                self.progress.record_listed(&entry, Instant::now());
                let before = self.entries.insert(entry.clone(), value);
                if before.is_none() {
                    tracing::info!(listed = %entry, %address, revision = kv.mod_revision, "entry added to the table");
                }
                before.is_none()
            }
            Some(keys::Live::Shard(shard)) => {
                let value = OwnerValue::decode(&kv.value);
                let holder = value.map(|value| value.into_holder(kv.create_revision));
                self.update_owner(shard, holder, kv.mod_revision);
                false
            }
            _ => false,
        }
    }

    fn delete(&mut self, root: &str, key: &str, revision: id::Revision) -> bool {
        match keys::parse_live(root, key) {
            Some(keys::Live::Entry(entry)) => {
                let Some(value) = self.entries.remove(entry) else {
                    return false;
                };
                tracing::info!(gone = entry, address = %value.address, "entry removed from the table");
                self.progress.record_unlisted(&entry.into());
                self.record_gone(entry.into(), value);
                true
            }
            Some(keys::Live::Shard(shard)) => {
                self.update_owner(shard, None, revision);
                true
            }
            _ => false,
        }
    }
}
