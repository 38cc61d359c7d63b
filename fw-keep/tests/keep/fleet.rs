//! A fake store with keepers on it.

use std::time::Duration;

use fw_base::chat;
use fw_base::chat::Message;
use fw_base::digest::Digest;
use fw_fake::store;
use fw_keep::claim;
use fw_keep::journal::keys;
use fw_keep::keeper;
use fw_keep::keeper::Keeper;
use fw_keep::keeper::Owner;
use fw_keep::keeper::Ticket;
use fw_keep::program;

/// Prefix of all keys.
pub const ROOT: &str = "/t/";

/// Number of shards.
pub const SHARDS: u16 = 16;

/// Poll interval and maximum number of polls; together far longer than any lease here.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: usize = 6_000;

/// A fake store with one port for each keeper.
pub struct Fleet {
    pub store: store::Store,
}

impl Fleet {
    pub async fn start(ports: usize) -> Self {
        init_logging();
        let opts = store::Options {
            ports,
            ..store::Options::default()
        };
        Self {
            store: store::Store::start(opts).await.unwrap(),
        }
    }

    pub fn options(name: &str) -> keeper::Options {
        keeper::Options {
            entry: name.into(),
            address: format!("{name}:1").into(),
            root: ROOT.into(),
            shards: SHARDS,
            ttl: Duration::from_secs(1),
            window: Duration::from_millis(2),
            durable_wait: Duration::from_millis(500),
            debounce: Duration::from_millis(10),
            ..keeper::Options::default()
        }
    }

    pub fn client(&self, port: usize) -> fw_store::Client {
        fw_store::Client::new(fw_store::Options {
            endpoints: vec![self.store.endpoint(port)],
            timeout: Duration::from_millis(200),
            ..fw_store::Options::default()
        })
    }

    /// Opens a keeper that connects to the store through `port`.
    pub fn keeper(&self, name: &str, port: usize) -> Keeper {
        Keeper::open(self.client(port), Self::options(name))
    }

    /// Ends the lease of `name`, as if it had lapsed.
    pub fn lapse(&self, name: &str) {
        let entry = self.store.get(&keys::entry(ROOT, name)).unwrap();
        self.store.expire_lease(entry.lease);
    }
}

/// Prints the keepers' log lines that `RUST_LOG` selects. The keepers' tasks run on threads whose output
/// the test runner does not capture, so run one test at a time.
fn init_logging() {
    let off = tracing_subscriber::filter::LevelFilter::OFF.into();
    let filter = tracing_subscriber::EnvFilter::builder().with_default_directive(off);
    let filter = filter.from_env_lossy();
    let lines = tracing_subscriber::fmt().with_env_filter(filter);
    // Another test of this process has set it already.
    let _already_set = lines.try_init();
}

/// Polls until `condition` holds, and fails with `description` on time-out.
pub async fn until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {description}");
}

pub async fn until_kept(keeper: &Keeper, count: usize) {
    until("the shards are kept", || keeper.shards().len() == count).await;
}

pub async fn until_local(keeper: &Keeper, program: &str) {
    let shard = keeper.shard_of(program);
    until("the shard is kept", || keeper.owner(shard) == Owner::Local).await;
}

pub fn answer(text: &str) -> program::Answer {
    program::Answer {
        message: Message::text("assistant", text),
        finish_reason: "stop".to_owned(),
        usage: chat::Usage {
            prompt: 10,
            cached: 0,
            completion: 5,
        },
    }
}

pub fn delta(turn: u32, text: &str, attempt: u64) -> program::Begin {
    program::Begin {
        team: "team".into(),
        turn: Some(turn),
        history: program::History::Delta,
        messages: vec![Message::text("user", text)],
        attempt,
        ..program::Begin::default()
    }
}

/// Begins a turn.
pub fn begin(keeper: &Keeper, program: &str, begin: program::Begin) -> program::Outcome {
    let begun = keeper.with_program(program, |shard| {
        shard.begin(&program.into(), begin, keeper::now())
    });
    begun.unwrap().value
}

/// Runs a turn to its answer, and returns the ticket to wait for.
pub fn turn(keeper: &Keeper, program: &str, number: u32) -> Ticket {
    let attempt = attempt_id(program, number);
    let begun = begin(
        keeper,
        program,
        delta(number, &format!("ask {number}"), attempt),
    );
    assert!(matches!(begun, program::Outcome::Run(_)), "{begun:?}");
    finish(keeper, program, number, attempt)
}

pub fn finish(keeper: &Keeper, program: &str, number: u32, attempt: u64) -> Ticket {
    let text = format!("answer {number}");
    let finished = keeper.with_program(program, |shard| {
        shard.finish(&program.into(), attempt, answer(&text), keeper::now())
    });
    let finished = finished.unwrap();
    assert!(finished.value.is_some());
    finished.ticket
}

/// Number of a program's committed turns, and its digest.
pub fn committed(keeper: &Keeper, program: &str) -> Option<(u32, Digest)> {
    let found = keeper.with_program(program, |shard| {
        let found = shard.program(&program.into())?;
        Some((found.turn(), found.digest()))
    });
    found.ok()?.value
}

pub fn key(name: &str) -> claim::Key {
    claim::Key {
        team: "team".into(),
        key: name.into(),
    }
}

pub fn fingerprint(body: &str) -> Digest {
    Digest::of_bytes(body.as_bytes())
}

fn attempt_id(program: &str, number: u32) -> u64 {
    let text = format!("{program}/{number}");
    let bytes = Digest::of_bytes(text.as_bytes());
    u64::from_le_bytes(bytes.as_bytes()[..8].try_into().unwrap())
}
