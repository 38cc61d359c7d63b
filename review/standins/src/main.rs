//! Runs one scene of the review: `review-scene NAME FOLDER`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the scene could not run. With `TROUBLE=0` in the
//! environment the scene runs without its disruption.

mod cases;
mod client;
mod deployment;
mod record;
mod worker;

use std::path::PathBuf;
use std::time::Duration;

/// Longest time of a scene.
const LIMIT: Duration = Duration::from_secs(118);

/// Outcome of a scene that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

/// Why a scene could not run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-scene NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("scene {name}, disruption: {trouble}"));
    // The processes end with the future that holds them, also when it is cut off here.
    let ended = tokio::select! {
        ended = tokio::time::timeout(LIMIT, cases::run(&name, trouble, &record)) => ended,
        () = stop_signal() => Ok(Err("stopped by a signal".into())),
    };
    let status = match ended {
        Ok(Ok(Outcome::Held)) => {
            record.line("RESULT: the rule held");
            0
        }
        Ok(Ok(Outcome::Broken)) => {
            record.line("RESULT: the rule was broken");
            1
        }
        Ok(Err(failure)) => {
            record.line(&format!("RESULT: the scene could not run: {failure}"));
            2
        }
        Err(_) => {
            record.line("RESULT: the scene could not run: it took too long");
            2
        }
    };
    std::process::exit(status);
}

/// Ready once the scene is to stop.
async fn stop_signal() {
    let Ok(mut term) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
