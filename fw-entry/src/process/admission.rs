//! Admission control of this entry: `fw_plan::admit` behind one lock, with permits that report the end
//! of a call on drop.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use parking_lot::Mutex;

/// Counter of refused admissions, by lane and kind.
pub const REFUSED: &str = "fw_entry_admissions_refused_total";

/// Admission control, shared by all requests.
#[derive(Clone, Debug)]
pub struct Admission {
    start: Instant,
    admit: Arc<Mutex<admit::Controller>>,
}

/// Permit of an admitted call; released on drop.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
    lane: admit::Lane,
    team: id::TeamId,
    queued: Duration,
}

impl Admission {
    /// Admission control without calls in flight.
    pub fn new(options: admit::Options) -> Self {
        Self {
            start: Instant::now(),
            admit: Arc::new(Mutex::new(admit::Controller::new(options))),
        }
    }

    /// Admits a call.
    ///
    /// # Errors
    ///
    /// When the call is refused, with the reason and a time to retry; it did not run.
    pub fn enter(&self, req: admit::Request) -> Result<Permit, error::Error> {
        let now = self.start.elapsed();
        let mut admit = self.admit.lock();
        let outcome = admit.decide(now, &req);
        if let admit::Outcome::Refused { kind, retry_after } = outcome {
            drop(admit);
            return Err(refusal(kind, req.lane, retry_after));
        }
        admit.started(now, req.lane, &req.team);
        drop(admit);
        Ok(Permit {
            admission: self.clone(),
            lane: req.lane,
            team: req.team,
            queued: Duration::ZERO,
        })
    }

    /// Records a queueing delay of turns that a side reported.
    pub fn observe(&self, delay: Duration) {
        self.admit.lock().observe(delay);
    }
}

impl Permit {
    /// Records how long the call waited in queues.
    pub fn record_queue_delay(&mut self, delay: Duration) {
        self.queued = delay;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.start.elapsed();
        let mut admit = self.admission.admit.lock();
        admit.finished(now, self.lane, &self.team, self.queued);
    }
}

fn refusal(kind: error::Kind, lane: admit::Lane, retry_after: Duration) -> error::Error {
    let (label, what) = match lane {
        admit::Lane::Plain => ("plain", "plain requests"),
        admit::Lane::Turn => ("turn", "turns"),
        admit::Lane::NewProgram => ("new_program", "new programs"),
    };
    metrics::counter!(REFUSED, "lane" => label, "kind" => kind.row().label).increment(1);
    let why = match kind {
        error::Kind::ShareExceeded => "your team exceeds its share while others wait",
        error::Kind::DeadlineUnmeetable => "it could not start before its deadline",
        _ => "too many calls are under way",
    };
    let message = format!("no further {what} are accepted now: {why}");
    error::Error::new(kind, message).with_retry_after(retry_after)
}
