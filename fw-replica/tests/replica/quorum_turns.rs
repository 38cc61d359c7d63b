//! Turns that are stored on `f + 1` of five members only.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{self, BoxFuture};
use fw_plan::lapse;
use fw_replica::service::Replica;
use fw_replica::sync::cursor;
use fw_replica::{client, codec, member, record, serve, server, service, sync};
use googletest::prelude::*;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const FAULTS: usize = 2;
const NEEDED: usize = FAULTS + 1;
/// Data centres of the members: two in that of the client.
const PLACES: [&str; 5] = ["a", "b", "a", "c", "c"];
/// Longer than any step takes, also on a loaded machine.
const LONG: Duration = Duration::from_secs(30);
/// Two passes of copying.
const PASSES: Duration = Duration::from_millis(2_500);

/// Number of replicas that were started.
static NODES: AtomicU16 = AtomicU16::new(1);

/// Registry in memory.
#[derive(Debug, Default)]
struct Registry {
    stored: Mutex<member::Stored>,
    /// Replicas that were reported as retired.
    retired: Mutex<Vec<record::ReplicaId>>,
    /// One that joins right after the next change, which gets no answer, like all changes after it.
    joins_next: Mutex<Option<(record::ReplicaId, member::Member)>>,
    /// Whether changes are refused without an answer.
    is_away: AtomicBool,
}

impl member::Registry for Registry {
    fn load(&self) -> BoxFuture<'_, Result<member::Stored, member::Error>> {
        future::ready(Ok(self.stored.lock().clone())).boxed()
    }

    fn replace(
        &self,
        from: member::Epoch,
        list: member::List,
        is_announced: bool,
    ) -> BoxFuture<'_, Result<member::Epoch, member::Error>> {
        let message = "no answer".to_owned();
        let no_answer = future::ready(Err(member::Error::Unavailable { message })).boxed();
        if self.is_away.load(Ordering::Relaxed) {
            return no_answer;
        }
        let mut stored = self.stored.lock();
        if stored.view.epoch != from {
            return future::ready(Err(member::Error::Conflict)).boxed();
        }
        let epoch = from + 1;
        *stored = member::Stored {
            view: member::View { epoch, list },
            is_announced,
        };
        if let Some((name, joined)) = self.joins_next.lock().take() {
            stored.view.epoch += 1;
            stored.view.list.members.insert(name, joined);
            self.is_away.store(true, Ordering::Relaxed);
            return no_answer;
        }
        future::ready(Ok(epoch)).boxed()
    }

    fn report_retired(
        &self,
        replica: record::ReplicaId,
    ) -> BoxFuture<'_, Result<(), member::Error>> {
        self.retired.lock().push(replica);
        future::ready(Ok(())).boxed()
    }
}

struct Node {
    name: record::ReplicaId,
    member: member::Member,
    dir: tempfile::TempDir,
    task: Option<JoinHandle<()>>,
}

struct Cluster {
    registry: Arc<Registry>,
    nodes: Vec<Node>,
    client: Arc<client::Client>,
}

impl Cluster {
    /// Starts five members that vote, and a client in data centre `a`.
    async fn start() -> Self {
        let mut cluster = Self {
            registry: Arc::default(),
            nodes: Vec::new(),
            client: client::Client::new(FAULTS, Vec::new()),
        };
        for place in PLACES {
            cluster.add_node(place).await;
        }
        let members = cluster.nodes.iter();
        let members = members.map(|node| (node.name.clone(), node.member.clone()));
        let list = member::List {
            members: members.collect(),
        };
        let view = member::View { epoch: 1, list };
        cluster.registry.stored.lock().view = view.clone();
        for index in 0..PLACES.len() {
            let dir = cluster.nodes[index].dir.path();
            let shared = server::Shared::open(dir, server::Options::default()).unwrap();
            assert!(shared.update_view(view.clone()).await);
            assert!(shared.mark_synced(true).await);
            drop(shared);
            cluster.run(index);
        }
        cluster.client = cluster.connect();
        for node in &cluster.nodes {
            cluster.wait_synced(node.member.addr).await;
        }
        cluster
    }

