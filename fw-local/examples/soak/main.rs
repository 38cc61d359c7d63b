//! Soak test: runs callers, operators and faults against whole systems for a range of seeds, and
//! checks every promise against the record of each run.
//!
//!     cargo run --release -p fw-local --example soak -- --seeds 1..500

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use fw_check::check;
use fw_check::recorder;
use fw_local::history;
use getopts::Options;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Default number of systems that run concurrently.
const DEFAULT_CONCURRENCY: usize = 2;

/// Parsed command line.
struct Args {
    first: u64,
    last: u64,
    at_once: usize,
    record: Option<String>,
}

#[derive(Default)]
struct Totals {
    runs: usize,
    bad: Vec<u64>,
    failed: usize,
    programs: usize,
    finished: usize,
    unsure_tools: u32,
    lost: usize,
    wrong: usize,
    repeated: usize,
    untrue: usize,
    violated: usize,
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    if let Some(folder) = &args.record {
        log_into(folder);
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let totals = runtime.block_on(soak(&args));
    print_totals(&totals);
    match totals.bad.is_empty() && totals.failed == 0 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Writes the log into `folder`, beside the records.
fn log_into(folder: &str) {
    let path = Path::new(folder).join("log.txt");
    match fs::File::create(&path) {
        Ok(file) => tracing_subscriber::fmt()
            .with_ansi(false)
            .with_writer(Arc::new(file))
            .init(),
        Err(err) => eprintln!("log {} not written: {err}", path.display()),
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("s", "seeds", "first and last seed", "FROM..TO");
    opts.optopt("j", "at-once", "systems that run at a time", "N");
    opts.optopt("r", "record", "folder for the records of bad runs", "DIR");
    opts
}

fn parse() -> Result<Args, String> {
    let opts = options();
    let usage = opts.usage("soak --seeds FROM..TO");
    let matches = opts.parse(std::env::args().skip(1));
    let matches = matches.map_err(|err| format!("{err}\n{usage}"))?;
    let seeds = matches.opt_str("seeds").unwrap_or_default();
    let (first, last) = seeds.split_once("..").ok_or_else(|| usage.clone())?;
    let number = |text: &str| text.parse().map_err(|err| format!("seed {text}: {err}"));
    let at_once = matches.opt_get_default("at-once", DEFAULT_CONCURRENCY);
    Ok(Args {
        first: number(first)?,
        last: number(last)?,
        at_once: at_once.map_err(|err| format!("at-once: {err}"))?,
        record: matches.opt_str("record"),
    })
}

async fn soak(args: &Args) -> Totals {
    let slots = Arc::new(Semaphore::new(args.at_once));
    let mut runs = JoinSet::new();
    for seed in args.first..=args.last {
        let slots = Arc::clone(&slots);
        runs.spawn(async move {
            let _slot = slots.acquire_owned().await;
            let opts = history::Options {
                seed,
                ..history::Options::default()
            };
            (seed, history::run(&opts).await)
        });
    }
    let mut totals = Totals::default();
    while let Some(run) = runs.join_next().await {
        match run {
            Ok((seed, Ok(outcome))) => totals.add(seed, &outcome, args.record.as_deref()),
            Ok((seed, Err(err))) => {
                println!("seed {seed}: did not start: {err}");
                totals.failed += 1;
            }
            Err(err) => {
                println!("a run panicked: {err}");
                totals.failed += 1;
            }
        }
    }
    totals
}

impl Totals {
    fn add(&mut self, seed: u64, outcome: &history::Outcome, record: Option<&str>) {
        self.runs += 1;
        self.programs += outcome.programs.len();
        self.finished += outcome.finished();
        let unsure = outcome.programs.iter().map(|program| program.unsure_tools);
        self.unsure_tools += unsure.sum::<u32>();
        self.lost += outcome.lost();
        self.wrong += outcome.violations(check::Promise::History);
        self.repeated += outcome.violations(check::Promise::Once);
        self.untrue += outcome.violations(check::Promise::Refusal);
        let all = check::Promise::ALL.into_iter();
        self.violated += all.map(|p| outcome.violations(p)).sum::<usize>();
        let verdict = if outcome.is_good() { "good" } else { "BAD" };
        let (finished, all) = (outcome.finished(), outcome.programs.len());
        let took = outcome.took.as_secs_f32();
        println!("seed {seed}: {verdict}, {finished}/{all} programs finished, {took:.1} s");
        if !outcome.is_good() {
            self.bad.push(seed);
            print!("{outcome}");
            println!(
                "repeat: cargo run --release -p fw-local --example soak -- --seeds {seed}..{seed}"
            );
            save_record(seed, outcome, record);
        }
    }
}

/// Writes the record of a bad run into the folder `record`.
fn save_record(seed: u64, outcome: &history::Outcome, record: Option<&str>) {
    let Some(folder) = record else { return };
    let path = Path::new(folder).join(format!("seed-{seed}.jsonl"));
    let written = fs::File::create(&path)
        .and_then(|file| recorder::write(&outcome.entries, std::io::BufWriter::new(file)));
    match written {
        Ok(()) => println!("record: {}", path.display()),
        Err(err) => println!("record {} not written: {err}", path.display()),
    }
}

fn print_totals(totals: &Totals) {
    println!("runs {}, not started {}", totals.runs, totals.failed);
    println!("programs finished {}/{}", totals.finished, totals.programs);
    println!("programs whose answered turns were lost {}", totals.lost);
    println!("histories or prompts wrong {}", totals.wrong);
    println!("keyed calls repeated {}", totals.repeated);
    println!("refusals untrue {}", totals.untrue);
    println!("violations of any promise {}", totals.violated);
    println!(
        "keyed calls with an unknown outcome {}",
        totals.unsure_tools
    );
    println!("bad seeds {:?}", totals.bad);
}
