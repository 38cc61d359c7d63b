//! Bounded log of decisions, for `foxtailweir explain`.
//!
//! It keeps the reasons for which calls were placed, delayed, retried or refused, for the most recent
//! programs only: the log of the oldest program is evicted for a new one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use parking_lot::Mutex;
use serde::Serialize;
use smol_str::SmolStr;

/// Most decisions kept for one program; the oldest are dropped first.
const PER_PROGRAM: usize = 64;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Milliseconds since the entry started.
    pub at_ms: u64,
    /// Label of the decision: `placed`, `retried`, `refused`, `committed`, ….
    pub what: SmolStr,
    /// Reason for the decision, with the figures behind it.
    pub why: String,
}

/// Log of decisions by program.
#[derive(Debug)]
pub struct Log {
    start: Instant,
    max_programs: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    programs: HashMap<id::ProgramId, VecDeque<Event>>,
    order: VecDeque<id::ProgramId>,
}

impl Log {
    /// An empty log that keeps the decisions of at most `max_programs` programs.
    pub fn new(max_programs: usize) -> Self {
        Self {
            start: Instant::now(),
            max_programs,
            inner: Mutex::default(),
        }
    }

    /// Time since the log was created: the clock of the pure decision modules.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records a decision about `program`.
    pub fn record(&self, program: &str, what: &'static str, why: String) {
        if self.max_programs == 0 {
            return;
        }
        let at_ms = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        let event = Event {
            at_ms,
            what: SmolStr::new_static(what),
            why,
        };
        let mut inner = self.inner.lock();
        if !inner.programs.contains_key(program) {
            inner.admit(program.into(), self.max_programs);
        }
        if let Some(events) = inner.programs.get_mut(program) {
            if events.len() == PER_PROGRAM {
                events.pop_front();
            }
            events.push_back(event);
        }
    }

    /// The decisions about `program`, oldest first; empty if none is kept.
    pub fn events(&self, program: &str) -> Vec<Event> {
        let inner = self.inner.lock();
        let events = inner.programs.get(program);
        events
            .map(|events| events.iter().cloned().collect())
            .unwrap_or_default()
    }
}

impl Inner {
    fn admit(&mut self, program: id::ProgramId, max: usize) {
        if self.order.len() >= max
            && let Some(oldest) = self.order.pop_front()
        {
            self.programs.remove(&oldest);
        }
        self.order.push_back(program.clone());
        self.programs.insert(program, VecDeque::new());
    }
}