    /// Starts five members, of which `r2` and `r3` are dead and `r4` has lost its disk: it needs three whole disks of
    /// the others, and two are there.
    async fn with_waiting_member() -> Self {
        let mut cluster = Self::start().await;
        for index in [2, 3, 4] {
            drop(cluster.kill(index).await);
        }
        cluster.nodes[4].dir = tempfile::tempdir().unwrap();
        cluster.run(4);
        tokio::time::sleep(PASSES).await;
        cluster
    }

    /// The next member list, without `r2` and `r3`.
    fn view_without_the_dead(&self) -> member::View {
        let mut view = self.registry.stored.lock().view.clone();
        view.epoch += 1;
        view.list.members.remove("r2");
        view.list.members.remove("r3");
        view
    }

    /// Returns a new client in data centre `a`.
    fn connect(&self) -> Arc<client::Client> {
        self.connect_from("a")
    }

    fn connect_from(&self, place: &str) -> Arc<client::Client> {
        let client = client::Client::new(FAULTS, Vec::new());
        client.set_place(place.into());
        client.set_locality(Some(client::Locality {
            confirm_within: Duration::from_millis(300),
        }));
        client.update_view(self.registry.stored.lock().view.clone());
        client
    }

    async fn add_node(&mut self, place: &str) {
        // Connections come from 127.0.0.1, so no other test takes a free port of this address.
        let [high, low] = NODES.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let ip = Ipv4Addr::new(127, 77, high, low);
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let member = member::Member {
            addr: listener.local_addr().unwrap(),
            place: place.into(),
        };
        self.nodes.push(Node {
            name: format!("r{}", self.nodes.len()).into(),
            member,
            dir: tempfile::tempdir().unwrap(),
            task: None,
        });
    }

    fn run(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let opts = serve::Options {
            listen: vec![node.member.addr],
            dir: node.dir.path().to_owned(),
            lapse: lapse::Options::default(),
            sync: sync::Options {
                name: node.name.clone(),
                own: node.member.clone(),
                places: 3,
                faults: FAULTS,
                first_start: false,
            },
        };
        let registry = Arc::clone(&self.registry) as member::SharedRegistry;
        node.task = Some(tokio::spawn(async move {
            let running = serve::run(opts, registry, future::pending());
            running.await.unwrap();
        }));
    }

