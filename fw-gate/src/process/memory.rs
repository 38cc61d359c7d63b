//! The bytes that this entry holds, by kind, and whether it takes on another request, by [`fw_plan::intake`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fw_base::error;
use fw_plan::{body_room, intake};
use rand::RngExt;
use tokio::time::Instant;

use super::{config_age, gate};

/// Interval at which the memory is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Parts of the instance's memory at which all kinds are logged, in percent.
const MARKS: [u64; 3] = [50, 75, 90];

/// What the bytes counted here are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests under way, beside their bodies.
    Requests,
    /// Bodies of requests, prompts assembled from the turns before, and answers that are not stored yet.
    Bodies,
    /// Answers, and incomplete events of streams, from their first bytes until they are written to the caller.
    Answers,
    /// Callers' connections.
    CallerConnections,
}

/// Number of kinds that are counted here.
const KINDS: usize = 4;

/// Bounds on bodies whose length was not announced.
#[derive(Clone, Copy, Debug, Default)]
struct Rooms {
    /// Bodies of requests. They leave room for requests that continue programs.
    request: body_room::Options,
    /// Outputs of turns, which count with the bodies of requests.
    output: body_room::Options,
    /// Answers.
    answer: body_room::Options,
}

impl Rooms {
    /// The bounds beside those of `intake` on requests.
    fn of(intake: &intake::Options) -> Self {
        let room = |max_bytes| body_room::Options { max_bytes };
        Self {
            request: room(intake.limit(true)),
            output: room(intake.max_bytes),
            answer: room(intake.max_bytes / 2),
        }
    }
}

/// The bytes that this entry holds.
#[derive(Debug)]
pub struct Memory {
    /// `None` if requests are not bounded.
    opts: Option<intake::Options>,
    rooms: Rooms,
    held: [AtomicUsize; KINDS],
}

/// Bytes held until this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: Arc<Memory>,
    kind: Kind,
    bytes: usize,
}

/// What a request holds until this is dropped: a fixed part, and its body.
#[derive(Debug)]
pub struct Request {
    _fixed: Held,
    body: Held,
    /// The part of the body's bytes that is the output of a turn.
    output: usize,
}

/// What the entry holds for an answer until this is dropped.
#[derive(Debug)]
pub struct Answer(Held);

impl fw_http::Room for Answer {
    fn resize(&mut self, bytes: usize) -> bool {
        let opts = self.0.memory.rooms.answer;
        let fits = self.0.may_take(&opts, self.0.bytes, bytes);
        if fits {
            self.0.set(bytes);
        } else {
            count_refused("answer");
        }
        fits
    }
}

/// The body of a request that is being read.
impl fw_http::Room for Request {
    fn resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.body.bytes {
            // It was announced.
            return true;
        }
        let opts = self.body.memory.rooms.request;
        let fits = self.body.may_take(&opts, self.body.bytes, bytes);
        if fits {
            self.body.set(bytes);
        } else {
            count_refused("request");
        }
        fits
    }
}

/// Counts a body for which there was no room.
fn count_refused(body: &'static str) {
    metrics::counter!("fw_gate_bodies_refused_total", "body" => body).increment(1);
}

impl Request {
    /// Sets the bytes of its body and its prompt.
    pub fn set_body(&mut self, bytes: usize) {
        self.body.set(bytes);
    }

    /// Whether there is room for `bytes` more of its answer.
    pub fn has_room(&self, bytes: usize) -> bool {
        let opts = self.body.memory.rooms.output;
        let fits = self.body.may_take(&opts, self.output, self.output + bytes);
        if !fits {
            count_refused("output");
        }
        fits
    }

    /// Adds the bytes of a part of its answer that is kept until the turn is stored.
    pub fn add_output(&mut self, bytes: usize) {
        self.body.set(self.body.bytes + bytes);
        self.output += bytes;
    }
}

impl Held {
    /// Whether a body may take `new` of these bytes in place of `old`.
    fn may_take(&self, opts: &body_room::Options, old: usize, new: usize) -> bool {
        let others = self.memory.held(self.kind).saturating_sub(old);
        opts.may_hold(new, others)
    }

    fn set(&mut self, bytes: usize) {
        let held = &self.memory.held[self.kind as usize];
        held.fetch_add(bytes, Ordering::Relaxed);
        held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Memory {
    /// Nothing is held yet. Requests are bounded by `opts`, if there are any.
    pub fn new(opts: Option<intake::Options>) -> Arc<Self> {
        Arc::new(Self {
            rooms: opts.as_ref().map(Rooms::of).unwrap_or_default(),
            opts,
            held: Default::default(),
        })
    }

    /// Bytes held for `kind`.
    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize].load(Ordering::Relaxed)
    }

    /// Holds `bytes` for `kind`.
    pub fn hold(self: &Arc<Self>, kind: Kind, bytes: usize) -> Held {
        let mut held = Held {
            memory: Arc::clone(self),
            kind,
            bytes: 0,
        };
        held.set(bytes);
        held
    }

