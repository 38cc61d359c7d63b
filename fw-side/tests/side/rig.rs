//! Test rig: a side between the test, which acts as the keeper, and a simulated engine.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_fake::engine;
use fw_side::Options;
use fw_side::Side;
use fw_wire::attempt;
use fw_wire::side;
use fw_wire::transport;

/// Timeout for conditions that must become true.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The fencing number of a keeper's first lease.
pub const FENCE: id::Fence = 10;

/// An engine without delays.
pub fn fast_engine() -> engine::Options {
    engine::Options {
        step: Duration::ZERO,
        prefill: Duration::ZERO,
        load_lag: Duration::ZERO,
        cache_lag: Duration::ZERO,
        ..engine::Options::default()
    }
}

/// An engine whose answers take long enough for a fault to occur during them.
pub fn slow_engine() -> engine::Options {
    engine::Options {
        step: Duration::from_millis(10),
        answer: 400,
        ..fast_engine()
    }
}

/// Options with timeouts for tests.
pub fn options() -> Options {
    let mut opts = Options {
        release_backoff: Duration::from_millis(20),
        ..Options::default()
    };
    opts.settings.engine.load_poll = Duration::from_millis(20);
    opts.settings.engine.cache_poll = Duration::from_millis(20);
    opts.settings.shutdown.drain_timeout = TIMEOUT;
    opts
}

/// The engine, its side and a client of the side.
pub struct Rig {
    pub engine: engine::Engine,
    pub side: Side,
    pub client: side::SideClient,
}

impl Rig {
    pub async fn new(engine: engine::Options) -> Self {
        Self::with(engine, options()).await
    }

    pub async fn with(engine: engine::Options, mut opts: Options) -> Self {
        let engine = engine::Engine::spawn(engine).unwrap();
        opts.settings.engine.address = engine.addr();
        let side = Side::spawn(opts).await.unwrap();
        let client = transport::connect_side(side.calls(), TIMEOUT)
            .await
            .unwrap()
            .client;
        Self {
            engine,
            side,
            client,
        }
    }

    pub async fn start(&self, start: &side::Start) -> side::StartReply {
        let cx = transport::context(TIMEOUT);
        self.client.start(cx, start.clone()).await.unwrap()
    }

    pub async fn read(&self, attempt: id::AttemptId, offset: u32) -> attempt::ReadReply {
        let cx = transport::context(TIMEOUT);
        let wait = Duration::from_secs(5);
        let req = attempt::Read {
            attempt,
            offset,
            wait,
            gather: Duration::ZERO,
        };
        self.client.read(cx, req).await.unwrap()
    }

    /// Reads an attempt to its end.
    pub async fn read_all(&self, attempt: id::AttemptId) -> attempt::ReadReply {
        let mut events: Vec<attempt::Event> = Vec::new();
        let within = tokio::time::Instant::now() + TIMEOUT;
        while tokio::time::Instant::now() < within {
            let reply = self.read(attempt, events.len() as u32).await;
            events.extend(reply.events);
            if reply.state.is_final() {
                let state = reply.state;
                return attempt::ReadReply { events, state };
            }
        }
        panic!("the attempt did not end");
    }

    /// Runs a turn to its end and returns its answer.
    pub async fn run_turn(&self, start: &side::Start) -> attempt::Finish {
        assert!(matches!(
            self.start(start).await,
            side::StartReply::Accepted
        ));
        match self.read_all(start.attempt).await.state {
            attempt::State::Done(finish) => *finish,
            other => panic!("the turn failed: {other:?}"),
        }
    }

    /// Starts a turn and waits for its first event.
    pub async fn start_streaming(&self, start: &side::Start) {
        assert!(matches!(
            self.start(start).await,
            side::StartReply::Accepted
        ));
        self.wait_streaming(start.attempt).await;
    }

    /// Waits for the first event of a started turn.
    pub async fn wait_streaming(&self, attempt: id::AttemptId) {
        let reply = self.read(attempt, 0).await;
        assert!(
            !reply.events.is_empty(),
            "no event received: {:?}",
            reply.state
        );
    }

    pub async fn heartbeat(&self, beat: side::Heartbeat) -> side::HeartbeatReply {
        let cx = transport::context(TIMEOUT);
        self.client.heartbeat(cx, beat).await.unwrap()
    }
}

/// A heartbeat that renews the shard of `program`.
pub fn renewal(program: &str, fence: id::Fence) -> side::Heartbeat {
    side::Heartbeat {
        from: "entry-1".into(),
        shards: vec![(id::shard_of(program), fence)],
        ..side::Heartbeat::default()
    }
}

/// A first turn of `program`.
pub fn first_turn(program: &str, attempt: id::AttemptId, text: &str) -> side::Start {
    let messages = vec![chat::Message::text("user", text)];
    let digest = digest::Digest::EMPTY.extend_all(&messages);
    side::Start {
        from: "entry-1".into(),
        revision: 0,
        attempt,
        program: program.into(),
        shard: id::shard_of(program),
        fence: FENCE,
        turn: 1,
        model: "m".into(),
        base: digest::Digest::EMPTY,
        committed: digest::Digest::EMPTY,
        added: 1,
        messages,
        digest,
        params: Arc::from("{}"),
        max_tokens: 100_000,
        deadline: Duration::from_secs(60),
        team: "team".into(),
        share: 1.0,
        attained: Duration::ZERO,
        prompt_tokens: 10,
        single: false,
        alone: false,
    }
}

/// The turn after `before`, whose answer was `answer`.
pub fn next_turn(
    before: &side::Start,
    answer: &chat::Message,
    attempt: id::AttemptId,
    text: &str,
) -> side::Start {
    let base = before.digest.extend(answer);
    let messages = vec![chat::Message::text("user", text)];
    side::Start {
        attempt,
        turn: before.turn + 1,
        base,
        digest: base.extend_all(&messages),
        messages,
        ..before.clone()
    }
}

/// Waits until `holds` returns true; panics after [`TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let within = tokio::time::Instant::now() + TIMEOUT;
    while !holds() {
        assert!(
            tokio::time::Instant::now() < within,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The kind of error that an attempt failed with, if it failed.
pub fn error_kind(state: &attempt::State) -> Option<error::Kind> {
    match state {
        attempt::State::Failed(err) => Some(err.kind),
        _ => None,
    }
}

/// The kind of error that a start was refused with, if it was refused.
pub fn refusal_kind(reply: &side::StartReply) -> Option<error::Kind> {
    match reply {
        side::StartReply::Refused(err) => Some(err.kind),
        _ => None,
    }
}
