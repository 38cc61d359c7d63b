//! Load generator that sends calls through a running system and directly to the upstreams behind
//! it, and compares both.

mod closed;
mod large;
mod process;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use hdrhistogram::Histogram;

const USAGE: &str = "Usage: load --url ADDR [options]

Sends plain requests and streamed chat completions through the entry at --url and straight to the
upstreams, in alternating rounds, and prints times, their ratios, processor time and memory.";

/// Number of alternating rounds that the calls are divided into, so that both ways are measured
/// under the same background load.
const ROUNDS: usize = 4;
/// Time over which the processes are measured without load.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

struct Args {
    url: SocketAddr,
    straight: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
    processes: Vec<process::Process>,
    concurrency: Vec<usize>,
    calls: usize,
    turns: u32,
    words: usize,
    answer: u64,
    history_tokens: Option<usize>,
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "url", "the entry's address for callers", "IP:PORT");
    options.optopt("", "straight", "the engines", "IP:PORT,…");
    options.optopt("", "plain", "the plain services", "IP:PORT,…");
    options.optopt("", "pids", "processes to watch", "NAME=PID,…");
    options.optopt("", "concurrency", "calls at a time (1,32,256)", "N,…");
    options.optopt("", "calls", "calls of each kind and way (2000)", "N");
    options.optopt("", "turns", "turns of a longer program (4)", "N");
    options.optopt("", "words", "words of a first message (200)", "N");
    options.optopt("", "answer", "tokens of an answer (24)", "N");
    options.optopt("", "history-tokens", "only one large program", "TOKENS");
    options.optflag("h", "help", "print this help");
    options
}

fn list<T: std::str::FromStr>(matches: &getopts::Matches, name: &str) -> Result<Vec<T>, String>
where
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name).unwrap_or_default();
    let parts = text.split(',').filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse()
            .map_err(|err| format!("--{name}: `{part}`: {err}"))
    };
    parts.map(parse).collect()
}

fn parse() -> Result<Option<Args>, String> {
    let matches = options()
        .parse(std::env::args().skip(1))
        .map_err(|err| err.to_string())?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let invalid = |err: std::num::ParseIntError| err.to_string();
    let concurrency = list(&matches, "concurrency")?;
    let args = Args {
        url: list(&matches, "url")?
            .first()
            .copied()
            .ok_or("`--url IP:PORT` is required")?,
        straight: list(&matches, "straight")?,
        plain: list(&matches, "plain")?,
        processes: process::Process::parse_all(&matches.opt_str("pids").unwrap_or_default())?,
        concurrency: match concurrency.is_empty() {
            true => vec![1, 32, 256],
            false => concurrency,
        },
        calls: matches.opt_get_default("calls", 2000).map_err(invalid)?,
        turns: matches.opt_get_default("turns", 4).map_err(invalid)?,
        words: matches.opt_get_default("words", 200).map_err(invalid)?,
        answer: matches.opt_get_default("answer", 24).map_err(invalid)?,
        history_tokens: matches.opt_get("history-tokens").map_err(invalid)?,
    };
    if args.concurrency.contains(&0) {
        return Err("--concurrency: each must be 1 or more".to_owned());
    }
    if args.straight.is_empty() && args.plain.is_empty() {
        return Err("`--straight` or `--plain` is required".to_owned());
    }
    if args.history_tokens.is_some() && args.straight.is_empty() {
        return Err("`--history-tokens` needs `--straight`".to_owned());
    }
    Ok(Some(args))
}

#[tokio::main]
async fn main() -> ExitCode {
    match parse() {
        Ok(Some(args)) => run(&args).await,
        Ok(None) => println!("{}", options().usage(USAGE)),
        Err(message) => {
            eprintln!("{message}\n\n{}", options().usage(USAGE));
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

async fn run(args: &Args) {
    idle(&args.processes).await;
    if let Some(tokens) = args.history_tokens {
        large::run(args.url, args.straight[0], &args.processes, tokens).await;
        return;
    }
    for &concurrency in &args.concurrency {
        if !args.plain.is_empty() {
            compare(args, "plain", closed::Workload::Plain, concurrency).await;
        }
        if !args.straight.is_empty() {
            let programs = |turns| closed::Workload::Programs {
                turns,
                words: args.words,
                answer: args.answer,
            };
            compare(args, "chat", programs(1), concurrency).await;
            compare(args, "program", programs(args.turns), concurrency).await;
        }
    }
}

async fn idle(processes: &[process::Process]) {
    let before: Vec<_> = processes.iter().map(process::Process::cpu).collect();
    tokio::time::sleep(IDLE_PERIOD).await;
    println!("idle, {IDLE_PERIOD:?}:");
    for (process, before) in processes.iter().zip(before) {
        let share = (process.cpu() - before).as_secs_f64() / IDLE_PERIOD.as_secs_f64();
        let resident = process.resident();
        println!(
            "  {:<12} {:6.2}% of a core  {resident:7.1} MiB resident",
            process.name,
            share * 100.0
        );
    }
}

async fn compare(args: &Args, what: &str, workload: closed::Workload, concurrency: usize) {
    let (upstreams, turns) = match workload {
        closed::Workload::Plain => (&args.plain, 1),
        closed::Workload::Programs { turns, .. } => (&args.straight, turns as usize),
    };
    let calls = (args.calls / turns / ROUNDS).max(1);
    let mut straight = closed::Outcome::default();
    let mut through = closed::Outcome::default();
    let mut cpu_time = vec![Duration::ZERO; args.processes.len()];
    for round in 0..ROUNDS {
        let name = format!("{what}-{concurrency}-{round}-{}", std::process::id());
        straight.add(&closed::run(upstreams, workload, concurrency, calls, &name).await);
        let before: Vec<_> = args.processes.iter().map(process::Process::cpu).collect();
        through.add(&closed::run(&[args.url], workload, concurrency, calls, &name).await);
        for (n, process) in args.processes.iter().enumerate() {
            cpu_time[n] += process.cpu() - before[n];
        }
    }
    println!(
        "\n{what}, {concurrency} at a time, {turns} turn(s), {} each way:",
        calls * ROUNDS
    );
    row("took", &through.took, &straight.took);
    if !matches!(workload, closed::Workload::Plain) {
        row("first token", &through.first, &straight.first);
    }
    for (way, outcome) in [("through", &through), ("straight", &straight)] {
        if let Some(error) = &outcome.error {
            println!("  {way}: {} failed, first: {error}", outcome.failed);
        }
    }
    for (process, cpu_time) in args.processes.iter().zip(cpu_time) {
        let calls = calls * ROUNDS * turns;
        println!(
            "  {:<12} {:7.0} us of processor a call  {:7.1} MiB resident",
            process.name,
            cpu_time.as_secs_f64() * 1e6 / calls as f64,
            process.resident()
        );
    }
}

fn row(what: &str, through: &Histogram<u64>, straight: &Histogram<u64>) {
    for quantile in [0.5, 0.95, 0.99] {
        let millis =
            |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let (through, straight) = (millis(through), millis(straight));
        println!(
            "  {what:<12} p{:<3.0} {through:9.2} ms through {straight:9.2} ms straight  ratio {:6.2}",
            quantile * 100.0,
            through / straight
        );
    }
}
