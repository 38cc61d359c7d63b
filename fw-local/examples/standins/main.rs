//! Stand-ins for the platform, model engines and plain services, used by entries and sides that run
//! as separate processes. Writes a settings file for each entry and side.

mod files;
mod records;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use fw_fake::engine;
use fw_fake::instances;
use fw_fake::plain;
use fw_fake::store;
use fw_local::system;
use tokio::signal::unix;

const USAGE: &str = "Usage: standins --out FOLDER [options]

Starts stand-ins on loopback, writes settings files of an entry and of a side for each upstream
into FOLDER, stores the first records once the entry is up, and runs until SIGTERM or SIGINT.";

struct Args {
    out: PathBuf,
    engines: usize,
    tools: usize,
    engine: engine::Options,
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("o", "out", "folder for the settings files", "FOLDER");
    options.optopt("", "engines", "model engines (3)", "N");
    options.optopt("", "tools", "plain services (1)", "N");
    options.optopt("", "batch", "requests that an engine runs together", "N");
    options.optopt("", "step-us", "time of an engine's step", "MICROSECONDS");
    options.optopt("", "prefill-ns", "time for a prompt token", "NANOSECONDS");
    options.optopt("", "chunk", "prompt tokens that a step takes in", "TOKENS");
    options.optopt("", "cache", "prompt tokens that an engine caches", "TOKENS");
    options.optflag("h", "help", "print this help");
    options
}

fn parse() -> Result<Option<Args>, String> {
    let matches = options()
        .parse(std::env::args().skip(1))
        .map_err(|err| err.to_string())?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let number = |name, default| matches.opt_get_default(name, default);
    let number = |name, default| number(name, default).map_err(|err| format!("--{name}: {err}"));
    let defaults = engine::Options::default();
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    let count = |name, default: usize| {
        let count = number(name, default as u64)?;
        usize::try_from(count).map_err(|err| format!("--{name}: {err}"))
    };
    Ok(Some(Args {
        out: matches
            .opt_str("out")
            .ok_or("`--out FOLDER` is required")?
            .into(),
        engines: count("engines", 3)?,
        tools: count("tools", 1)?,
        engine: engine::Options {
            batch: count("batch", defaults.batch)?,
            step: Duration::from_micros(number("step-us", micros(defaults.step))?),
            prefill: Duration::from_nanos(number("prefill-ns", nanos(defaults.prefill))?),
            chunk: number("chunk", defaults.chunk)?,
            cache: number("cache", defaults.cache)?,
            ..defaults
        },
    }))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match parse() {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{}", options().usage(USAGE));
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("{message}\n\n{}", options().usage(USAGE));
            return ExitCode::from(2);
        }
    };
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standins: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> io::Result<()> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut int = unix::signal(unix::SignalKind::interrupt())?;
    let store = store::Store::start(store::Options::default()).await?;
    let instances = instances::Instances::start().await?;
    let engines = (0..args.engines).map(|_| engine::Engine::spawn(args.engine.clone()));
    let engines = engines.collect::<io::Result<Vec<_>>>()?;
    let tools = (0..args.tools).map(|_| plain::Service::spawn(plain::Options::default()));
    let tools = tools.collect::<io::Result<Vec<_>>>()?;

    std::fs::create_dir_all(&args.out)?;
    let entry = files::entry(&args.out, &store.endpoint(0), &instances.endpoint())?;
    println!("entry    {}", entry.file.display());
    println!("callers  {}", entry.callers);
    println!("admin    {}", entry.admin);
    for (n, engine) in engines.iter().enumerate() {
        let upstream = files::Upstream {
            id: format!("{}-{n}", system::AGENTS),
            service: system::AGENTS,
            kind: "llm",
            addr: engine.addr(),
            batch: args.engine.batch,
        };
        register(&instances, &files::side(&args.out, &upstream)?, &upstream);
    }
    for (n, tool) in tools.iter().enumerate() {
        let upstream = files::Upstream {
            id: format!("{}-{n}", system::TOOLS),
            service: system::TOOLS,
            kind: "plain",
            addr: tool.addr(),
            batch: 0,
        };
        register(&instances, &files::side(&args.out, &upstream)?, &upstream);
    }
    let stored = tokio::spawn(records::put_first(entry.admin));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stored.abort();
    Ok(())
}

fn register(instances: &instances::Instances, side: &files::Side, upstream: &files::Upstream) {
    println!("side     {} beside {}", side.file.display(), upstream.addr);
    instances.put(instances::Instance {
        id: upstream.id.as_str().into(),
        service: upstream.service.into(),
        place: files::PLACE.into(),
        side: side.calls.to_string().into(),
        http: side.http.to_string().into(),
        state: instances::State::Live,
    });
}