    /// Takes on a request with a body of `body` bytes, while `others` bytes are held that are not counted here.
    ///
    /// # Errors
    ///
    /// `Overloaded` when there is no room for it.
    pub fn admit(
        self: &Arc<Self>,
        begins: bool,
        body: usize,
        others: usize,
        deadline: Option<Duration>,
    ) -> Result<Request, error::Error> {
        let requests = self.held(Kind::Requests) + self.held(Kind::Bodies);
        // Without a request under way, the others must not keep one from being taken on for good.
        let held = if requests == 0 { 0 } else { requests + others };
        let more = intake::REQUEST_BYTES + body;
        if let Some(opts) = &self.opts {
            let draw = rand::rng().random();
            let decision = opts.decide(begins, held, more, deadline, draw);
            decision.map_err(|refusal| refused(&refusal, begins))?;
        }
        Ok(Request {
            _fixed: self.hold(Kind::Requests, intake::REQUEST_BYTES),
            body: self.hold(Kind::Bodies, body),
            output: 0,
        })
    }

    /// Room for an answer, of which nothing is held yet.
    pub fn answer(self: &Arc<Self>) -> Answer {
        Answer(self.hold(Kind::Answers, 0))
    }
}

fn refused(refusal: &intake::Refusal, begins: bool) -> error::Error {
    let stage = if begins { "begins" } else { "continues" };
    metrics::counter!("fw_gate_intake_refused_total", "stage" => stage).increment(1);
    let message = format!(
        "the entry holds {} bytes for requests, and takes on no further one of this sort beyond {}",
        refusal.held, refusal.limit
    );
    error::Error::new(error::Kind::Overloaded, message).with_retry_after(refusal.retry_after)
}

/// Measures what the entry of `gate` holds, and logs all kinds when the process passes a part of `limit`, the
/// memory of the instance; measures the age of its configuration as often. Never returns.
pub async fn watch(gate: Arc<gate::Gate>, limit: Option<u64>) {
    let mut passed = 0;
    let mut config_age = config_age::Monitor::default();
    loop {
        let begun = Instant::now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let sample = Sample::take(&gate, begun.elapsed().saturating_sub(SAMPLE_INTERVAL));
        sample.publish();
        config_age.sample(&gate);
        let (Some(limit), Some(resident)) = (limit, sample.resident) else {
            continue;
        };
        let now_passed = marks_passed(resident, limit);
        if now_passed > passed {
            sample.log(limit, MARKS[now_passed - 1]);
        }
        passed = now_passed;
    }
}

/// Number of [`MARKS`] of `limit` that `resident` bytes have reached.
pub fn marks_passed(resident: u64, limit: u64) -> usize {
    let reached = |mark: &&u64| resident.saturating_mul(100) >= limit.saturating_mul(**mark);
    MARKS.iter().take_while(reached).count()
}

/// Bytes by kind at one moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Memory of the process that is not backed by a file, if the system tells.
    resident: Option<u64>,
    requests: usize,
    bodies: usize,
    answers: usize,
    replica_calls: usize,
    cached_turns: usize,
    caller_connections: usize,
    upstream_connections: usize,
    tasks: usize,
    /// How much later than due the last sample was taken: tasks wait as long for the processor.
    delay: Duration,
}

impl Sample {
    fn take(gate: &gate::Gate, delay: Duration) -> Self {
        let memory = &gate.memory;
        Self {
            resident: resident_bytes(),
            requests: memory.held(Kind::Requests),
            bodies: memory.held(Kind::Bodies),
            answers: gate.held.held() + memory.held(Kind::Answers),
            replica_calls: gate.replica_call_bytes(),
            cached_turns: gate.turns.bytes(),
            caller_connections: memory.held(Kind::CallerConnections),
            upstream_connections: gate.fleet.open_links() * intake::CONNECTION_BYTES,
            tasks: tokio::runtime::Handle::current()
                .metrics()
                .num_alive_tasks(),
            delay,
        }
    }

    fn publish(&self) {
        let kinds = [
            ("requests", self.requests),
            ("bodies", self.bodies),
            ("answers", self.answers),
            ("replica_calls", self.replica_calls),
            ("cached_turns", self.cached_turns),
            ("caller_connections", self.caller_connections),
            ("upstream_connections", self.upstream_connections),
        ];
        for (kind, bytes) in kinds {
            metrics::gauge!("fw_gate_held_bytes", "kind" => kind).set(bytes as f64);
        }
        if let Some(resident) = self.resident {
            metrics::gauge!("fw_gate_resident_bytes").set(resident as f64);
        }
        metrics::gauge!("fw_gate_tasks").set(self.tasks as f64);
        metrics::gauge!("fw_gate_scheduling_delay_seconds").set(self.delay.as_secs_f64());
    }

    fn log(&self, limit: u64, percent: u64) {
        tracing::warn!(
            limit,
            percent,
            resident = self.resident,
            requests = self.requests,
            bodies = self.bodies,
            answers = self.answers,
            replica_calls = self.replica_calls,
            cached_turns = self.cached_turns,
            caller_connections = self.caller_connections,
            upstream_connections = self.upstream_connections,
            tasks = self.tasks,
            delay_ms = self.delay.as_millis() as u64,
            "the process has reached a part of the instance's memory"
        );
    }
}

/// Memory of this process that is not backed by a file; `None` where the system does not tell.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    parse_resident(&status)
}

/// The anonymous memory that a process status page states, in bytes.
pub fn parse_resident(status: &str) -> Option<u64> {
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kib = value.trim().strip_suffix("kB")?;
    kib.trim().parse::<u64>().ok()?.checked_mul(1_024)
}
