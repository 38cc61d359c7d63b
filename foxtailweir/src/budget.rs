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

const SECOND: Duration = Duration::from_secs(1);

/// Lines of one kind in the present second.
#[derive(Debug)]
struct Spent {
    since: Instant,
    lines: u32,
}

/// Passes so many lines of each kind a second.
#[derive(Debug)]
pub struct Budget {
    most: u32,
    spent: Mutex<HashMap<callsite::Identifier, Spent>>,
}

impl Budget {
    /// Passes `most` lines of each kind a second.
    pub fn new(most: u32) -> Self {
        Self {
            most,
            spent: Mutex::default(),
        }
    }

    /// Whether one more line of `kind` at `now` is within the budget.
    fn allows(&self, kind: callsite::Identifier, now: Instant) -> bool {
        let mut spent = self.spent.lock();
        let spent = spent.entry(kind).or_insert(Spent {
            since: now,
            lines: 0,
        });
        if now.duration_since(spent.since) >= SECOND {
            *spent = Spent {
                since: now,
                lines: 0,
            };
        }
        spent.lines = spent.lines.saturating_add(1);
        spent.lines <= self.most
    }
}

impl<S> Filter<S> for Budget {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let kind = event.metadata();
        let allowed = self.allows(kind.callsite(), Instant::now());
        if !allowed {
            metrics::counter!("fw_log_left_out_total", "place" => kind.name()).increment(1);
        }
        allowed
    }
}
