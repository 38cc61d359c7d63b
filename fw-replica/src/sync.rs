//! Copying between replicas, and changes of the member list.
//!
//! Each replica reads the lists of the others and copies what it lacks, so that a lost disk leaves
//! every record on enough others, whichever were asked to store it. A replica with an empty disk
//! votes only when it has read enough of them to their end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::{client, member, record, server, service};

/// Pause between two looks at the lists of the others. With it a record is on all members within
/// a second or so; half of it would double the bytes between data centres for little.
const LOOK: Duration = Duration::from_millis(1_000);
/// The same while this replica may not vote.
const LOOK_UNSYNCED: Duration = Duration::from_millis(100);
/// Turns fetched at a time: some hundred kilobytes.
const FETCH: usize = 64;
/// Pause after a failed change of the member list.
const CHANGE: Duration = Duration::from_millis(500);

/// What a replica is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, stable over restarts.
    pub name: record::ReplicaId,
    /// Where the others reach it.
    pub addr: SocketAddr,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Whether the whole system starts for the first time, so that there is nothing to copy.
    pub first_start: bool,
}

/// Progress with one other member.
#[derive(Debug, Default)]
struct Source {
    at: service::Position,
    read_to_end: bool,
    synced: bool,
    heard: Option<Instant>,
}

/// Copies and keeps the member list, until dropped.
pub struct Sync {
    opts: Options,
    shared: Arc<server::Shared>,
    client: Arc<client::Client>,
    registry: member::SharedRegistry,
    sources: HashMap<record::ReplicaId, Source>,
    started: Instant,
}

impl Sync {
    /// Not running yet.
    pub fn new(
        opts: Options,
        shared: Arc<server::Shared>,
        registry: member::SharedRegistry,
    ) -> Self {
        Self {
            client: client::Client::new(opts.faults),
            opts,
            shared,
            registry,
            sources: HashMap::new(),
            started: Instant::now(),
        }
    }

    /// Runs for ever.
    pub async fn run(mut self) {
        let mut retire = self.shared.retire_told();
        self.reload().await;
        if self.opts.first_start && !self.shared.is_synced() {
            self.shared.mark_synced().await;
        }
        loop {
            self.copy().await;
            self.become_synced().await;
            if retire.borrow_and_update().contains(&self.opts.name) && !self.shared.is_retiring() {
                tracing::info!("to be emptied: nothing new is taken");
                self.shared.retire();
            }
            if let Err(err) = self.change_list().await {
                tracing::warn!(%err, "the member list is not changed");
                tokio::time::sleep(CHANGE).await;
                self.reload().await;
            }
            self.shared.expire();
            let pause = if self.shared.is_synced() && !self.shared.is_retiring() {
                LOOK
            } else {
                LOOK_UNSYNCED
            };
            let _ = tokio::time::timeout(pause, retire.changed()).await;
        }
    }

    fn others(&self) -> Vec<(record::ReplicaId, SocketAddr)> {
        let view = self.shared.view().borrow();
        let members = view.list.members.iter();
        let others = members.filter(|(name, _)| **name != self.opts.name);
        others.map(|(name, addr)| (name.clone(), *addr)).collect()
    }

    /// Copies what the others have and this one lacks.
    async fn copy(&mut self) {
        let others = self.others();
        self.sources
            .retain(|name, _| others.iter().any(|(other, _)| other == name));
        for (name, addr) in others {
            let mut source = self.sources.remove(&name).unwrap_or_default();
            let read = read_to_end(
                &self.client,
                &self.shared,
                &self.opts.name,
                addr,
                &mut source,
            );
            if read.await.is_some() {
                source.read_to_end = true;
                source.heard = Some(Instant::now());
            }
            self.sources.insert(name, source);
        }
    }

    async fn become_synced(&mut self) {
        if self.shared.is_synced() {
            return;
        }
        let members = self.shared.view().borrow().list.members.len();
        if members == 0 {
            return;
        }
        let needed = member::needed_sources(members, self.opts.faults);
        let read = self.sources.values().filter(|source| source.read_to_end);
        let whole = read.clone().filter(|source| source.synced).count();
        // If no disk is left that had everything, what the others have is all there is.
        let nothing_else = !self.sources.is_empty()
            && read.count() == self.sources.len()
            && self.sources.values().all(|source| !source.synced);
        if nothing_else {
            tracing::error!(
                members,
                "no other replica has all records: some may be lost"
            );
        }
        if (whole >= needed || nothing_else) && self.shared.mark_synced().await {
            tracing::info!(members, whole, "all records are copied; the replica votes");
        }
    }

