//! The sidecar process of an upstream: command line, logging and signal handling.

use std::path::Path;
use std::process::ExitCode;

use fw_conf::shared;
use fw_conf::side;
use getopts::Options;
use tokio::signal::unix;
use tracing_subscriber::EnvFilter;

/// Exit code for wrong arguments or settings.
const USAGE_ERROR: u8 = 2;

/// Worker threads of the runtime. The cores of the instance belong to the upstream, a plain call
/// costs the side 56 to 92 us of processor time (example `overhead` of `fw-side`), and one worker
/// per core would cost memory and wake-ups.
const WORKER_THREADS: usize = 2;

const BRIEF: &str = "Usage: foxtailweir-side [check] --settings FILE

Runs beside one upstream until SIGTERM or SIGINT, then finishes calls under way.
With `check` it only checks the settings file.";

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file, in INI format", "FILE");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(err) => return usage_error(&options, &err.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    let only_check = match matches.free.as_slice() {
        [] => false,
        [command] if command == "check" => true,
        [other, ..] => return usage_error(&options, &format!("unknown command `{other}`")),
    };
    let Some(file) = matches.opt_str("settings") else {
        return usage_error(&options, "`--settings FILE` is required");
    };
    match side::Settings::load(Path::new(&file)) {
        Ok(_) if only_check => {
            println!("{file}: no faults found");
            ExitCode::SUCCESS
        }
        Ok(settings) => serve(settings),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn usage_error(options: &Options, message: &str) -> ExitCode {
    eprintln!("{message}\n\n{}", options.usage(BRIEF));
    ExitCode::from(USAGE_ERROR)
}

fn serve(settings: side::Settings) -> ExitCode {
    init_logging(&settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => return fail(&err.to_string()),
    };
    match runtime.block_on(fw_side::run(settings, stop_signal())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail("work under way did not end within `drain_timeout`"),
        Err(err) => fail(&err.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("foxtailweir-side: {message}");
    ExitCode::FAILURE
}

fn init_logging(cfg: &shared::Log) {
    // tarpc opens a span at level info for each call between processes; log lines are reserved for
    // changes of state.
    let filter = EnvFilter::new(format!("{},tarpc=warn", cfg.level.as_str()));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match cfg.format {
        shared::Format::Human => builder.init(),
        shared::Format::Json => builder.json().init(),
    }
}

/// Waits for SIGTERM or SIGINT; never completes if no signal handler can be installed.
async fn stop_signal() {
    let term = unix::signal(unix::SignalKind::terminate());
    let Ok(mut term) = term else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
