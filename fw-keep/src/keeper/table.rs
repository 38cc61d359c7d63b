//! The table of live entries and shard keepers, as the store last showed it.

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
    /// Whether it takes shards.
    #[serde(default = "yes")]
    pub(super) keeps: bool,
}

/// Entries of versions before the setting all take shards.
fn yes() -> bool {
    true
}

/// Value of a shard keeper's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OwnerValue {
    pub(super) entry: id::EntryId,
    /// Of the process that wrote it.
    pub(super) nonce: u64,
}

impl OwnerValue {
    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data encodes into memory")
    }

    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The keeper that this names, under the fencing number of its key.
    pub(super) fn holder(self, fence: id::Fence) -> owners::Holder {
        owners::Holder {
            entry: self.entry,
            nonce: self.nonce,
            fence,
        }
    }
}

/// The table.
#[derive(Debug)]
pub(super) struct Table {
    entries: BTreeMap<id::EntryId, EntryValue>,
    owners: owners::Owners,
    progress: progress::Progress,
    /// Entries whose key is gone, and since when.
    gone: BTreeMap<id::EntryId, (EntryValue, Instant)>,
}

/// How long an entry is remembered whose key is gone. Its lease may have lapsed while it lives on and
/// holds answers that its callers have and the store lacks; it goes on to offer them itself.
const GONE_KEPT: Duration = Duration::from_secs(60);

impl Table {
    pub(super) fn new(shards: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            owners: owners::Owners::new(shards, Instant::now()),
            progress: progress::Progress::default(),
            gone: BTreeMap::new(),
        }
    }

    /// Takes over a whole reading of the table at `revision`.
    pub(super) fn reset(&mut self, root: &str, kvs: Vec<kv::Kv>, revision: id::Revision) {
        let listed: BTreeSet<String> = kvs.iter().map(|kv| kv.key.clone()).collect();
        let entries = self.entries.keys().map(|entry| keys::entry(root, entry));
        let owners = (0..).zip(self.owners.all());
        let owners = owners.map(|(shard, _)| keys::owner(root, shard));
        let known: Vec<_> = entries.chain(owners).collect();
        for key in known.iter().filter(|key| !listed.contains(*key)) {
            self.delete(root, key, revision);
        }
        for kv in kvs {
            self.put(root, kv);
        }
    }

    /// Takes over who keeps `shards`, as the store told at `revision`.
    pub(super) fn learn(
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
                Some(value.holder(kv.create_revision))
            });
            self.note(*shard, holder, revision);
        }
    }

    /// Takes over a change; true if it may change anybody's plan.
    pub(super) fn apply(&mut self, root: &str, event: watch::Event) -> bool {
        match event.kind {
            watch::EventKind::Put => self.put(root, event.kv),
            watch::EventKind::Delete => self.delete(root, &event.kv.key, event.kv.mod_revision),
        }
    }

    pub(super) fn entries(&self) -> Vec<(id::EntryId, SmolStr)> {
        let entries = self.entries.iter();
        entries
            .map(|(id, value)| (id.clone(), value.address.clone()))
            .collect()
    }

    /// The entries whose key is gone for not longer than [`GONE_KEPT`].
    pub(super) fn lately_gone(&self) -> Vec<(id::EntryId, SmolStr)> {
        let gone = self.gone.iter();
        let lately = gone.filter(|(id, (_, since))| {
            since.elapsed() < GONE_KEPT && !self.entries.contains_key(*id)
        });
        lately
            .map(|(id, (value, _))| (id.clone(), value.address.clone()))
            .collect()
    }

    fn note_gone(&mut self, entry: id::EntryId, value: EntryValue) {
        self.gone
            .retain(|_, (_, since)| since.elapsed() < GONE_KEPT);
        self.gone.insert(entry, (value, Instant::now()));
    }

    pub(super) fn has_free(&self) -> bool {
        self.owners.has_free()
    }

    /// Who keeps `shard`, asked by `me`, which does not serve it.
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

    /// The shards that process `nonce` keeps according to the store.
    pub(super) fn kept_by(&self, nonce: u64) -> Vec<(id::ShardId, id::Fence)> {
        let held = self.owners.kept();
        let mine = held.filter(|(_, holder)| holder.nonce == nonce);
        mine.map(|(shard, holder)| (shard, holder.fence)).collect()
    }

    /// The shards that other processes than `nonce` keep according to the store.
    pub(super) fn kept_by_others(
        &self,
        nonce: u64,
    ) -> impl Iterator<Item = (id::ShardId, id::Fence)> {
        let held = self.owners.kept();
        let theirs = held.filter(move |(_, holder)| holder.nonce != nonce);
        theirs.map(|(shard, holder)| (shard, holder.fence))
    }

    /// Notes who kept a shard at `revision`, as an own call or the watch has told.
    pub(super) fn note(
        &mut self,
        shard: id::ShardId,
        holder: Option<owners::Holder>,
        revision: id::Revision,
    ) {
        let now = Instant::now();
        let taker = holder.as_ref().map(|holder| holder.entry.clone());
        let is_news = self.owners.update(shard, holder, revision, now);
        if let Some(taker) = taker.filter(|_| is_news) {
            self.progress.record_taken(&taker, now);
        }
    }

    /// The plan of entry `me`, which looks every `round` at least.
    pub(super) fn plan(&mut self, me: &id::EntryId, round: Duration) -> balance::Plan {
        let assignments = balance::assignments(&self.view()).into_iter();
        let others = assignments.filter(|assignment| assignment.entry != me);
        let due = others.filter_map(|assignment| {
            Some(progress::PendingShard {
                entry: assignment.entry.into(),
                free_since: self.owners.free_since(assignment.shard)?,
            })
        });
        let due: Vec<_> = due.collect();
        for stuck in self.progress.detect_stalled(due, round, Instant::now()) {
            tracing::warn!(entry = %me, %stuck, "an entry takes no free shards; others take its share");
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
                    tracing::info!(listed = %entry, %address, revision = kv.mod_revision, "an entry is listed");
                }
                before.is_none()
            }
            Some(keys::Live::Shard(shard)) => {
                let value = OwnerValue::decode(&kv.value);
                let holder = value.map(|value| value.holder(kv.create_revision));
                self.note(shard, holder, kv.mod_revision);
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
                tracing::info!(gone = entry, address = %value.address, "an entry is listed no more");
                self.progress.record_unlisted(&entry.into());
                self.note_gone(entry.into(), value);
                true
            }
            Some(keys::Live::Shard(shard)) => {
                self.note(shard, None, revision);
                true
            }
            _ => false,
        }
    }
}
