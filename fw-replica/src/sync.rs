//! Copying of records between replicas, and changes of the member list.
//!
//! Each member reads the record lists of the others and copies the records it lacks, so that after
//! the loss of a disk every record is on enough others, whichever were sent it first. A replica
//! with an empty disk votes only after reading enough of these lists to their ends.
//!
//! Turns that entries store on `f + 1` members are not copied by members that vote: `f + 1` copies
//! outlast the loss of `f` disks, and whoever replaces a lost disk copies all records before it votes,
//! which restores the number. [`cursor::Reading`] names the cases in which such turns are copied as well.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

pub mod cursor;
mod list_reads;

use crate::{client, member, record, server, service, startup};

/// Interval between two reads of the other members' lists. With it a record is on all members
/// within about a second; half of it would double the calls for little gain.
const SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval while this replica is catching up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// The interval after each step by which a replica joins.
///
/// *Failure:* a replica takes a dead one's place. With both on the list, a majority needs it, and
/// no turn can begin until it votes: 0.9 s with the longer interval, in which turns queue up.
const JOIN_INTERVAL: Duration = Duration::from_millis(5);
/// How long a replica that has copied all records goes on copying turns that are stored on a write
/// quorum only. Such a turn may have counted this replica's lost disk, and be stored on the others
/// only after their lists were read: an entry takes up to two call time-outs to store a turn.
const COPY_ALL_FOR: Duration = Duration::from_secs(3);
/// Turns requested at a time. The reply has as many of them as it has room for.
const FETCH_BATCH: usize = 64;
/// Pause after a failed change of the member list. Each replica uses a different multiple, so that
/// many starting together do not keep refusing each other.
const CHANGE_BACKOFF: Duration = Duration::from_millis(60);
/// Until this time after the first start of the whole system, replicas join the list without
/// consulting each other: there is nothing to lose yet. All start within 0.3 s of each other.
const FOUNDING_JOIN: Duration = Duration::from_millis(2_400);
/// Until this time, only replicas in data centres that lack a member join.
const FOUNDING_SPREAD: Duration = Duration::from_millis(1_400);
/// Before this time, when the list of the first start is complete, no replica votes.
const FOUNDING_END: Duration = Duration::from_millis(3_200);

/// How long a replica that has all records waits for the member list from the store before it votes by the list on
/// its disk, as it also does if the store refuses.
///
/// *Failure:* all instances lose power, and the store answers no call for a while. Replicas that wait for the
/// time-out of that call vote 1.2 s later, and every turn waits for them.
const LIST_READ_HEAD_START: Duration = Duration::from_millis(100);

/// Identity of a replica and the layout of the system.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, stable over restarts.
    pub name: record::ReplicaId,
    /// The address at which the others reach it, and its data centre.
    pub own: member::Member,
    /// Number of data centres of the whole system.
    pub places: usize,
    /// Number of disks that may be lost together.
    pub faults: usize,
    /// Whether the whole system starts for the first time, so that there is nothing to copy.
    pub first_start: bool,
}

/// State of copying from one other member.
#[derive(Debug)]
struct Source {
    /// Start of the last read to the list's end.
    read_began_at: Option<Instant>,
    synced: bool,
    retiring: bool,
    last_seen: Instant,
    /// Standby replicas that take precedence over this one, by its last reply.
    standbys_ahead: usize,
    /// Where the next read begins, and which turns it copies.
    cursor: cursor::Cursor,
}