    /// Kills a replica, and waits until its address is free. Returns a socket there that accepts
    /// connections in its backlog and answers nothing, as that of a suspended replica does.
    async fn kill(&mut self, index: usize) -> std::net::TcpListener {
        let task = self.nodes[index].task.take().unwrap();
        task.abort();
        let _ = task.await;
        let addr = self.nodes[index].member.addr;
        loop {
            match std::net::TcpListener::bind(addr) {
                Ok(listener) => return listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Restarts a replica with an empty disk, and waits until it votes.
    async fn lose_disk(&mut self, index: usize) {
        drop(self.kill(index).await);
        self.nodes[index].dir = tempfile::tempdir().unwrap();
        self.run(index);
    }

    async fn wait_synced(&self, addr: SocketAddr) {
        let start = service::Position::default();
        self.wait(async || {
            let page = self.client.browse(addr, start, service::Scope::All).await;
            page.is_some_and(|page| page.synced)
        })
        .await;
    }

    async fn wait(&self, done: impl AsyncFn() -> bool) {
        let polls = async {
            while !done().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(LONG, polls).await.unwrap();
    }

    /// Number of replicas whose member list `is_new`.
    async fn informed(&self, is_new: impl Fn(&member::View) -> bool) -> usize {
        let running = self.nodes.iter().filter(|node| node.task.is_some());
        let asked = running.map(|node| self.client.ping(node.member.addr, None));
        let replies = future::join_all(asked).await.into_iter().flatten();
        replies.filter(|reply| is_new(&reply.view)).count()
    }

    async fn finish(&self, id: &str) -> bool {
        self.finish_turn(turn(id)).await
    }

    async fn finish_turn(&self, turn: record::Turn) -> bool {
        let id = &turn.id.clone();
        let req = client::Outcome {
            finish: service::Finish {
                turn: Some(turn),
                charge: Some(charge(id)),
                location: None,
            },
            ..client::Outcome::default()
        };
        self.client.finish(req).await
    }

    /// Indexes of the members that have the turn.
    async fn holders(&self, id: &str) -> Vec<usize> {
        let listed = self.registry.stored.lock().view.list.clone();
        let mut holders = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.task.is_none() || !listed.members.contains_key(&node.name) {
                continue;
            }
            let turns = self.client.fetch(node.member.addr, vec![id.into()]).await;
            if turns.is_some_and(|turns| !turns.is_empty()) {
                holders.push(index);
            }
        }
        holders
    }

    /// Number of members that have the settlement of the turn.
    async fn settled(&self, id: &str) -> usize {
        let mut settled = 0;
        for node in &self.nodes {
            let start = service::Position::default();
            let browsed = self
                .client
                .browse(node.member.addr, start, service::Scope::All);
            let records = browsed.await.map(|page| page.records).unwrap_or_default();
            let wanted = service::ListedRecord::Charge(charge(id));
            settled += usize::from(records.contains(&wanted));
        }
        settled
    }
}

fn turn(id: &str) -> record::Turn {
    record::Turn {
        id: id.into(),
        parent: None,
        input: "i".into(),
        output: "o".into(),
        ended: server::unix_ms(),
        retention: Duration::from_secs(60),
    }
}

fn charge(id: &str) -> record::Charge {
    record::Charge {
        program: "p".into(),
        id: id.into(),
        tokens: 1,
        settled: true,
        made: u64::MAX >> 20,
    }
}

// Guards against turns that are sent or copied to more members than have to store them, and against
// settlements that reach only these: a member without one counts the reservation in full.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_on_near_members_first_and_settled_on_all() {
    let mut cluster = Cluster::start().await;
    // The first calls have waited for replicas that were starting, which then count as slow.
    cluster.client = cluster.connect();
    // No member is late, however busy the machine.
    cluster.client.set_locality(Some(client::Locality {
        confirm_within: LONG,
    }));
    expect_true!(cluster.finish("t").await);
    cluster.wait(async || cluster.settled("t").await == 5).await;
    tokio::time::sleep(PASSES).await;
    let holders = cluster.holders("t").await;
    expect_that!(holders.len(), eq(NEEDED));
    expect_that!(holders, contains(eq(&0)));
    expect_that!(holders, contains(eq(&2)));
}

// Guards against the loss of a turn whose holders lose their disks one after the other, at most two
// at a time: each has to copy it again before it votes. What it has copied is not copied on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn outlast_the_loss_of_two_disks_at_a_time() {
    let mut cluster = Cluster::start().await;
    expect_true!(cluster.finish("t").await);
    for lost in [[0, 2], [1, 3], [4, 0]] {
        for index in lost {
            cluster.lose_disk(index).await;
        }
        for index in lost {
            cluster.wait_synced(cluster.nodes[index].member.addr).await;
        }
        expect_that!(cluster.holders("t").await.len(), ge(NEEDED), "{lost:?}");
        if lost == [0, 2] {
            tokio::time::sleep(PASSES).await;
            expect_that!(cluster.holders("t").await.len(), eq(NEEDED));
        }
    }
}

// Guards against a stored turn that counts as unknown where the nearest member lacks it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_found_from_all_data_centres() {
    let cluster = Cluster::start().await;
    expect_true!(cluster.finish("t").await);
    for place in ["a", "b", "c"] {
        let client = cluster.connect_from(place);
        let begin = async |id: &str| {
            let params = client::BeginParams {
                newest: Some(id.into()),
                ..client::BeginParams::default()
            };
            client.begin(params, |_| {}).await
        };
        let found = begin("t").await.unwrap();
        expect_that!(found.len(), eq(1), "{place}");
        let unknown = begin("x").await;
        expect_that!(
            unknown,
            err(eq(&client::Error::UnknownTurn { turn: "x".into() }))
        );
    }
}

// Guards against a copy too few of a turn that counts a member's lost disk and is written elsewhere only
// after that member has read the lists of the others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_copied_for_a_while_by_a_member_that_has_caught_up() {
    let mut cluster = Cluster::start().await;
    let addr = cluster.nodes[3].member.addr;
    cluster.lose_disk(3).await;
    cluster.wait_synced(addr).await;
    // Its latency is known to this client, so that it is asked last.
    cluster.client = cluster.connect();
    cluster.wait_synced(addr).await;
    expect_true!(cluster.finish("t").await);
    expect_that!(cluster.holders("t").await, not(contains(eq(&3))));
    tokio::time::sleep(PASSES).await;
    expect_that!(cluster.holders("t").await, contains(eq(&3)));
}

