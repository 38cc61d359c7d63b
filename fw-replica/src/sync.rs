//! Copying between replicas, and changes of the member list.
//!
//! Each member reads the lists of the others and copies what it lacks, so that a lost disk leaves
//! every record on enough others, whichever were asked to store it. A replica with an empty disk
//! votes only when it has read enough of them to their end.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::{client, member, record, server, service};

/// Pause between two looks at the lists of the others. With it a record is on all members within
/// a second or so; half of it would double the calls for little.
const LOOK: Duration = Duration::from_millis(1_000);
/// The same while this replica has something to catch up with.
const LOOK_SOON: Duration = Duration::from_millis(100);
/// The same after each step by which a replica joins.
///
/// *Failure:* a replica takes a dead one's place. With both on the list, a majority needs it, and
/// no turn can begin until it votes: 0.9 s with the longer pause, in which turns pile up.
const LOOK_NOW: Duration = Duration::from_millis(5);
/// Turns fetched at a time: some hundred kilobytes.
const FETCH: usize = 64;
/// Pause after a failed change of the member list. Each replica waits for a time of its own, so
/// that many which start together do not keep refusing each other.
const CHANGE: Duration = Duration::from_millis(60);
/// While the whole system starts for the first time, replicas join without asking each other: there
/// is nothing to lose yet. All start within 0.3 s of each other.
const FOUND: Duration = Duration::from_millis(2_400);
/// Until then only replicas join whose data centre lacks one.
const SPREAD: Duration = Duration::from_millis(1_400);
/// No replica votes before the list of the first start is complete.
const FOUNDED: Duration = Duration::from_millis(3_200);

/// What a replica is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, stable over restarts.
    pub name: record::ReplicaId,
    /// Where the others reach it, and its data centre.
    pub own: member::Member,
    /// Data centres of the whole system.
    pub places: usize,
    /// Disks that may be lost together.
    pub faults: usize,
    /// Whether the whole system starts for the first time, so that there is nothing to copy.
    pub first_start: bool,
}

/// Progress with one other member.
#[derive(Debug)]
struct Source {
    at: service::Position,
    /// When a read to its end began that succeeded.
    read: Option<Instant>,
    synced: bool,
    retiring: bool,
    heard: Instant,
    /// Replicas that stand by and come before this one, as it told last.
    before: usize,
}

/// Copies and keeps the member list, until dropped.
pub struct Sync {
    opts: Options,
    shared: Arc<server::Shared>,
    client: Arc<client::Client>,
    registry: member::SharedRegistry,
    sources: HashMap<record::ReplicaId, Source>,
    started: Instant,
    /// Whether the system starts for the first time with this process.
    founding: bool,
    /// Whether this process put the replica on a list that lacked it. Listed otherwise and without
    /// data, it has lost its disk.
    joined: bool,
    /// Epoch that the store's list had when this process read it last.
    read: Option<member::Epoch>,
    /// The change by which the replica was to join, if the store did not answer it, and the epoch that
    /// it was to replace.
    unanswered: Option<member::View>,
    /// Epoch that a majority was told of, and when it had been.
    announced: Option<(member::Epoch, Instant)>,
    /// Whether the list has just changed or been announced, so that there is more to do at once.
    hurries: bool,
    /// Since when too few members are heard and stay.
    short_since: Option<Instant>,
    /// When this replica was told to leave.
    retired: Option<Instant>,
}

impl Sync {
    /// Not running yet.
    pub fn new(
        opts: Options,
        shared: Arc<server::Shared>,
        registry: member::SharedRegistry,
    ) -> Self {
        Self {
            client: client::Client::new(opts.faults, Vec::new()),
            founding: opts.first_start && shared.view().borrow().epoch == 0,
            joined: false,
            read: None,
            unanswered: None,
            opts,
            shared,
            registry,
            sources: HashMap::new(),
            started: Instant::now(),
            announced: None,
            hurries: false,
            short_since: None,
            retired: None,
        }
    }

