//! Log lines on standard error, as the settings ask for them.

use std::io;

use fw_conf::shared;
use tracing_appender::non_blocking;
use tracing_subscriber::filter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::budget;

/// Starts to write log lines; without effect if the process writes some already.
pub fn init(log: &shared::Log) {
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

/// Lines that wait to be written. Beyond that they are left out, so that no request waits for
/// whoever reads them; the count of those left out is in the writer's own counter.
const MAX_QUEUED_LINES: usize = 1_024;
/// Lines of one kind in a second. A request writes one or two; a few hundred requests a second are
/// an entry's usual most, so that only a storm is cut.
const MAX_LINES_PER_SITE_SECOND: u32 = 1_000;

/// Starts to write JSON lines on standard output, from a thread of their own. What waits is written
/// when the guard is dropped.
pub fn init_json() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(io::stdout());
    // The calls to replicas have log lines of our own; those of the library would be one a call.
    let targets = filter::Targets::new()
        .with_default(filter::LevelFilter::INFO)
        .with_target("tarpc", filter::LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer)
        .with_filter(budget::Budget::new(MAX_LINES_PER_SITE_SECOND))
        .with_filter(targets);
    // Fails only if a subscriber is set already.
    let _already_set = tracing_subscriber::registry().with(lines).try_init();
    guard
}
