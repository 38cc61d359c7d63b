//! Rate limit on log lines per call site.
//!
//! *Load pattern:* during a network partition or an overload every request fails in the same way,
//! thousands per second, and each writes a log line.
//!
//! *Without it:* the lines that show the cause are hard to find among them, or are dropped because
//! the writer's queue is full of the repeated ones.
//!
//! *Rule:* each call site of a log macro may write a fixed number of lines per second; the excess
//! is dropped and counted in `fw_log_left_out_total` by call site.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tracing::{Event, Metadata, callsite};
use tracing_subscriber::layer::{Context, Filter};

/// Length of a counting window. A window starts with the first line after the previous one ended.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one call site in its present window.
#[derive(Debug)]
struct LineCount {
    since: Instant,
    lines: u32,
}

/// Log filter that passes a limited number of lines per call site and second.
#[derive(Debug)]
pub struct Budget {
    max_lines: u32,
    counts: Mutex<HashMap<callsite::Identifier, LineCount>>,
}

impl Budget {
    /// Creates a filter that passes `max_lines` lines per call site and second.
    pub fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            counts: Mutex::default(),
        }
    }

    /// Counts a line of `site` at `now`; returns whether it is within the limit.
    fn try_take(&self, site: callsite::Identifier, now: Instant) -> bool {
        let mut counts = self.counts.lock();
        let count = counts.entry(site).or_insert(LineCount {
            since: now,
            lines: 0,
        });
        if now.duration_since(count.since) >= WINDOW {
            *count = LineCount {
                since: now,
                lines: 0,
            };
        }
        count.lines = count.lines.saturating_add(1);
        count.lines <= self.max_lines
    }
}

impl<S> Filter<S> for Budget {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let site = event.metadata();
        let allowed = self.try_take(site.callsite(), Instant::now());
        if !allowed {
            metrics::counter!("fw_log_left_out_total", "place" => site.name()).increment(1);
        }
        allowed
    }
}
