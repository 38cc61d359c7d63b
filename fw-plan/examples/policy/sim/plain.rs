//! The plain service beside the engines: short requests in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use fw_base::id;
use fw_plan::place;

/// Requests that an upstream serves concurrently.
pub const SLOTS: usize = 4;
/// Mean service time of one request, in seconds.
pub const SERVICE: f64 = 0.02;

/// One plain request.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Duration,
    pub entry: usize,
    pub team: id::TeamId,
    pub service: Duration,
    pub upstream: usize,
    pub reached: Duration,
    pub waited: Duration,
}

#[derive(Debug, Default)]
pub struct Upstream {
    waiting: VecDeque<Request>,
    running: usize,
}

impl Upstream {
    pub fn push(&mut self, req: Request) {
        self.waiting.push_back(req);
    }

    /// Starts the next request, if a slot is free.
    pub fn start(&mut self, now: Duration) -> Option<Request> {
        if self.running >= SLOTS {
            return None;
        }
        let mut req = self.waiting.pop_front()?;
        req.waited = now - req.reached;
        self.running += 1;
        Some(req)
    }

    pub fn finish(&mut self) {
        self.running -= 1;
    }

    pub fn load(&self) -> place::Load {
        place::Load {
            queued: self.waiting.len() as u32,
            running: self.running as u32,
            batch: SLOTS as u32,
            ..place::Load::default()
        }
    }
}