/// Task that copies records and maintains the member list.
pub struct Sync {
    opts: Options,
    shared: Arc<server::Shared>,
    client: Arc<client::Client>,
    registry: member::SharedRegistry,
    sources: HashMap<record::ReplicaId, Source>,
    started: Instant,
    /// Whether this process takes part in the first start of the system.
    founding: bool,
    /// Whether this process added the replica to a list that lacked it. A replica that is listed
    /// otherwise, and has no data, has lost its disk.
    joined: bool,
    /// Reads of the store's list while this member does not vote.
    list_reads: list_reads::ListReads,
    /// Epoch of the store's list when this process last read it.
    read_epoch: Option<member::Epoch>,
    /// Epoch of the list that was to be replaced by one with this replica, if the store did not answer the change.
    unanswered: Option<member::Epoch>,
    /// Last epoch announced to a majority, and the time of that.
    announced: Option<(member::Epoch, Instant)>,
    /// Epoch of the newest list of which the store says that it was announced.
    recorded: Option<member::Epoch>,
    /// Whether the list has just changed or been announced, so that the next step is due at once.
    immediate: bool,
    /// Time since which too few members are usable.
    short_since: Option<Instant>,
    /// When this replica began to retire.
    retiring_since: Option<Instant>,
    /// The steps of the replica's start; `None` once it has voted.
    startup: Option<startup::Startup>,
    /// When this replica had copied all records and began to vote.
    caught_up_at: Option<Instant>,
}

impl Sync {
    /// Creates the task; [`Sync::run`] runs it.
    pub fn new(
        opts: Options,
        shared: Arc<server::Shared>,
        registry: member::SharedRegistry,
        startup: startup::Startup,
    ) -> Self {
        let client = client::Client::new(opts.faults, Vec::new());
        client.set_place(opts.own.place.clone());
        Self {
            client,
            founding: opts.first_start && shared.view().borrow().epoch == 0,
            joined: false,
            list_reads: list_reads::ListReads::new(),
            read_epoch: None,
            unanswered: None,
            opts,
            shared,
            registry,
            sources: HashMap::new(),
            started: Instant::now(),
            announced: None,
            recorded: None,
            immediate: false,
            short_since: None,
            retiring_since: None,
            startup: Some(startup),
            caught_up_at: None,
        }
    }

    /// Runs until dropped.
    pub async fn run(mut self) {
        let mut retire = self.shared.retire_requests();
        let registry = Arc::clone(&self.registry);
        let mut load = registry.load();
        let loaded = match tokio::time::timeout(LIST_READ_HEAD_START, &mut load).await {
            Ok(loaded) => loaded,
            Err(_) => {
                self.vote_if_synced();
                load.await
            }
        };
        self.apply_loaded(loaded).await;
        self.vote_if_synced();
        loop {
            if retire.borrow_and_update().contains(&self.opts.name) {
                self.update_retirement();
            }
            self.reread_list().await;
            self.sync_members().await;
            if let Err(err) = self.update_list().await {
                tracing::info!(%err, "the member list could not be changed");
                tokio::time::sleep(self.own_backoff()).await;
                self.reload().await;
            }
            self.shared.expire(server::unix_ms()).await;
            let pause = self.next_interval();
            let _ = tokio::time::timeout(pause, retire.changed()).await;
        }
    }

    /// Begins to retire once enough members stay, and stops while they do not.
    fn update_retirement(&mut self) {
        let may_retire = {
            let view = self.shared.view().borrow();
            let leaving = self.leaving();
            member::may_retire(&view.list, &self.opts.name, &leaving, self.opts.faults)
        };
        let retires = may_retire || !self.is_listed();
        if retires == self.shared.is_retiring() {
            return;
        }
        match retires {
            true => tracing::info!("this replica is being retired; no new records are accepted"),
            false => tracing::warn!(
                "this replica cannot retire: too few others stay; it accepts records again"
            ),
        }
        self.retiring_since = retires.then(Instant::now);
        self.shared.set_retiring(retires);
    }

    /// Other members that are retiring.
    fn leaving(&self) -> Vec<record::ReplicaId> {
        self.others_where(|source| source.retiring)
    }

    /// Names of the other members of which `holds` is true.
    fn others_where(&self, holds: impl Fn(&Source) -> bool) -> Vec<record::ReplicaId> {
        let sources = self.sources.iter().filter(|(_, source)| holds(source));
        sources.map(|(name, _)| name.clone()).collect()
    }

