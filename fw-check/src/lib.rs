//! Records the events of concurrent runs, and checks the promises (invariants) over the record.
//!
//! Callers, simulated upstreams and operators append [`event::Event`]s to a
//! [`recorder::Recorder`]; [`check::verify`] then evaluates each [`check::Promise`] and reports
//! that it held, was violated or was not exercised.
//!
//! ```
//! use fw_check::check;
//! use fw_check::event::Event;
//! use fw_check::recorder::Recorder;
//!
//! let recorder = Recorder::new();
//! let process = "entry-1".into();
//! recorder.record(Event::ShutdownBegun { process });
//! let report = check::verify(&recorder.entries(), &check::Options::default());
//! assert!(!report.is_violated());
//! ```

pub mod check;
pub mod event;
mod index;
mod promise;
pub mod recorder;
