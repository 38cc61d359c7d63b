//! Measures the store calls that journaling programs takes, and how long a keeper's crash or an
//! outage of the store interrupts them.
//!
//! ```text
//! cargo run --release -p fw-keep --example recovery [calls|death|outage]...
//! ```
//!
//! Entries and the stand-in store run in this process and talk over loopback TCP.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::chat;
use fw_base::chat::Message;
use fw_base::digest::Digest;
use fw_fake::store::Counts;
use fw_fake::store::Outage;
use fw_fake::store::Store;
use fw_keep::journal::keys;
use fw_keep::keeper;
use fw_keep::keeper::Keeper;
use fw_keep::keeper::Owner;
use fw_keep::program;
use fw_store::kv;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

const ROOT: &str = "/m/";
const ENTRIES: usize = 4;
const SHARDS: u16 = 64;
const TURNS: u32 = 8;
const COMMIT_WINDOW: Duration = Duration::from_millis(50);
/// Delay of each store call.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Minimum and maximum time that an engine takes for a turn.
const ENGINE_TIME: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(200));
/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Turns per second, all entries together.
const TURN_RATES: [u32; 4] = [25, 100, 400, 1_600];

type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Fleet {
    store: Store,
    keepers: Vec<Keeper>,
}

/// Turns finished under one load, and the time that each waited until it was durable.
struct LoadResult {
    turns: u32,
    wait: Histogram<u64>,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |part: &str| selected.is_empty() || selected.iter().any(|arg| arg == part);
    if is_selected("calls") {
        measure_calls().await?;
    }
    if is_selected("death") {
        for ttl in [1, 3] {
            measure_death(Duration::from_secs(ttl)).await?;
        }
    }
    if is_selected("outage") {
        measure_outage(Duration::from_secs(10)).await?;
    }
    Ok(())
}

impl Fleet {
    async fn start(ttl: Duration) -> Result<Self, Failure> {
        let store = Store::start(fw_fake::store::Options {
            ports: ENTRIES,
            ..Default::default()
        })
        .await?;
        store.faults_everywhere(|faults| faults.delay = STORE_DELAY);
        let open = |port: usize| {
            let opts = keeper::Options {
                entry: format!("e{port}").into(),
                address: format!("e{port}:1").into(),
                root: ROOT.into(),
                shards: SHARDS,
                ttl,
                window: COMMIT_WINDOW,
                ..keeper::Options::default()
            };
            Keeper::open(client(&store, port), opts)
        };
        let keepers: Vec<Keeper> = (0..ENTRIES).map(open).collect();
        let fleet = Self { store, keepers };
        fleet.wait_balanced(ENTRIES).await;
        Ok(fleet)
    }