// Guards against a member with an empty disk that waits for one that has left the list, as it votes only by the list that
// it read when it started.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_list_reaches_a_member_that_does_not_vote() {
    let cluster = Cluster::with_waiting_member().await;
    // The store does not have it, from which the member would read it.
    let view = cluster.view_without_the_dead();
    let first = cluster.nodes[0].member.addr;
    expect_true!(cluster.client.announce_members_to(first, view).await);
    cluster.wait_synced(cluster.nodes[4].member.addr).await;
}

// Guards against a member that waits for the records of one that has left, where only the platform's store has the list.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_list_in_the_store_reaches_a_member_that_does_not_vote() {
    let cluster = Cluster::with_waiting_member().await;
    let view = cluster.view_without_the_dead();
    cluster.registry.stored.lock().view = view;
    cluster.wait_synced(cluster.nodes[4].member.addr).await;
}

// Guards against members that vote by a list that was replaced, as neither an entry nor a change of theirs tells them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_list_reaches_members_that_vote() {
    let cluster = Cluster::start().await;
    let view = {
        let mut stored = cluster.registry.stored.lock();
        stored.view.epoch += 1;
        stored.view.clone()
    };
    let first = cluster.nodes[0].member.addr;
    expect_true!(cluster.client.announce_members_to(first, view).await);
    cluster
        .wait(async || cluster.informed(|view| view.epoch == 2).await == PLACES.len())
        .await;
}

// Guards against a retired member whose machine is removed while it alone knows the list without it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_majority_knows_the_list_of_a_member_that_has_retired() {
    let mut cluster = Cluster::start().await;
    // Its successor: of a list with fewer members a majority is told by other code.
    cluster.add_node("b").await;
    cluster.run(PLACES.len());
    cluster.client.announce_retire("r0".into());
    cluster
        .wait(async || !cluster.registry.retired.lock().is_empty())
        .await;
    drop(cluster.kill(0).await);
    let informed = cluster.informed(|view| !view.list.members.contains_key("r0"));
    expect_that!(informed.await, ge(3));
}

// Guards against a member that waits for a dead one, as if it had lost its disk, since another one joined before it knew
// that it had joined itself.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_member_knows_that_it_has_joined_after_another_change() {
    let mut cluster = Cluster::start().await;
    let _silent = cluster.kill(4).await;
    cluster.add_node("b").await;
    cluster.add_node("c").await;
    let next = &cluster.nodes[6];
    let next = (next.name.clone(), next.member.clone());
    *cluster.registry.joins_next.lock() = Some(next);
    cluster.run(5);
    cluster.wait_synced(cluster.nodes[5].member.addr).await;
}

// Guards against a retired member that takes one of the `f + 1` copies with it: the others have to
// store its turns before it leaves, also those that they had left out.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_copied_from_a_member_that_retires() {
    let cluster = Cluster::start().await;
    expect_true!(cluster.finish("t").await);
    tokio::time::sleep(PASSES).await;
    cluster.client.announce_retire("r0".into());
    cluster
        .wait(async || cluster.registry.stored.lock().view.list.members.len() == 4)
        .await;
    expect_that!(cluster.holders("t").await.len(), ge(NEEDED));
}

// Guards against a turn with a copy too few once a dead member is replaced: its successor has to
// copy what it had.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_copied_by_the_successor_of_a_dead_member() {
    let mut cluster = Cluster::start().await;
    expect_true!(cluster.finish("t").await);
    drop(cluster.kill(0).await);
    cluster.add_node("a").await;
    cluster.run(5);
    cluster
        .wait(async || {
            let list = cluster.registry.stored.lock().view.list.clone();
            list.members.len() == 5 && list.members.contains_key("r5")
        })
        .await;
    cluster.wait_synced(cluster.nodes[5].member.addr).await;
    expect_that!(cluster.holders("t").await, contains(eq(&5)));
    expect_that!(cluster.holders("t").await.len(), ge(NEEDED));
}