    /// Runs for ever.
    pub async fn run(mut self) {
        let mut retire = self.shared.retire_told();
        self.reload().await;
        if self.is_listed() && self.shared.is_synced() {
            tracing::info!("the disk has all that a member has to know; the replica votes");
            self.shared.let_vote(true);
        }
        loop {
            if retire.borrow_and_update().contains(&self.opts.name) && !self.shared.is_retiring() {
                tracing::info!("to be emptied: nothing new is taken");
                self.retired = Some(Instant::now());
                self.shared.retire();
            }
            self.look().await;
            if let Err(err) = self.act().await {
                tracing::info!(%err, "the member list is not changed");
                tokio::time::sleep(self.own_pause()).await;
                self.reload().await;
            }
            self.shared.expire(server::unix_ms()).await;
            let pause = self.pause();
            let _ = tokio::time::timeout(pause, retire.changed()).await;
        }
    }

    /// Time until the next look.
    fn pause(&mut self) -> Duration {
        if std::mem::take(&mut self.hurries) {
            LOOK_NOW
        } else if self.is_settled() {
            LOOK
        } else {
            LOOK_SOON
        }
    }

    /// A pause that differs from the other replicas'.
    fn own_pause(&self) -> Duration {
        let spread = self.opts.name.bytes().map(u32::from).sum::<u32>() % 7;
        CHANGE * (spread + 1)
    }

    fn is_listed(&self) -> bool {
        let view = self.shared.view().borrow();
        view.list.members.contains_key(&self.opts.name)
    }

    fn is_settled(&self) -> bool {
        let stands_by = !self.is_listed();
        !self.shared.is_retiring() && !self.is_founding() && (self.shared.is_voting() || stands_by)
    }

    fn is_founding(&self) -> bool {
        self.founding && self.started.elapsed() < FOUNDED
    }

    fn others(&self) -> Vec<(record::ReplicaId, SocketAddr)> {
        let view = self.shared.view().borrow();
        let members = view.list.members.iter();
        let others = members.filter(|(name, _)| **name != self.opts.name);
        others
            .map(|(name, member)| (name.clone(), member.addr))
            .collect()
    }

    /// Looks at all other members at once: a member copies from them, a replica that stands by
    /// only asks how they are.
    async fn look(&mut self) {
        self.note_short();
        let others = self.others();
        // One that is to leave copies nothing more, so that the others can reach its end.
        let needed = self.is_listed()
            || self.situation(|situation| situation.decide()) != member::Next::StandBy;
        let copies = needed && !self.shared.is_retiring();
        let mut looks = Vec::new();
        for (name, addr) in others {
            let source = self.sources.remove(&name).unwrap_or_else(|| Source {
                at: service::Position::default(),
                read: None,
                synced: false,
                retiring: false,
                heard: Instant::now(),
                before: 0,
            });
            let (client, shared) = (&self.client, &self.shared);
            let me = &self.opts.name;
            looks.push(async move {
                let mut source = source;
                if copies {
                    copy(client, shared, me, addr, &mut source).await;
                } else {
                    ask(client, shared, me, addr, &mut source).await;
                }
                (name, source)
            });
        }
        self.sources = join_all(looks).await.into_iter().collect();
        self.note_short();
    }

    /// Whether enough was copied since the list in force was announced.
    fn has_copied(&self) -> bool {
        let view = self.shared.view().borrow();
        let others = view.list.members.len().saturating_sub(1);
        let Some((epoch, since)) = self.announced else {
            return false;
        };
        if epoch != view.epoch {
            return false;
        }
        let fresh = |source: &&Source| source.read.is_some_and(|at| at >= since);
        let read = self.sources.values().filter(fresh);
        let whole = read.clone().filter(|source| source.synced).count();
        // If no disk is left that had everything, what the others have is all there is.
        let nothing_else = read.count() == others && whole == 0;
        if nothing_else {
            tracing::error!(others, "no other replica has all records: some may be lost");
        }
        nothing_else || whole >= member::needed_sources(others, !self.joined, self.opts.faults)
    }