    /// Votes if the replica is a member and its disk has all records.
    fn vote_if_synced(&mut self) {
        if self.is_listed() && self.shared.is_synced() && !self.shared.is_voting() {
            tracing::info!("all records are on disk; the replica votes");
            self.begin_voting();
        }
    }

    /// Votes from now on.
    fn begin_voting(&mut self) {
        self.shared.set_voting(true);
        if let Some(startup) = self.startup.take() {
            startup.log_voting();
        }
    }

    /// Time until the next pass.
    fn next_interval(&mut self) -> Duration {
        if std::mem::take(&mut self.immediate) {
            JOIN_INTERVAL
        } else if self.is_settled() {
            SYNC_INTERVAL
        } else {
            CATCH_UP_INTERVAL
        }
    }

    /// Back-off that differs between replicas.
    fn own_backoff(&self) -> Duration {
        let spread = self.opts.name.bytes().map(u32::from).sum::<u32>() % 7;
        CHANGE_BACKOFF * (spread + 1)
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
        self.founding && self.started.elapsed() < FOUNDING_END
    }

    fn others(&self) -> Vec<(record::ReplicaId, SocketAddr)> {
        let view = self.shared.view().borrow();
        let members = view.list.members.iter();
        let others = members.filter(|(name, _)| **name != self.opts.name);
        others
            .map(|(name, member)| (name.clone(), member.addr))
            .collect()
    }

    /// Contacts all other members at once: a member copies from them, a standby only pings them.
    async fn sync_members(&mut self) {
        self.update_shortage();
        let others = self.others();
        // A retiring replica copies nothing more, so that the others can reach the end of its list.
        let needed = self.is_listed()
            || self.situation(|situation| situation.decide()) != member::Action::StandBy;
        let copies = needed && !self.shared.is_retiring();
        let caught_up_lately = self
            .caught_up_at
            .is_some_and(|at| at.elapsed() < COPY_ALL_FOR);
        let copies_all = !self.shared.is_voting() || caught_up_lately;
        let epoch = {
            let view = self.shared.view().borrow();
            self.client.set_remote(&view.list);
            view.epoch
        };
        let mut syncs = Vec::new();
        for (name, addr) in others {
            let source = self.sources.remove(&name).unwrap_or_else(|| Source {
                cursor: cursor::Cursor::default(),
                read_began_at: None,
                synced: false,
                retiring: false,
                last_seen: Instant::now(),
                standbys_ahead: 0,
            });
            let (client, shared) = (&self.client, &self.shared);
            let own_name = &self.opts.name;
            syncs.push(async move {
                let mut source = source;
                if copies {
                    let copies_all = copies_all || source.retiring;
                    source.cursor.begin_pass(copies_all, epoch, Instant::now());
                    copy(client, shared, own_name, addr, &mut source).await;
                } else {
                    ping_member(client, shared, Some(own_name.clone()), addr, &mut source).await;
                }
                (name, source)
            });
        }
        self.sources = join_all(syncs).await.into_iter().collect();
        self.update_shortage();
    }

    /// Whether the replica has copied from enough members since the current list was announced.
    fn has_copied(&self) -> bool {
        let view = self.shared.view().borrow();
        let others = view.list.members.len().saturating_sub(1);
        let Some((epoch, since)) = self.announced else {
            return false;
        };
        if epoch != view.epoch {
            return false;
        }
        let fresh = |source: &&Source| source.read_began_at.is_some_and(|at| at >= since);
        let read = self.sources.values().filter(fresh);
        let whole = read.clone().filter(|source| source.synced).count();
        // If no complete disk is left, the records of the others are all there are.
        let nothing_else = read.count() == others && whole == 0;
        if nothing_else {
            tracing::error!(others, "no other replica has all records: some may be lost");
        }
        nothing_else || whole >= member::needed_sources(others, !self.joined, self.opts.faults)
    }

