//! Recorded histories of concurrent runs, and the checker of what must hold in them.
//!
//! Callers, stand-ins of upstreams and operators note [`event::Event`]s in a
//! [`recorder::Recorder`]; [`check::verify`] then looks at each [`check::Promise`] and says that
//! it held, was violated or was not put to the test.
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
