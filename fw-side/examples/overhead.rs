//! Benchmark of the overhead of a side: the latency that it adds to a plain request and to a first
//! token, compared with direct calls to the simulated upstream, at 1, 32 and 256 concurrent calls;
//! and its use of processor time and memory.
//!
//! ```text
//! cargo build --release -p foxtailweir-side
//! cargo run --release -p fw-side --example overhead
//! ```
//!
//! The side runs in a separate process, so that its processor time and memory can be measured; the
//! simulated upstreams and the callers share this process.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use fw_fake::engine;
use fw_fake::plain;
use fw_wire::attempt;
use fw_wire::side;
use fw_wire::transport;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::http;
use serde_json::json;

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

const CONCURRENCY: [u64; 3] = [1, 32, 256];
const PLAIN_CALLS: u64 = 20_000;
const TURNS: u64 = 3_000;
const TIMEOUT: Duration = Duration::from_secs(60);
/// Unit of the processor times in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// A side in a separate process, which is killed on drop.
struct Process {
    child: Child,
    calls: SocketAddr,
    http: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    async fn spawn(kind: &str, upstream: SocketAddr, name: &str) -> Outcome<Self> {
        let calls = free_port()?;
        let http = free_port()?;
        let file = std::env::temp_dir().join(format!("overhead-{name}-{}.ini", calls.port()));
        let text = format!(
            "[instance]\nid = u\nservice = s\nplace = p\n\
             [listen]\ncalls = {calls}\nhttp = {http}\n\
             [engine]\nkind = {kind}\naddress = {upstream}\n"
        );
        std::fs::write(&file, text)?;
        let child = Command::new(binary()?)
            .arg("--settings")
            .arg(&file)
            .spawn()?;
        let process = Self { child, calls, http };
        process.wait_until_ready().await?;
        std::fs::remove_file(&file)?;
        Ok(process)
    }

    async fn wait_until_ready(&self) -> Outcome<()> {
        let client = fw_http::Client::default();
        let uri = format!("http://{}/readyz", self.http);
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if client.get(&uri).await.is_ok_and(|it| it.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err("the side did not become ready".into())
    }

    /// Processor time used so far, in seconds.
    fn cpu(&self) -> Outcome<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: Result<Vec<f64>, _> = ticks.map(str::parse).collect();
        Ok(ticks?.iter().sum::<f64>() / CLOCK_TICKS_PER_SECOND)
    }

    /// Current resident memory, in MB.
    fn memory(&self) -> Outcome<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(kb.unwrap_or("0").parse::<f64>()? / 1024.0)
    }
}

fn binary() -> Outcome<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.pop();
    path.pop();
    Ok(path.join("foxtailweir-side"))
}

fn free_port() -> Outcome<SocketAddr> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?)
}

/// Latencies of calls, in ascending order.
struct SortedLatencies(Vec<Duration>);

impl SortedLatencies {
    fn quantile(&self, quantile: f64) -> f64 {
        let last = self.0.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        self.0.get(index).map_or(0.0, Duration::as_secs_f64) * 1e3
    }
}

/// Makes `total` calls, `concurrency` at a time.
async fn measure<F, Fut>(concurrency: u64, total: u64, call: F) -> Outcome<SortedLatencies>
where
    F: Fn(u64) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Outcome<Duration>> + Send,
{
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..concurrency {
        let call = call.clone();
        workers.spawn(async move {
            let mut times = Vec::new();
            let mut number = worker;
            while number < total {
                times.push(call(number).await?);
                number += concurrency;
            }
            Outcome::Ok(times)
        });
    }
    let mut times = Vec::new();
    while let Some(worker) = workers.join_next().await {
        times.extend(worker??);
    }
    times.sort_unstable();
    Ok(SortedLatencies(times))
}

async fn plain_call(client: fw_http::Client, uri: String) -> Outcome<Duration> {
    let began = Instant::now();
    let req = http::Request::post(uri).body(Full::from(Bytes::from_static(&[b'x'; 1024])))?;
    let answer = client.call(req).await?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status).into());
    }
    Ok(began.elapsed())
}

fn messages(number: u64) -> Vec<chat::Message> {
    let text = format!("{number} {}", "page ".repeat(200));
    vec![chat::Message::text("user", &text)]
}

