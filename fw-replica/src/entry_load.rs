//! Calls in flight of all entries, as reported with their requests.
//!
//! *Load pattern:* twenty entries send to the same forty upstreams. Each has its own counts; those
//! of other entries reach it only through the upstreams' answers, seconds late.
//!
//! *Without it:* calls meet at one upstream and queue there while the one beside it is idle.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fw_plan::speed;
use parking_lot::Mutex;

use crate::{service, stated_speed};

/// How long a report counts. An entry with traffic reports several times a second; one without has
/// no calls.
const LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Number of entries above which expired reports are dropped.
const MAX_ENTRIES: usize = 512;

/// Number of relays returned to an entry. A network partition may take a third of the entries; that
/// it takes all of eight is rare.
const MAX_RELAYS: usize = 8;

/// The last report of one entry.
#[derive(Debug)]
struct Report {
    received_at: Instant,
    load: service::Load,
}

/// The last report of each entry.
#[derive(Debug, Default)]
pub struct Table {
    entries: Mutex<HashMap<u32, Report>>,
}

impl Table {
    /// Records an entry's report, and returns the state of the others.
    pub fn exchange(&self, load: service::Load) -> service::PeerState {
        let others = self.peer_state(load.entry);
        self.record(load);
        others
    }

    /// Records an entry's report.
    pub fn record(&self, load: service::Load) {
        let now = Instant::now();
        let mut entries = self.entries.lock();
        entries.insert(
            load.entry,
            Report {
                received_at: now,
                load,
            },
        );
        if entries.len() > MAX_ENTRIES {
            entries.retain(|_, report| now.duration_since(report.received_at) <= LOAD_TTL);
        }
    }

    /// The sum of the calls of all entries but `entry`, the newest speeds that upstreams stated to
    /// them, and relay addresses of some of them.
    pub fn peer_state(&self, entry: u32) -> service::PeerState {
        let now = Instant::now();
        let entries = self.entries.lock();
        let mut sum: HashMap<u16, (u16, Option<speed::Report>)> = HashMap::new();
        let mut relays = Vec::new();
        for (other, report) in entries.iter() {
            let age = now.duration_since(report.received_at);
            if *other == entry || age > LOAD_TTL {
                continue;
            }
            let load = &report.load;
            for (upstream, count, speed) in stated_speed::join(&load.calls, &load.speeds) {
                let (total, newest) = sum.entry(upstream).or_default();
                *total = total.saturating_add(count);
                *newest = stated_speed::newer(
                    *newest,
                    speed.and_then(|speed| stated_speed::aged(speed, age)),
                );
            }
            if relays.len() < MAX_RELAYS {
                relays.extend(report.load.relay);
            }
        }
        let sum = sum.into_iter();
        let (calls, speeds) = stated_speed::split(sum.map(|(at, (count, s))| (at, count, s)));
        service::PeerState {
            calls,
            speeds,
            relays,
            usage: None,
        }
    }
}