// Guards against an answer that waits for a member that is down: the others get the turn at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn go_to_the_other_members_if_one_is_down() {
    let mut cluster = Cluster::start().await;
    drop(cluster.kill(0).await);
    drop(cluster.kill(2).await);
    expect_true!(cluster.finish("t").await);
    expect_that!(cluster.holders("t").await, eq(&vec![1, 3, 4]));
}

// Guards against an answer that waits for the time-out of a call to a suspended member, and against
// a turn that counts as stored with a copy too few.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn go_to_the_other_members_if_one_is_late() {
    let mut cluster = Cluster::start().await;
    let _suspended = cluster.kill(0).await;
    cluster.client = cluster.connect();
    let begun = Instant::now();
    expect_true!(cluster.finish("t").await);
    expect_that!(begun.elapsed(), lt(fw_replica::links::CALL_TIMEOUT));
    expect_that!(cluster.holders("t").await.len(), ge(NEEDED));
}

async fn stored_by(shared: &Arc<server::Shared>, epoch: member::Epoch, id: &str) -> bool {
    let req = service::Finish {
        turn: Some(turn(id)),
        charge: None,
        location: None,
    };
    let server = server::Server(Arc::clone(shared));
    server
        .finish_quorum(tarpc::context::current(), epoch, req)
        .await
}

// Guards against a chain with a copy too few: the turn that continues it is stored on other members, or when
// the retention of the chain is over everywhere.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_stored_with_the_chain_that_they_continue() {
    let mut cluster = Cluster::start().await;
    let aged = |id, age| record::Turn {
        ended: server::unix_ms() - age,
        ..turn(id)
    };
    // It expires before a turn that ends now does, and the other one has expired.
    let (first, expired) = (aged("first", 50_000), aged("expired", 200_000));
    expect_true!(cluster.finish_turn(first.clone()).await);
    cluster.client = cluster.connect_from("c");
    for (id, parent) in [("next", first), ("late", expired)] {
        let req = client::Outcome {
            finish: service::Finish {
                turn: Some(record::Turn {
                    parent: Some(parent.id.clone()),
                    ..turn(id)
                }),
                ..service::Finish::default()
            },
            chain: [parent.clone()].into(),
        };
        expect_true!(cluster.client.finish(req).await);
        let holders = cluster.holders(id).await;
        expect_that!(holders.len(), ge(NEEDED));
        let parents = cluster.holders(&parent.id).await;
        for holder in holders {
            expect_that!(parents, contains(eq(&holder)), "{id}");
        }
    }
}

// Guards against chains that cross data centres with each turn, though they last as long as it does.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_stored_without_a_chain_that_lasts() {
    let mut cluster = Cluster::start().await;
    expect_true!(cluster.finish("first").await);
    tokio::time::sleep(PASSES).await;
    let holders = cluster.holders("first").await;
    cluster.client = cluster.connect_from("c");
    let first = turn("first");
    let next = record::Turn {
        parent: Some(first.id.clone()),
        ..turn("next")
    };
    let req = client::Outcome {
        finish: service::Finish {
            turn: Some(next),
            ..service::Finish::default()
        },
        chain: [first].into(),
    };
    expect_true!(cluster.client.finish(req).await);
    expect_that!(cluster.holders("next").await, not(eq(&holders)));
    expect_that!(cluster.holders("first").await, eq(&holders));
}

// Guards against a replica with an empty disk that never votes, and a chain that is never read, as a reply with
// all of the turns is too long for a message.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_read_whatever_their_size() {
    let mut cluster = Cluster::start().await;
    let mut parent = None;
    for number in 0..9 {
        let next = record::Turn {
            parent,
            input: vec![b'i'; codec::MAX_FRAME / 4].into(),
            ..turn(&number.to_string())
        };
        parent = Some(next.id.clone());
        let finish = service::Finish {
            turn: Some(next),
            ..service::Finish::default()
        };
        let req = client::Outcome {
            finish,
            ..client::Outcome::default()
        };
        assert!(cluster.client.finish(req).await);
    }
    let params = client::BeginParams {
        newest: parent,
        ..client::BeginParams::default()
    };
    let chain = cluster.client.begin(params, |_| {}).await;
    expect_that!(chain.unwrap().len(), eq(9));
    cluster.lose_disk(0).await;
    cluster.wait_synced(cluster.nodes[0].member.addr).await;
    expect_that!(cluster.holders("0").await, contains(eq(&0)));
}