/// Time to first token of a direct call to the engine. The answer is read to its end.
async fn direct_turn(client: fw_http::Client, uri: String, number: u64) -> Outcome<Duration> {
    let began = Instant::now();
    let list: Vec<serde_json::Value> = messages(number)
        .iter()
        .map(|message| serde_json::from_str(message.as_str()))
        .collect::<Result<_, _>>()?;
    let body = json!({ "model": "m", "stream": true, "messages": list, "max_tokens": 8 });
    let req = fw_http::json_request(http::Method::POST, &uri, &body)?;
    let mut stream = client.stream(req).await?.into_body();
    let mut first = None;
    while let Some(frame) = stream.frame().await {
        frame?;
        first.get_or_insert_with(|| began.elapsed());
    }
    first.ok_or_else(|| "no chunk received".into())
}

/// Time to the first event through the side. The answer is read to its end.
async fn side_turn(client: &side::SideClient, start: side::Start) -> Outcome<Duration> {
    let began = Instant::now();
    let program = start.program.clone();
    let attempt = start.attempt;
    let reply = client.start(transport::context(TIMEOUT), start).await?;
    if !matches!(reply, side::StartReply::Accepted) {
        return Err(format!("{program}: {reply:?}").into());
    }
    let mut first = None;
    let mut offset = 0;
    loop {
        let req = attempt::Read {
            attempt,
            offset,
            wait: TIMEOUT / 2,
            gather: Duration::ZERO,
        };
        let reply = client.read(transport::context(TIMEOUT), req).await?;
        offset += u32::try_from(reply.events.len())?;
        if !reply.events.is_empty() {
            first.get_or_insert_with(|| began.elapsed());
        }
        match reply.state {
            attempt::State::Done(_) => break,
            attempt::State::Failed(err) => return Err(err.into()),
            _ => {}
        }
    }
    client.forget(transport::context(TIMEOUT), attempt).await?;
    first.ok_or_else(|| "no event received".into())
}

fn start(number: u64) -> side::Start {
    let program = id::ProgramId::from(format!("p{number}"));
    let messages = messages(number);
    side::Start {
        from: "entry".into(),
        revision: 0,
        attempt: number,
        shard: id::shard_of(&program),
        program,
        fence: 1,
        turn: 1,
        model: "m".into(),
        base: digest::Digest::EMPTY,
        committed: digest::Digest::EMPTY,
        added: 1,
        digest: digest::Digest::EMPTY.extend_all(&messages),
        messages,
        params: Arc::from("{}"),
        max_tokens: 8,
        deadline: TIMEOUT,
        team: "t".into(),
        share: 1.0,
        attained: Duration::ZERO,
        prompt_tokens: 260,
        single: false,
        alone: false,
    }
}

/// Prints the cost of a program with a history of 750,000 tokens: of a first turn that carries the
/// full history, and of a second one that carries only its new message.
async fn print_long_history_cost() -> Outcome<()> {
    const MESSAGES: u64 = 400;
    const MESSAGE_BYTES: usize = 7_500;
    let engine = engine::Engine::spawn(engine::Options {
        prefill: Duration::ZERO,
        cache: 1_000_000,
        chunk: 1_000_000,
        ..engine::Options::default()
    })?;
    let process = Process::spawn("llm", engine.addr(), "long").await?;
    let client = transport::connect_side(process.calls, TIMEOUT)
        .await?
        .client;
    let text = "x".repeat(MESSAGE_BYTES);
    let message = |_| chat::Message::text("user", &text);
    let messages: Vec<_> = (0..MESSAGES).map(message).collect();
    let before = process.memory()?;
    let mut turn = side::Start {
        digest: digest::Digest::EMPTY.extend_all(&messages),
        added: u32::try_from(MESSAGES)?,
        messages,
        prompt_tokens: 750_000,
        ..start(1)
    };
    let first = side_turn(&client, turn.clone()).await?;
    let after_first = process.memory()?;
    let answer = engine::answer_to(turn.digest, 8);
    let base = turn
        .digest
        .extend(&chat::Message::text("assistant", &answer));
    turn.messages = vec![chat::Message::text("user", "more")];
    turn.digest = base.extend_all(&turn.messages);
    turn.base = base;
    turn.committed = base;
    turn.added = 1;
    turn.attempt = 2;
    turn.turn = 2;
    let second = side_turn(&client, turn).await?;
    let after_second = process.memory()?;
    println!(
        "history of {MESSAGES} messages, {} MB: RSS {before:.1} MB before, {after_first:.1} MB \
         after the first turn ({first:.1?} to the first token), {after_second:.1} MB after the \
         second ({second:.1?})",
        MESSAGES as usize * MESSAGE_BYTES / 1_000_000,
    );
    Ok(())
}

