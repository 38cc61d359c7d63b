//! Runs one case: `review-rig-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod endless;
mod http;
mod replaced;
mod system;
mod worker;

use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{self, SignalKind};

/// Longest time of a case.
const LONGEST: Duration = Duration::from_secs(115);

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let record = PathBuf::from(record);
    let mut term = unix::signal(SignalKind::terminate()).expect("signals can be handled");
    // Whatever ends the case drops it, and with it the processes that it started.
    let held = tokio::select! {
        held = run(&case, &record) => held,
        _ = term.recv() => None,
        () = tokio::time::sleep(LONGEST) => None,
    };
    let code = match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    std::process::exit(code);
}

async fn run(case: &str, record: &Path) -> Option<bool> {
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    match case {
        "endless" => endless::run(trouble != "0", record).await,
        "replaced" => replaced::run(&trouble, record).await,
        _ => None,
    }
}