    fn situation<T>(&self, with: impl FnOnce(&member::Situation<'_>) -> T) -> T {
        let view = self.shared.view().borrow().clone();
        let silence =
            |(name, source): (&record::ReplicaId, &Source)| (name.clone(), source.heard.elapsed());
        let silent: BTreeMap<_, _> = self.sources.iter().map(silence).collect();
        let leaving = self.sources.iter().filter(|(_, source)| source.retiring);
        let leaving: Vec<_> = leaving.map(|(name, _)| name.clone()).collect();
        with(&member::Situation {
            list: &view.list,
            me: &self.opts.name,
            own: &self.opts.own,
            faults: self.opts.faults,
            retiring: self.shared.is_retiring(),
            votes: self.shared.is_voting(),
            copied: self.has_copied(),
            silent: &silent,
            leaving: &leaving,
            before: self.sources.values().map(|s| s.before).max().unwrap_or(0),
            short_for: self.short_since.map_or(Duration::ZERO, |at| at.elapsed()),
        })
    }

    /// Notes since when there are too few members.
    fn note_short(&mut self) {
        let is_short = self.situation(|situation| situation.is_short());
        self.short_since = match self.short_since {
            Some(since) if is_short => Some(since),
            _ => is_short.then(Instant::now),
        };
    }

    /// Does what is due about the member list.
    async fn act(&mut self) -> Result<(), member::Error> {
        if self.founding && self.found().await? {
            return Ok(());
        }
        if self.is_listed() && !self.shared.is_voting() && !self.shared.is_retiring() {
            self.announce().await?;
        }
        if !self.is_listed() && self.shared.is_synced() {
            // Without copying, what it has grows old.
            self.shared.let_vote(false);
            self.shared.mark_synced(false).await;
        }
        match self.situation(|situation| situation.decide()) {
            member::Next::Stay | member::Next::StandBy => Ok(()),
            member::Next::Vote => {
                if self.shared.mark_synced(true).await {
                    tracing::info!(
                        others = self.sources.len(),
                        "all records are copied; the replica votes"
                    );
                    self.shared.let_vote(true);
                }
                Ok(())
            }
            member::Next::Change(list) => {
                tracing::info!(from = ?self.shared.view().borrow().list.members, to = ?list.members, "the member list is to change");
                self.replace(list).await
            }
            member::Next::Leave(list) => self.leave(list).await,
            member::Next::Left => self.registry.report_retired(self.opts.name.clone()).await,
        }
    }

    /// The first start of the whole system; whether it is still going on.
    async fn found(&mut self) -> Result<bool, member::Error> {
        if self.started.elapsed() >= FOUNDED {
            self.founding = false;
            self.reload().await;
            if self.is_listed() {
                self.shared.mark_synced(true).await;
                self.shared.let_vote(true);
                tracing::info!("the system is founded; the replica votes");
            }
            return Ok(false);
        }
        let view = self.shared.view().borrow().clone();
        let full = view.list.members.len() >= member::wanted_members(self.opts.faults);
        let opts = &self.opts;
        let spreads = member::spreads(&view.list, &opts.own.place, opts.faults, opts.places);
        let may_join = spreads || self.started.elapsed() >= SPREAD;
        if !self.is_listed() && !full && may_join && self.started.elapsed() < FOUND {
            let mut list = view.list;
            list.members
                .insert(self.opts.name.clone(), self.opts.own.clone());
            self.put(view.epoch, list).await?;
        }
        Ok(true)
    }

    /// Tells the members the list in force, until a majority refuse older ones.
    async fn announce(&mut self) -> Result<(), member::Error> {
        let view = self.shared.view().borrow().clone();
        if self.announced.is_some_and(|(epoch, _)| epoch == view.epoch) {
            return Ok(());
        }
        let told = self.others().into_iter().map(|(_, addr)| {
            let view = view.clone();
            self.client.announce_members_to(addr, view)
        });
        let told = join_all(told).await.into_iter().filter(|ok| *ok).count();
        let told = told + usize::from(self.is_listed());
        let members = view.list.members.len();
        if members > 0 && told * 2 <= members {
            return Err(member::Error::Unavailable {
                message: format!("only {told} members know the list of epoch {}", view.epoch),
            });
        }
        self.announced = Some((view.epoch, Instant::now()));
        self.hurries = true;
        Ok(())
    }

    async fn replace(&mut self, list: member::List) -> Result<(), member::Error> {
        self.announce().await?;
        let epoch = self.shared.view().borrow().epoch;
        self.put(epoch, list).await
    }

    async fn put(&mut self, from: member::Epoch, list: member::List) -> Result<(), member::Error> {
        let joins = !self.is_listed() && list.members.contains_key(&self.opts.name);
        let replaced = self.registry.replace(from, list.clone()).await;
        // Since the store was read, only this process can have added the replica.
        let is_ours = self.read.is_some_and(|read| read <= from);
        if matches!(replaced, Err(member::Error::Unavailable { .. })) && joins && is_ours {
            let list = list.clone();
            self.unanswered = Some(member::View { epoch: from, list });
        }
        let epoch = replaced?;
        // *Failure:* a machine was replaced by an empty one of its name at another address. Having put
        // that address on the list it took itself for one that had joined, and voted on fewer copies
        // than hold all that its predecessor had accepted: a spent budget was granted again.
        self.joined |= joins;
        self.shared.learn(member::View { epoch, list }).await;
        self.hurries = true;
        Ok(())
    }

    /// Leaves once enough others have all that is here.
    async fn leave(&mut self, list: member::List) -> Result<(), member::Error> {
        let needed = (self.opts.faults + 1).min(list.members.len());
        let copied = self.shared.copied_by(&list);
        let told = self.retired.map_or(Duration::ZERO, |at| at.elapsed());
        let is_replaced = member::may_leave(&list, told, self.opts.faults);
        if copied < needed || list.members.is_empty() || !is_replaced {
            tracing::info!(
                copied,
                needed,
                is_replaced,
                "others have to copy before this replica leaves"
            );
            return Ok(());
        }
        self.replace(list).await
    }

    async fn reload(&mut self) {
        match self.registry.load().await {
            Ok(view) => {
                self.read = Some(view.epoch);
                self.shared.learn(view).await;
            }
            Err(err) => tracing::warn!(%err, "the member list cannot be read"),
        }
        self.look_at_unanswered();
    }

    /// Finds out whether a change that the store did not answer has taken effect.
    ///
    /// *Failure:* a replica took a dead one's place and the answer was lost. Listed without having put
    /// itself on the list, as it seemed, it took itself for a member that had lost its disk, and would
    /// not vote before it had read the dead one: no reservation passed until that was off the list.
    fn look_at_unanswered(&mut self) {
        let view = self.shared.view().borrow().clone();
        let Some(asked) = self.unanswered.take_if(|asked| view.epoch > asked.epoch) else {
            return;
        };
        let took_effect = view.list == asked.list;
        tracing::info!(
            epoch = view.epoch,
            took_effect,
            "a change of the member list was not answered"
        );
        self.joined |= took_effect;
    }
}

/// Asks how a member is.
async fn ask(
    client: &client::Client,
    shared: &server::Shared,
    me: &record::ReplicaId,
    addr: SocketAddr,
    source: &mut Source,
) {
    let Some(pong) = client.ping(addr, Some(me.clone())).await else {
        return;
    };
    source.before = pong.standbys_ahead;
    source.heard = Instant::now();
    source.retiring = pong.retiring;
    shared.learn_retire(pong.retire);
    shared.learn(pong.view).await;
}

/// Copies what a member has and this replica lacks.
async fn copy(
    client: &client::Client,
    shared: &server::Shared,
    me: &record::ReplicaId,
    addr: SocketAddr,
    source: &mut Source,
) {
    let begun = Instant::now();
    if !shared.is_voting()
        && let Some(news) = client
            .poll_update(addr, shared.known(), Duration::ZERO)
            .await
    {
        shared.keep(news.newer).await;
    }
    if read_to_end(client, shared, me, addr, source)
        .await
        .is_some()
    {
        source.read = Some(begun);
        source.heard = Instant::now();
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
        source.retiring = page.retiring;
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
    listed: Vec<service::ListedRecord>,
) -> (Vec<record::Record>, Vec<record::TurnId>) {
    let mut charges = Vec::new();
    let mut turns = Vec::new();
    for listed in listed {
        match listed {
            service::ListedRecord::Turn(id) if !shared.has(&id) => turns.push(id),
            service::ListedRecord::Charge(charge) if shared.is_news(&charge) => {
                charges.push(record::Record::Charge(charge));
            }
            service::ListedRecord::Turn(_) | service::ListedRecord::Charge(_) => {}
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
