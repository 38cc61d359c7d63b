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

/// Entries named to each other as a way around a cut. A cut may take a third of the entries; that
/// it takes all of eight is rare.
const PEERS: usize = 8;

/// The newest word of one entry.
#[derive(Debug)]
struct Report {
    at: Instant,
    load: service::Load,
}

/// The newest word of each entry.
#[derive(Debug, Default)]
pub struct Table {
    entries: Mutex<HashMap<u32, Report>>,
}

impl Table {
    /// Notes what an entry tells, and returns what the others told.
    pub fn exchange(&self, load: service::Load) -> service::PeerState {
        let others = self.others(load.entry);
        self.note(load);
        others
    }

    /// Notes what an entry tells.
    pub fn note(&self, load: service::Load) {
        let now = Instant::now();
        let mut entries = self.entries.lock();
        entries.insert(load.entry, Report { at: now, load });
        if entries.len() > ENTRIES {
            entries.retain(|_, told| now.duration_since(told.at) <= FRESH);
        }
    }

    /// The sum of what others than `entry` told, and where some of them are.
    pub fn others(&self, entry: u32) -> service::PeerState {
        let now = Instant::now();
        let entries = self.entries.lock();
        let mut sum: HashMap<u16, u16> = HashMap::new();
        let mut peers = Vec::new();
        for (other, told) in entries.iter() {
            if *other == entry || now.duration_since(told.at) > FRESH {
                continue;
            }
            for (upstream, count) in &told.load.calls {
                let total = sum.entry(*upstream).or_default();
                *total = total.saturating_add(*count);
            }
            if peers.len() < PEERS {
                peers.extend(told.load.relay);
            }
        }
        service::PeerState {
            calls: sum.into_iter().collect(),
            relays: peers,
            usage: None,
        }
    }
}
