//! Entries' calls under way, as they tell them.
//!
//! *Load pattern:* twenty entries send to the same forty upstreams. Each knows its own calls, and
//! those of others only from what an upstream tells with its answers, seconds ago.
//!
//! *Without it:* calls meet at one upstream and queue there while the one beside it is idle.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::service;

/// How long what an entry told counts. An entry with traffic tells several times a second; one
/// without has no calls.
const FRESH: Duration = Duration::from_millis(1_500);
/// Entries remembered; beyond that those that have not told for long are dropped.
const ENTRIES: usize = 512;

/// The newest word of each entry.
#[derive(Debug, Default)]
pub struct Board {
    entries: Mutex<HashMap<u32, (Instant, Vec<(u16, u16)>)>>,
}

impl Board {
    /// Notes what an entry tells, and returns the sum of what the others told.
    pub fn exchange(&self, load: service::Load) -> Vec<(u16, u16)> {
        let now = Instant::now();
        let mut entries = self.entries.lock();
        let mut sum: HashMap<u16, u16> = HashMap::new();
        for (entry, (told, calls)) in entries.iter() {
            if *entry == load.entry || now.duration_since(*told) > FRESH {
                continue;
            }
            for (upstream, count) in calls {
                let total = sum.entry(*upstream).or_default();
                *total = total.saturating_add(*count);
            }
        }
        entries.insert(load.entry, (now, load.calls));
        if entries.len() > ENTRIES {
            entries.retain(|_, (told, _)| now.duration_since(*told) <= FRESH);
        }
        sum.into_iter().collect()
    }
}