/// Adds a row to the table.
fn add_row(
    table: &mut String,
    kind: &str,
    concurrency: u64,
    direct: &SortedLatencies,
    through_side: &SortedLatencies,
    cost: &Cost,
) {
    let (d50, s50) = (direct.quantile(0.5), through_side.quantile(0.5));
    let (d99, s99) = (direct.quantile(0.99), through_side.quantile(0.99));
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "| {kind} | {concurrency} | {d50:.2} | {s50:.2} | {:.2} | {d99:.2} | {s99:.2} | {:.2} | {:.0} | {:.1} |",
        s50 / d50,
        s99 / d99,
        cost.cpu * 1e6,
        cost.memory,
    );
}

/// Processor time of the side per call, in seconds, and its memory, in MB.
struct Cost {
    cpu: f64,
    memory: f64,
}

async fn plain_rows(table: &mut String) -> Outcome<()> {
    let service = plain::Service::spawn(plain::Options::default())?;
    let process = Process::spawn("plain", service.addr(), "plain").await?;
    for concurrency in CONCURRENCY {
        let client = fw_http::Client::default();
        let direct_uri = format!("http://{}/page", service.addr());
        let pool = client.clone();
        let direct = measure(concurrency, PLAIN_CALLS, move |_| {
            plain_call(pool.clone(), direct_uri.clone())
        })
        .await?;
        let before = process.cpu()?;
        let uri = format!("http://{}/page", process.http);
        let through_side = measure(concurrency, PLAIN_CALLS, move |_| {
            plain_call(client.clone(), uri.clone())
        })
        .await?;
        let cost = Cost {
            cpu: (process.cpu()? - before) / PLAIN_CALLS as f64,
            memory: process.memory()?,
        };
        add_row(table, "plain", concurrency, &direct, &through_side, &cost);
    }
    Ok(())
}

/// Prints the processor time and memory of an idle side.
async fn print_idle_cost(process: &Process) -> Outcome<()> {
    const DURATION: Duration = Duration::from_secs(5);
    let before = process.cpu()?;
    tokio::time::sleep(DURATION).await;
    let fraction = (process.cpu()? - before) / DURATION.as_secs_f64();
    println!(
        "idle: {:.1}% of a core, {:.1} MB",
        fraction * 100.0,
        process.memory()?
    );
    Ok(())
}

async fn turn_rows(table: &mut String) -> Outcome<()> {
    // The batch is large enough for all calls, so that neither path queues and only the overhead of
    // the side is measured.
    let engine = engine::Engine::spawn(engine::Options {
        batch: 512,
        prefill: Duration::ZERO,
        ..engine::Options::default()
    })?;
    let process = Process::spawn("llm", engine.addr(), "llm").await?;
    print_idle_cost(&process).await?;
    let mut first_number = 0;
    for concurrency in CONCURRENCY {
        let turns = TURNS.min(concurrency * 100);
        let client = fw_http::Client::default();
        let uri = format!("http://{}/v1/chat/completions", engine.addr());
        let direct = measure(concurrency, turns, move |number| {
            direct_turn(client.clone(), uri.clone(), number)
        })
        .await?;
        let before = process.cpu()?;
        let client = transport::connect_side(process.calls, TIMEOUT)
            .await?
            .client;
        let from = first_number;
        let through_side = measure(concurrency, turns, move |number| {
            let client = client.clone();
            async move { side_turn(&client, start(from + number)).await }
        })
        .await?;
        first_number += turns;
        let cost = Cost {
            cpu: (process.cpu()? - before) / turns as f64,
            memory: process.memory()?,
        };
        add_row(
            table,
            "first token",
            concurrency,
            &direct,
            &through_side,
            &cost,
        );
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Outcome<()> {
    let mut table = String::from(
        "| what | concurrent | straight p50 ms | side p50 ms | ratio | straight p99 ms \
         | side p99 ms | ratio | side CPU us/call | side RSS MB |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    print_long_history_cost().await?;
    plain_rows(&mut table).await?;
    turn_rows(&mut table).await?;
    println!("{table}");
    Ok(())
}