// Guards against a copied turn without the chain that it continues, which members leave out otherwise.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn are_copied_with_a_turn_that_continues_them() {
    let mut cluster = Cluster::start().await;
    drop(cluster.kill(0).await);
    let dir = cluster.nodes[0].dir.path();
    let shared = server::Shared::open(dir, server::Options::default()).unwrap();
    let next = record::Turn {
        parent: Some("second".into()),
        ..turn("next")
    };
    let second = record::Turn {
        parent: Some("first".into()),
        ..turn("second")
    };
    for record in [
        record::Record::QuorumTurn(turn("first")),
        record::Record::QuorumTurn(second),
        record::Record::Turn(next),
    ] {
        assert!(shared.store(record).await);
    }
    drop(shared);
    cluster.run(0);
    for id in ["next", "second", "first"] {
        cluster
            .wait(async || cluster.holders(id).await.len() == PLACES.len())
            .await;
    }
}

// Guards against a copy that counts though it may not last: a member that is still copying is not
// read, and one of a newer list knows that the sender's `f + 1` may include a removed member.
#[gtest]
#[tokio::test]
async fn are_refused_by_a_member_that_may_not_count() {
    let dir = tempfile::tempdir().unwrap();
    let shared = server::Shared::open(dir.path(), server::Options::default()).unwrap();
    let list = member::List::default();
    shared.update_view(member::View { epoch: 2, list }).await;
    expect_false!(stored_by(&shared, 2, "unsynced").await);
    shared.set_voting(true);
    expect_false!(stored_by(&shared, 1, "outdated").await);
    expect_true!(stored_by(&shared, 2, "t").await);
    shared.set_retiring(true);
    expect_false!(stored_by(&shared, 2, "retiring").await);
}

// Guards against turns that a power loss takes, or turns into ones that all members copy: those of
// the last minutes would cross data centres at once.
#[gtest]
#[tokio::test]
async fn survive_a_power_loss_as_what_they_are() {
    let dir = tempfile::tempdir().unwrap();
    let shared = server::Shared::open(dir.path(), server::Options::default()).unwrap();
    shared.set_voting(true);
    expect_true!(stored_by(&shared, 0, "t").await);
    drop(shared);
    let shared = server::Shared::open(dir.path(), server::Options::default()).unwrap();
    let server = server::Server(shared);
    let cx = tarpc::context::current;
    let turns = server.clone().fetch(cx(), vec!["t".into()]).await;
    expect_that!(turns.len(), eq(1));
    let start = service::Position::default();
    let all = server
        .clone()
        .browse(cx(), start, service::Scope::All)
        .await;
    expect_that!(all.quorum_turns, eq(&vec![0]));
    let rest = server.browse(cx(), start, service::Scope::ForAllMembers);
    expect_that!(rest.await.records, is_empty());
}

// Guards against a turn with a copy too few: an entry and two members did not know yet that the third
// had been removed from the list. Members copy what was stored shortly before they learn of a change.
#[gtest]
fn are_copied_if_stored_about_a_change_of_the_member_list() {
    let begun = Instant::now();
    let at = |read| service::Position { run: 1, read };
    let mut cursor = cursor::Cursor::default();
    for second in 0..10 {
        cursor.begin_pass(false, 1, begun + Duration::from_secs(second));
        expect_false!(cursor.copies_quorum_turns());
        expect_that!(cursor.reading(), eq(cursor::Reading::Settled));
        cursor.advance(at(second + 1));
    }
    cursor.begin_pass(false, 2, begun + Duration::from_secs(10));
    expect_that!(cursor.reading(), eq(cursor::Reading::Recent));
    expect_that!(cursor.position(), eq(at(6)));
    cursor.begin_pass(false, 2, begun + Duration::from_secs(14));
    expect_that!(cursor.reading(), eq(cursor::Reading::Settled));
}
