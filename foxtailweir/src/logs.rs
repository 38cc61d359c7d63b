//! Log lines on standard error, as the settings ask for them.

use std::io;

use fw_conf::shared;
use tracing_subscriber::filter;

/// Starts to write log lines; without effect if the process writes some already.
pub fn start(log: &shared::Log) {
    let level = log.level.as_str().parse();
    let level = level.unwrap_or(filter::LevelFilter::INFO);
    let lines = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr);
    // Fails only if a subscriber is set already.
    let _already_set = match log.format {
        shared::Format::Human => lines.try_init(),
        shared::Format::Json => lines.json().try_init(),
    };
}
