//! A budget of log lines for each kind.
//!
//! *Load pattern:* a cut or an overload makes every request end the same way, thousands a second,
//! each with its line.
//!
//! *Without it:* the lines that tell the cause are lost among them, or are left out because the
//! writer's queue is full of the others.
//!
//! *Rule:* of each place in the code that writes lines, so many are written each second; the others
//! are counted in `fw_log_left_out_total` by place.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tracing::{Event, Metadata, callsite};
use tracing_subscriber::layer::{Context, Filter};

const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind in the present second.
#[derive(Debug)]
struct LineCount {
    since: Instant,
    lines: u32,
}

/// Passes so many lines of each kind a second.
#[derive(Debug)]
pub struct Budget {
    max_lines: u32,
    counts: Mutex<HashMap<callsite::Identifier, LineCount>>,
}

impl Budget {
    /// Passes `max_lines` lines of each kind a second.
    pub fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            counts: Mutex::default(),
        }
    }

    /// Whether one more line of `kind` at `now` is within the budget.
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