    fn situation<T>(&self, with: impl FnOnce(&member::Situation<'_>) -> T) -> T {
        let view = self.shared.view().borrow().clone();
        let last_seen_ago = |(name, source): (&record::ReplicaId, &Source)| {
            (name.clone(), source.last_seen.elapsed())
        };
        let last_seen_ago: BTreeMap<_, _> = self.sources.iter().map(last_seen_ago).collect();
        let leaving = self.leaving();
        let unsynced = self.others_where(|source| !source.synced);
        with(&member::Situation {
            list: &view.list,
            own_name: &self.opts.name,
            own: &self.opts.own,
            faults: self.opts.faults,
            retiring: self.shared.is_retiring(),
            votes: self.shared.is_voting(),
            copied: self.has_copied(),
            last_seen_ago: &last_seen_ago,
            leaving: &leaving,
            unsynced: &unsynced,
            standbys_ahead: self
                .sources
                .values()
                .map(|s| s.standbys_ahead)
                .max()
                .unwrap_or(0),
            short_for: self.short_since.map_or(Duration::ZERO, |at| at.elapsed()),
        })
    }

    /// Updates the time since which there are too few usable members.
    fn update_shortage(&mut self) {
        let is_short = self.situation(|situation| situation.is_short());
        self.short_since = match self.short_since {
            Some(since) if is_short => Some(since),
            _ => is_short.then(Instant::now),
        };
    }

    /// Takes the next step regarding the member list.
    async fn update_list(&mut self) -> Result<(), member::Error> {
        if self.founding && self.join_founding_list().await? {
            return Ok(());
        }
        if self.is_listed() && !self.shared.is_voting() && !self.shared.is_retiring() {
            self.announce().await?;
        }
        if !self.is_listed() && self.shared.is_synced() {
            // Without copying, the replica's records become outdated.
            self.shared.set_voting(false);
            self.shared.mark_synced(false).await;
        }
        match self.situation(|situation| situation.decide()) {
            member::Action::Stay | member::Action::StandBy => Ok(()),
            member::Action::Vote => {
                if self.shared.mark_synced(true).await {
                    tracing::info!(
                        others = self.sources.len(),
                        "all records are copied; the replica votes"
                    );
                    self.caught_up_at = Some(Instant::now());
                    self.begin_voting();
                }
                Ok(())
            }
            member::Action::Change(list) => {
                tracing::info!(from = ?self.shared.view().borrow().list.members, to = ?list.members, "changing the member list");
                self.change_list(list).await
            }
            member::Action::Leave(list) => self.leave(list).await,
            member::Action::Left => {
                // Its machine may be removed next, and nobody else has to know the list.
                self.announce().await?;
                self.record_announcement().await?;
                self.registry.report_retired(self.opts.name.clone()).await
            }
        }
    }

    /// Takes part in the first start of the whole system; returns whether it is still going on.
    async fn join_founding_list(&mut self) -> Result<bool, member::Error> {
        if self.started.elapsed() >= FOUNDING_END {
            self.founding = false;
            self.reload().await;
            if self.is_listed() {
                self.shared.mark_synced(true).await;
                self.caught_up_at = Some(Instant::now());
                self.begin_voting();
                tracing::info!("the first start is complete; the replica votes");
            }
            return Ok(false);
        }
        let view = self.shared.view().borrow().clone();
        let full = view.list.members.len() >= member::target_members(self.opts.faults);
        let opts = &self.opts;
        let improves_spread =
            member::improves_spread(&view.list, &opts.own.place, opts.faults, opts.places);
        let may_join = improves_spread || self.started.elapsed() >= FOUNDING_SPREAD;
        if !self.is_listed() && !full && may_join && self.started.elapsed() < FOUNDING_JOIN {
            let mut list = view.list;
            list.members
                .insert(self.opts.name.clone(), self.opts.own.clone());
            self.swap_list(view.epoch, list).await?;
        }
        Ok(true)
    }

    /// Announces the current list to the members, until a majority refuse older ones.
    async fn announce(&mut self) -> Result<(), member::Error> {
        let view = self.shared.view().borrow().clone();
        if self.announced.is_some_and(|(epoch, _)| epoch == view.epoch) {
            return Ok(());
        }
        let accepted = self.others().into_iter().map(|(_, addr)| {
            let view = view.clone();
            self.client.announce_members_to(addr, view)
        });
        let accepted = join_all(accepted)
            .await
            .into_iter()
            .filter(|ok| *ok)
            .count();
        let accepted = accepted + usize::from(self.is_listed());
        let members = view.list.members.len();
        let is_recorded = self.recorded == Some(view.epoch);
        if members > 0 && accepted * 2 <= members && !is_recorded {
            return Err(member::Error::Unavailable {
                message: format!(
                    "only {accepted} members refuse lists older than epoch {}",
                    view.epoch
                ),
            });
        }
        self.announced = Some((view.epoch, Instant::now()));
        self.immediate = true;
        Ok(())
    }

    /// Announces a list with fewer members than it should have, and records that in the store. Of so few, the loss of
    /// `f` may leave no majority that could accept the next announcement.
    async fn record_announcement(&mut self) -> Result<(), member::Error> {
        let view = self.shared.view().borrow().clone();
        let is_small = view.list.members.len() < member::target_members(self.opts.faults);
        if !is_small || self.recorded == Some(view.epoch) {
            return Ok(());
        }
        self.announce().await?;
        let list = view.list;
        let epoch = self
            .registry
            .replace(view.epoch, list.clone(), true)
            .await?;
        tracing::info!(epoch, "recorded that a majority refuses older member lists");
        self.recorded = Some(epoch);
        self.shared.update_view(member::View { epoch, list }).await;
        Ok(())
    }

    async fn change_list(&mut self, list: member::List) -> Result<(), member::Error> {
        self.announce().await?;
        let epoch = self.shared.view().borrow().epoch;
        self.swap_list(epoch, list).await
    }

    async fn swap_list(
        &mut self,
        from: member::Epoch,
        list: member::List,
    ) -> Result<(), member::Error> {
        let joins = !self.is_listed() && list.members.contains_key(&self.opts.name);
        let replaced = self.registry.replace(from, list.clone(), false).await;
        // The list was read at this epoch or before, so only this process can have added the
        // replica.
        let is_ours = self.read_epoch.is_some_and(|read| read <= from);
        if matches!(replaced, Err(member::Error::Unavailable { .. })) && joins && is_ours {
            self.unanswered = Some(from);
        }
        let epoch = replaced?;
        // *Failure:* a machine was replaced by an empty one of the same name at another address.
        // After putting that address on the list, the replica took itself for a newly joined one,
        // and voted after copying from fewer members than it takes to hold all that its predecessor
        // had accepted: a spent budget was granted again.
        self.joined |= joins;
        self.shared.update_view(member::View { epoch, list }).await;
        self.immediate = true;
        Ok(())
    }

    /// Leaves the list once enough others have all of this replica's records.
    async fn leave(&mut self, list: member::List) -> Result<(), member::Error> {
        let needed = self.opts.faults + 1;
        let copied = self.shared.copied_by(&list);
        let retiring_for = self
            .retiring_since
            .map_or(Duration::ZERO, |at| at.elapsed());
        let is_replaced = member::may_leave(&list, retiring_for, self.opts.faults);
        if copied < needed || !is_replaced {
            tracing::info!(
                copied,
                needed,
                is_replaced,
                "others have to copy before this replica leaves"
            );
            return Ok(());
        }
        self.change_list(list).await
    }

    async fn reload(&mut self) {
        let loaded = self.registry.load().await;
        self.apply_loaded(loaded).await;
    }

    /// Reads the list again while this replica is a member that does not vote: it may wait for one that has left.
    async fn reread_list(&mut self) {
        if !self.is_listed() || self.shared.is_voting() || self.is_founding() {
            return;
        }
        if let Some(loaded) = self.list_reads.poll(&self.registry) {
            self.apply_loaded(loaded).await;
        }
    }

    async fn apply_loaded(&mut self, loaded: Result<member::Stored, member::Error>) {
        match loaded {
            Ok(member::Stored { view, is_announced }) => {
                self.read_epoch = Some(view.epoch);
                if view.epoch >= self.shared.view().borrow().epoch {
                    self.recorded = is_announced.then_some(view.epoch);
                }
                if let Some(startup) = &mut self.startup {
                    startup.list_read();
                }
                self.shared.update_view(view).await;
            }
            Err(err) => tracing::warn!(%err, "the member list cannot be read"),
        }
        self.resolve_unanswered();
    }

    /// Determines whether an unanswered change of the list has taken effect.
    ///
    /// *Failure:* a replica took a dead one's place and the reply was lost. On the list without, as
    /// far as it could tell, having added itself, it took itself for a member that had lost its
    /// disk, and would not vote before it had read the dead one's list: no reservation passed until
    /// that member was removed. The same when another one had joined before it read the list.
    fn resolve_unanswered(&mut self) {
        let view = self.shared.view().borrow().clone();
        if self.unanswered.take_if(|from| view.epoch > *from).is_none() {
            return;
        }
        // Others may have changed the list since; nobody else adds this replica.
        let took_effect = view.list.members.get(&self.opts.name) == Some(&self.opts.own);
        tracing::info!(
            epoch = view.epoch,
            took_effect,
            "the store had not answered a change of the member list"
        );
        self.joined |= took_effect;
    }
}

/// Pings a member and records its state; returns whether it answered. `standby` is the replica's own name if it is a
/// standby.
async fn ping_member(
    client: &client::Client,
    shared: &server::Shared,
    standby: Option<record::ReplicaId>,
    addr: SocketAddr,
    source: &mut Source,
) -> bool {
    let is_standby = standby.is_some();
    let Some(reply) = client.ping(addr, standby).await else {
        return false;
    };
    if is_standby {
        source.standbys_ahead = reply.standbys_ahead;
    }
    source.last_seen = Instant::now();
    source.retiring = reply.retiring;
    shared.add_retire_requests(reply.retire);
    shared.update_view(reply.view).await;
    true
}

/// Copies the records of a member that this replica lacks.
async fn copy(
    client: &client::Client,
    shared: &server::Shared,
    own_name: &record::ReplicaId,
    addr: SocketAddr,
    source: &mut Source,
) {
    let started = Instant::now();
    // Asked in each pass, as nobody has to tell a member that the list was changed.
    if !ping_member(client, shared, None, addr, source).await {
        return;
    }
    if !shared.is_voting()
        && let Some(update) = client
            .poll_update(addr, shared.known_version(), Duration::ZERO)
            .await
    {
        shared.store_snapshot(update.newer).await;
    }
    if read_to_end(client, shared, own_name, addr, source)
        .await
        .is_some()
    {
        source.read_began_at = Some(started);
        source.last_seen = Instant::now();
    }
}

/// Reads a member's list to its end and copies the missing records.
async fn read_to_end(
    client: &client::Client,
    shared: &server::Shared,
    own_name: &record::ReplicaId,
    addr: SocketAddr,
    source: &mut Source,
) -> Option<()> {
    loop {
        let at = source.cursor.position();
        let page = match source.cursor.reading() {
            cursor::Reading::Full => client.list(addr, own_name.clone(), at).await?,
            cursor::Reading::Recent => client.browse(addr, at, service::Scope::All).await?,
            cursor::Reading::Settled => {
                let scope = service::Scope::ForAllMembers;
                client.browse(addr, at, scope).await?
            }
        };
        source.synced = page.synced;
        source.retiring = page.retiring;
        if page.retiring && source.cursor.read_in_full() {
            continue;
        }
        let leaves_out = !page.quorum_turns.is_empty() && !source.cursor.copies_quorum_turns();
        let mut missing = Missing::of(shared, page.records, &page.quorum_turns);
        if leaves_out {
            missing.quorum_turns.clear();
        }
        store_all(shared, missing.charges).await?;
        fetch_all(client, shared, addr, missing.turns, record::Record::Turn).await?;
        let kept = missing.quorum_turns;
        fetch_all(client, shared, addr, kept, record::Record::QuorumTurn).await?;
        source.cursor.advance(page.next);
        if !page.more {
            return Some(());
        }
    }
}

/// Fetches turns from a member, with the chains that they continue, and stores each as the kind of record
/// that `stored_as` makes of it. A chain may have been left out where the list was read, or have expired here
/// before the turn that continues it was copied.
async fn fetch_all(
    client: &client::Client,
    shared: &server::Shared,
    addr: SocketAddr,
    wanted: Vec<record::TurnId>,
    stored_as: fn(record::Turn) -> record::Record,
) -> Option<()> {
    let mut wanted = VecDeque::from(wanted);
    while !wanted.is_empty() {
        let ids: Vec<_> = wanted.drain(..wanted.len().min(FETCH_BATCH)).collect();
        let turns = client.fetch(addr, ids.clone()).await?;
        // The reply may have had no room for those behind the last one.
        let last = turns.last();
        let last = last.and_then(|last| ids.iter().rposition(|id| *id == last.id));
        let rest = last.map_or(&[][..], |last| &ids[last + 1..]);
        rest.iter()
            .rev()
            .for_each(|id| wanted.push_front(id.clone()));
        metrics::counter!("fw_replica_copied_total").increment(turns.len() as u64);
        let parents: Vec<_> = turns
            .iter()
            .filter_map(|turn| turn.parent.clone())
            .collect();
        store_all(shared, turns.into_iter().map(stored_as).collect()).await?;
        for id in parents {
            if !shared.has(&id) && !wanted.contains(&id) {
                wanted.push_front(id);
            }
        }
    }
    Some(())
}

/// Listed records that are not stored here.
#[derive(Debug, Default)]
struct Missing {
    charges: Vec<record::Record>,
    turns: Vec<record::TurnId>,
    /// Turns that are stored on a write quorum only.
    quorum_turns: Vec<record::TurnId>,
}

impl Missing {
    /// The records of a page that are not stored here; `quorum_turns` are indexes into it.
    fn of(
        shared: &server::Shared,
        listed: Vec<service::ListedRecord>,
        quorum_turns: &[u32],
    ) -> Self {
        let mut missing = Self::default();
        for (index, listed) in (0_u32..).zip(listed) {
            match listed {
                service::ListedRecord::Turn(id) if !shared.has(&id) => {
                    match quorum_turns.binary_search(&index) {
                        Ok(_) => missing.quorum_turns.push(id),
                        Err(_) => missing.turns.push(id),
                    }
                }
                service::ListedRecord::Charge(charge) if shared.is_new(&charge) => {
                    missing.charges.push(record::Record::Charge(charge));
                }
                service::ListedRecord::Turn(_) | service::ListedRecord::Charge(_) => {}
            }
        }
        missing
    }
}

/// Stores `records` concurrently, so that they share disk syncs: one after the other, a few
/// thousand would take a slow disk longer than a replica may take to catch up.
async fn store_all(shared: &server::Shared, records: Vec<record::Record>) -> Option<()> {
    let stores = records.into_iter().map(|record| shared.store(record));
    let stored = join_all(stores).await;
    stored.into_iter().all(|ok| ok).then_some(())
}
