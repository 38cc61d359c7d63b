//! Log output: on standard error as set in the settings, or as JSON lines on standard output.

use std::io;

use fw_conf::shared;
use tracing_appender::non_blocking;
use tracing_subscriber::filter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::budget;

/// Installs a log subscriber that writes to standard error; no effect if one is installed already.
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

/// Capacity of the writer's queue. Further lines are dropped, so that no request blocks on a slow
/// reader of standard output; the writer's own counter holds the number of dropped lines.
const MAX_QUEUED_LINES: usize = 1_024;
/// Limit of lines per call site and second. A request writes one or two lines and an entry usually
/// serves at most a few hundred requests per second, so that only log storms reach the limit.
const MAX_LINES_PER_SITE_SECOND: u32 = 1_000;

/// Installs a log subscriber that writes JSON lines to standard output from a separate thread.
/// Queued lines are written when the guard is dropped.
pub fn init_json() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(io::stdout());
    // Calls to replicas are logged by this workspace's crates; tarpc would add a line per call.
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