    /// Waits until `entries` of the keepers share all shards evenly.
    async fn wait_balanced(&self, entries: usize) {
        let share = usize::from(SHARDS) / entries;
        loop {
            let kept = self.keepers.iter().map(|keeper| keeper.shards().len());
            if kept.filter(|count| *count >= share).count() == entries {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn keeper_of(&self, program: &str) -> Option<&Keeper> {
        let shard = self.keepers[0].shard_of(program);
        let is_keeper = |keeper: &&Keeper| keeper.owner(shard) == Owner::Local;
        self.keepers.iter().find(is_keeper)
    }
}

fn client(store: &Store, port: usize) -> fw_store::Client {
    fw_store::Client::new(fw_store::Options {
        endpoints: vec![store.endpoint(port)],
        timeout: Duration::from_millis(500),
        ..Default::default()
    })
}

/// Runs a turn in memory; `None` if this keeper does not hold the program's shard, or refuses the
/// turn.
fn run_turn(keeper: &Keeper, name: &str, number: u32) -> Option<keeper::Ticket> {
    let begin = program::Begin {
        team: "team".into(),
        turn: Some(number),
        history: program::History::Delta,
        messages: vec![Message::text("user", &"words ".repeat(40))],
        attempt: u64::from(number),
        ..program::Begin::default()
    };
    let answer = program::Answer {
        message: Message::text("assistant", &"answer ".repeat(60)),
        finish_reason: "stop".to_owned(),
        usage: chat::Usage::default(),
    };
    let changed = keeper.with_program(name, |shard| {
        let begun = shard.begin(&name.into(), begin, keeper::now());
        if !matches!(begun, program::Outcome::Run(_)) {
            return None;
        }
        shard.finish(&name.into(), u64::from(number), answer, keeper::now())
    });
    let changed = changed.ok()?;
    changed.value.map(|_| changed.ticket)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(wait: &Histogram<u64>, quantile: f64) -> f64 {
    wait.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Starts programs of [`TURNS`] turns at a rate that gives `rate` turns per second. A program's
/// turn starts when its previous one is durable.
async fn run_load(fleet: &Arc<Fleet>, rate: u32, is_grouped: bool) -> Result<LoadResult, Failure> {
    let programs = rate * LOAD_DURATION.as_secs() as u32 / TURNS;
    let gap = LOAD_DURATION / programs.max(1);
    let mut running = JoinSet::new();
    for number in 0..programs {
        let name = format!("r{rate}-{is_grouped}-{number}");
        let fleet = Arc::clone(fleet);
        running.spawn(async move {
            if is_grouped {
                grouped_program(&fleet, &name).await
            } else {
                single_program(&fleet, &name).await
            }
        });
        tokio::time::sleep(gap).await;
    }
    let mut load = LoadResult {
        turns: 0,
        wait: histogram(),
    };
    while let Some(Ok(waits)) = running.join_next().await {
        for wait in waits {
            load.turns += 1;
            load.wait.record(micros(wait))?;
        }
    }
    Ok(load)
}

/// Sleeps for the engine's time of one turn, which is the same in each run.
async fn run_engine(name: &str, number: u32) {
    let digest = Digest::of_bytes(format!("{name}/{number}").as_bytes());
    let share = f64::from(digest.as_bytes()[0]) / f64::from(u8::MAX);
    tokio::time::sleep(ENGINE_TIME.0 + (ENGINE_TIME.1 - ENGINE_TIME.0).mul_f64(share)).await;
}

async fn grouped_program(fleet: &Fleet, name: &str) -> Vec<Duration> {
    let mut waits = Vec::new();
    for number in 1..=TURNS {
        run_engine(name, number).await;
        let Some(keeper) = fleet.keeper_of(name) else {
            break;
        };
        let begun = Instant::now();
        let Some(ticket) = run_turn(keeper, name, number) else {
            break;
        };
        if keeper.wait_durable(ticket).await.is_ok() {
            waits.push(begun.elapsed());
        }
    }
    waits
}

/// The baseline: one transaction per turn, under the same conditions.
async fn single_program(fleet: &Fleet, name: &str) -> Vec<Duration> {
    let shard = fleet.keepers[0].shard_of(name);
    let port = usize::from(shard) % ENTRIES;
    let store = client(&fleet.store, port);
    let owner = keys::owner(ROOT, shard);
    let fence = fleet.store.get(&owner).map_or(0, |kv| kv.create_revision);
    let mut waits = Vec::new();
    for number in 1..=TURNS {
        run_engine(name, number).await;
        let begun = Instant::now();
        let value = Digest::of_bytes(name.as_bytes()).to_string().repeat(45);
        let txn = kv::Txn {
            compares: vec![kv::Compare::CreateRevision(owner.clone(), fence)],
            then: vec![kv::Op::put(format!("/single/{name}/{number}"), value)],
            ..kv::Txn::default()
        };
        if store.txn(&txn).await.is_ok_and(|done| done.succeeded) {
            waits.push(begun.elapsed());
        }
    }
    waits
}

fn calls_of(counts: Counts) -> u64 {
    counts.reads + counts.writes + counts.leases + counts.watches
}

async fn measure_calls() -> Result<(), Failure> {
    println!(
        "Store calls: {ENTRIES} entries, {SHARDS} shards, window {COMMIT_WINDOW:?}, store {STORE_DELAY:?} a call, programs of {TURNS} turns"
    );
    println!(
        "| turns/s | commit | turns | store calls | writes | calls a turn | calls a program | wait p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let fleet = Arc::new(Fleet::start(Duration::from_secs(3)).await?);
    for rate in TURN_RATES {
        for is_grouped in [true, false] {
            let before = fleet.store.counts();
            let load = run_load(&fleet, rate, is_grouped).await?;
            let after = fleet.store.counts();
            let calls = calls_of(after) - calls_of(before);
            let per_turn = calls as f64 / f64::from(load.turns.max(1));
            println!(
                "| {rate} | {} | {} | {calls} | {} | {per_turn:.3} | {:.2} | {:.1} | {:.1} |",
                if is_grouped { "group" } else { "one a turn" },
                load.turns,
                after.writes - before.writes,
                per_turn * f64::from(TURNS),
                millis(&load.wait, 0.5),
                millis(&load.wait, 0.99),
            );
        }
    }
    Ok(())
}

/// Starts programs and commits one turn of each; returns the names of those whose turn is durable.
async fn start_programs(fleet: &Fleet, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for number in 0..count {
        let name = format!("d{number}");
        let Some(keeper) = fleet.keeper_of(&name) else {
            continue;
        };
        let Some(ticket) = run_turn(keeper, &name, 1) else {
            continue;
        };
        if keeper.wait_durable(ticket).await.is_ok() {
            names.push(name);
        }
    }
    names
}

/// Times from `since` until the second turn of each program runs at its new keeper.
async fn next_turns(
    fleet: &Arc<Fleet>,
    names: Vec<String>,
    since: Instant,
) -> Result<Histogram<u64>, Failure> {
    let mut running = JoinSet::new();
    for name in names {
        let fleet = Arc::clone(fleet);
        running.spawn(async move {
            loop {
                let ticket = fleet.keepers[1..]
                    .iter()
                    .find_map(|k| run_turn(k, &name, 2));
                if ticket.is_some() {
                    return since.elapsed();
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
    }
    let mut times = histogram();
    while let Some(Ok(time)) = running.join_next().await {
        times.record(micros(time))?;
    }
    Ok(times)
}

/// Rounds of a measured crash, each with a new fleet.
const ROUNDS: usize = 4;

async fn measure_death(ttl: Duration) -> Result<(), Failure> {
    for is_graceful in [false, true] {
        let mut all = histogram();
        for _ in 0..ROUNDS {
            let fleet = Arc::new(Fleet::start(ttl).await?);
            let names = start_programs(&fleet, 128).await;
            let victim = &fleet.keepers[0];
            let is_affected = |name: &String| victim.owner(victim.shard_of(name)) == Owner::Local;
            let affected: Vec<String> = names.into_iter().filter(is_affected).collect();
            let since = Instant::now();
            if is_graceful {
                let victim = victim.clone();
                tokio::spawn(async move { victim.close().await });
            } else {
                victim.abort();
                fleet
                    .store
                    .faults(0, |faults| faults.outage = Some(Outage::Hang));
            }
            all.add(next_turns(&fleet, affected, since).await?)?;
        }
        let ratio = |quantile| millis(&all, quantile) / 1_000.0 / ttl.as_secs_f64();
        println!(
            "{}, lease {ttl:?}: {} programs, next turn after p50 {:.0} ms ({:.2} leases), p99 {:.0} ms ({:.2} leases)",
            if is_graceful {
                "graceful stop"
            } else {
                "death"
            },
            all.len(),
            millis(&all, 0.5),
            ratio(0.5),
            millis(&all, 0.99),
            ratio(0.99),
        );
    }
    Ok(())
}

/// Runs turns in memory during an outage of the store, and measures the time until all are stored
/// after it.
async fn measure_outage(span: Duration) -> Result<(), Failure> {
    let fleet = Arc::new(Fleet::start(Duration::from_secs(3)).await?);
    let names = start_programs(&fleet, 256).await;
    fleet.store.set_outage(Some(Outage::Hang));
    let gap = span / 10;
    let mut ran = 0;
    for number in 2..12 {
        for name in &names {
            let keeper = fleet.keeper_of(name);
            ran += usize::from(keeper.is_some_and(|k| run_turn(k, name, number).is_some()));
        }
        tokio::time::sleep(gap).await;
    }
    let before = fleet.store.counts();
    fleet.store.set_outage(None);
    let since = Instant::now();
    let mut stored = 0;
    for name in &names {
        while let Some(keeper) = fleet.keeper_of(name) {
            let Ok(changed) = keeper.with_program(name, |_| ()) else {
                break;
            };
            if keeper.wait_durable(changed.ticket).await.is_ok() {
                stored += 1;
                break;
            }
        }
    }
    let calls = calls_of(fleet.store.counts()) - calls_of(before);
    println!(
        "outage of {span:?}: {ran} turns of {} programs ran in it; {stored} programs stored {:.0} ms after it, with {calls} store calls",
        names.len(),
        since.elapsed().as_secs_f64() * 1_000.0,
    );
    Ok(())
}
