//! When members that are not the nearest are sent a load report again.
//!
//! *Load pattern:* an entry makes a reservation every 20 ms or so, each with its calls in flight, at
//! all members.
//!
//! *Rule:* the nearest member gets a report with each reservation, the others with the first after
//! [`INTERVAL`]. A call lasts some hundred milliseconds, so most of what a report of that age states
//! still holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval of reports to a member that is not the nearest.
pub const INTERVAL: Duration = Duration::from_millis(100);
/// Number of members above which those without a recent report are dropped.
const MAX_MEMBERS: usize = 64;

/// Times of the last reports.
#[derive(Debug, Default)]
pub struct LoadReports {
    sent_at: HashMap<SocketAddr, Instant>,
}

impl LoadReports {
    /// Whether a report to the member at `addr` is due, which is then taken as sent.
    pub fn begin(&mut self, addr: SocketAddr, now: Instant) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) < INTERVAL;
        if self.sent_at.get(&addr).copied().is_some_and(is_recent) {
            return false;
        }
        if self.sent_at.len() >= MAX_MEMBERS {
            self.sent_at.retain(|_, at| is_recent(*at));
        }
        self.sent_at.insert(addr, now);
        true
    }
}
