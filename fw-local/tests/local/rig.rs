//! Shared helpers of the tests.

use std::net::SocketAddr;
use std::ops::Deref;
use std::ops::DerefMut;
use std::time::Duration;

use fw_base::error;
use fw_fake::engine;
use fw_keep::shard;
use fw_local::caller;
use fw_local::system;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Most systems that run concurrently. Leases and heartbeats depend on real time: with many systems
/// on one machine they would lapse, and tests would fail for lack of processor time.
const MAX_SYSTEMS: usize = 3;

static SLOTS: Semaphore = Semaphore::const_new(MAX_SYSTEMS);

/// A test's system, with its permit to run.
pub struct Rig {
    system: system::System,
    _slot: SemaphorePermit<'static>,
}

impl Deref for Rig {
    type Target = system::System;

    fn deref(&self) -> &Self::Target {
        &self.system
    }
}

impl DerefMut for Rig {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.system
    }
}

/// Starts a system with default options.
pub async fn system() -> Rig {
    start(system::Options::default()).await
}

/// Prints the system's log lines as selected by `RUST_LOG`. The system's tasks run on threads of
/// their own, whose output the test runner does not capture: run one test at a time.
fn log() {
    let off = tracing_subscriber::filter::LevelFilter::OFF.into();
    let filter = tracing_subscriber::EnvFilter::builder().with_default_directive(off);
    let filter = filter.from_env_lossy();
    let lines = tracing_subscriber::fmt().with_env_filter(filter);
    // Fails if another test of this process has set the subscriber already.
    let _already_set = lines.try_init();
}

/// Starts a system with the given options.
pub async fn start(opts: system::Options) -> Rig {
    log();
    let slot = SLOTS.acquire().await.expect("the semaphore stays open");
    let system = system::System::start(opts).await;
    Rig {
        system: system.expect("a system on loopback"),
        _slot: slot,
    }
}

/// A user's message.
pub fn user(text: &str) -> Value {
    json!({ "role": "user", "content": text })
}

/// A streamed request with one message.
pub fn request(text: &str) -> caller::Chat {
    caller::Chat {
        messages: vec![user(text)],
        stream: true,
        max_tokens: Some(12),
        ..caller::Chat::default()
    }
}

/// Sends a request to `addr`.
pub async fn chat(addr: SocketAddr, chat: &caller::Chat) -> caller::Answer {
    caller::Caller::new().chat(addr, chat).await
}

/// Name of a program whose shard is kept by the first of two entries.
pub fn kept_by_first(system: &system::System, prefix: &str) -> String {
    let other = system.entries[1].as_ref().expect("the second entry runs");
    let keeper = &other.entry().keeper;
    let mut names = (0..).map(|n| format!("{prefix}-{n}"));
    let found = names.find(|name| keeper.fence(keeper.shard_of(name)).is_none());
    found.expect("the first entry keeps half of the shards")
}

/// A turn that sends only its new message.
pub fn delta(program: &str, turn: u32) -> caller::Chat {
    caller::Chat {
        headers: vec![
            ("x-program", program.to_owned()),
            ("x-turn", turn.to_string()),
            ("x-history", "delta".to_owned()),
        ],
        ..request(&format!("offer {turn}"))
    }
}

/// Waits until an engine runs a request and returns its index.
pub async fn busy_engine(system: &system::System) -> usize {
    for _ in 0..500 {
        let busy = system
            .engines
            .iter()
            .position(|w| w.upstream.in_flight() > 0);
        if let Some(engine) = busy {
            return engine;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no engine got the request");
}

/// Waits until an entry has committed a turn of a program in memory.
pub async fn wait_committed(system: &system::System, entry: usize, program: &str) {
    let running = system.entries[entry].as_ref().expect("the entry runs");
    let name = program.into();
    let turn = |shard: &mut shard::Shard| shard.program(&name).map_or(0, |program| program.turn());
    for _ in 0..1_000 {
        let turn_count = running.entry().keeper.with_program(program, turn);
        if turn_count.is_ok_and(|count| count.value > 0) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no turn was committed");
}

/// Waits until an entry keeps the shard of a program.
pub async fn wait_kept_by(system: &system::System, entry: usize, program: &str) {
    let running = system.entries[entry].as_ref().expect("the entry runs");
    let keeper = &running.entry().keeper;
    for _ in 0..1_000 {
        if keeper.fence(keeper.shard_of(program)).is_some() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the entry does not keep the program");
}

/// Sends a turn repeatedly until its program has a keeper again after a lease lapsed.
pub async fn send_until_kept(addr: SocketAddr, turn: &caller::Chat) -> caller::Answer {
    let mut answer = chat(addr, turn).await;
    for _ in 0..10 {
        if answer.kind != Some(error::Kind::KeeperUnavailable) {
            break;
        }
        answer = chat(addr, turn).await;
    }
    answer
}

/// Index of the engine that holds the KV cache of a program.
pub fn engine_of(system: &system::System, program: &str) -> usize {
    let holds = |worker: &system::Worker<engine::Engine>| {
        let held = worker.upstream.cached();
        held.keys().any(|held| held == program)
    };
    let found = system.engines.iter().position(holds);
    found.expect("an engine ran the program's turn")
}
