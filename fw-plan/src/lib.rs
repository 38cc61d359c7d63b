//! Load-control decisions, free of clocks, networks and runtimes.
//!
//! Admission, ordering, refusal and placement of work, and how quickly each adapts. Time comes in
//! as `now`, a [`Duration`] since the process started, and randomness as a `rand::Rng`, so that
//! every decision can be read, replayed and measured by itself; `docs/POLICY.md` has the
//! measurements.
//!
//! ```
//! use std::time::Duration;
//! use fw_plan::admit;
//!
//! let mut admit = admit::Controller::new(admit::Options::default());
//! let req = admit::Request {
//!     lane: admit::Lane::NewProgram,
//!     team: "surat-temple-trust".into(),
//!     share: 1.0,
//!     deadline: Duration::from_secs(60),
//! };
//! let outcome = admit.decide(Duration::ZERO, &req);
//! assert_eq!(outcome, admit::Outcome::Admitted);
//! ```

use std::time::Duration;

use fw_base::error;

pub mod admit;
pub mod assign;
pub mod begin;
pub mod body_room;
pub mod budget;
pub mod cache_retention;
pub mod commit_window;
pub mod confirm;
pub mod health;
pub mod hedge;
pub mod held_bytes;
pub mod intake;
pub mod lapse;
pub mod lookup;
pub mod pace;
pub mod place;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reader;
pub mod retry;
pub mod share;
pub mod speed;
pub mod spill;
pub mod staleness;
pub mod start_order;
pub mod stretch;
pub mod subset;
pub mod takeover;
pub mod wait_queue;

/// A refusal: the kind of error, and when the same call may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error that the caller receives.
    pub kind: error::Kind,
    /// Time from now until the caller may try again.
    pub retry_after: Duration,
}

/// One step of an exponentially weighted moving average: `old`, moved towards `new` by `weight`.
pub(crate) fn ewma(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