    async fn reload(&self) {
        match self.registry.load().await {
            Ok(view) => self.shared.learn(view),
            Err(err) => tracing::warn!(%err, "the member list cannot be read"),
        }
    }

    /// Joins the list, leaves it, or removes a dead member from it, whichever is due.
    async fn change_list(&self) -> Result<(), member::Error> {
        let view = self.shared.view().borrow().clone();
        let listed = view.list.members.get(&self.opts.name).copied();
        if self.shared.is_retiring() {
            return self.leave(&view, listed.is_some()).await;
        }
        if !self.shared.is_synced() {
            return Ok(());
        }
        let mut list = view.list.clone();
        if listed != Some(self.opts.addr) {
            list.members.insert(self.opts.name.clone(), self.opts.addr);
            return self.replace(view.epoch, list).await;
        }
        let silent = |name: &record::ReplicaId| {
            let heard = self.sources.get(name).and_then(|source| source.heard);
            heard.unwrap_or(self.started).elapsed()
        };
        let dead = member::to_remove(&view.list, &self.opts.name, &silent, self.opts.faults);
        if let Some(dead) = dead {
            tracing::warn!(replica = %dead, "a silent member is removed");
            list.members.remove(dead);
            return self.replace(view.epoch, list).await;
        }
        Ok(())
    }

    /// Leaves once enough others have all that is here, and then tells the operator.
    async fn leave(&self, view: &member::View, listed: bool) -> Result<(), member::Error> {
        if listed {
            let mut list = view.list.clone();
            list.members.remove(&self.opts.name);
            let needed = (self.opts.faults + 1).min(list.members.len());
            let copied = self.shared.copied_by(&list);
            if copied < needed || list.members.is_empty() {
                tracing::info!(copied, needed, "waiting for others to copy before leaving");
                return Ok(());
            }
            self.replace(view.epoch, list).await?;
        }
        self.registry.retired(self.opts.name.clone()).await
    }

    async fn replace(&self, from: member::Epoch, list: member::List) -> Result<(), member::Error> {
        let epoch = self.registry.replace(from, list.clone()).await?;
        self.shared.learn(member::View { epoch, list });
        Ok(())
    }
}

/// Reads a replica's list to its end and copies what is missing here.
async fn read_to_end(
    client: &client::Client,
    shared: &server::Shared,
    me: &record::ReplicaId,
    addr: SocketAddr,
    source: &mut Source,
) -> Option<()> {
    loop {
        let page = client.list(addr, me.clone(), source.at).await?;
        source.synced = page.synced;
        let (charges, wanted) = missing(shared, page.records);
        store_all(shared, charges).await?;
        for ids in wanted.chunks(FETCH) {
            let turns = client.fetch(addr, ids.to_vec()).await?;
            metrics::counter!("fw_replica_copied_total").increment(turns.len() as u64);
            let turns = turns.into_iter().map(record::Record::Turn);
            store_all(shared, turns.collect()).await?;
        }
        source.at = page.next;
        if !page.more {
            return Some(());
        }
    }
}

/// The charges, and the ids of the turns, that are not here.
fn missing(
    shared: &server::Shared,
    listed: Vec<service::Listed>,
) -> (Vec<record::Record>, Vec<record::TurnId>) {
    let mut charges = Vec::new();
    let mut turns = Vec::new();
    for listed in listed {
        match listed {
            service::Listed::Turn(id) if !shared.has(&id) => turns.push(id),
            service::Listed::Charge(charge) if shared.is_news(&charge) => {
                charges.push(record::Record::Charge(charge));
            }
            service::Listed::Turn(_) | service::Listed::Charge(_) => {}
        }
    }
    (charges, turns)
}

/// Stores `records` together, so that they share syncs of the disk: one after the other, a few
/// thousand would take a slow disk longer than a replica may take to catch up.
async fn store_all(shared: &server::Shared, records: Vec<record::Record>) -> Option<()> {
    let stores = records.into_iter().map(|record| shared.store(record));
    let stored = join_all(stores).await;
    stored.into_iter().all(|ok| ok).then_some(())
}
