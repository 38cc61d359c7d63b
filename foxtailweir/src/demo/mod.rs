//! The demonstration: entries, sides and stand-ins in one process on loopback.

mod hold;
mod programs;
mod report;
mod script;

use std::time::Duration;

use fw_check::check;
use fw_check::recorder;
use fw_fake::engine;
use fw_fake::plain;
use fw_fake::recording;
use fw_local::system;

use crate::command;
use crate::command::OrFail;
use crate::command::error;
use crate::command::exit;
use crate::command::io;
use crate::serve;

/// How the demonstration runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instead of the script, keep the system up and print its addresses for use by other clients.
    pub hold: bool,
    /// Number of site programs: few turns, each sent with the whole history, and publishing calls.
    pub sites: usize,
    /// Number of mediation programs: more turns, each sent with only the new messages, and letters.
    pub mediations: usize,
    /// Interval over which the programs' first turns are spread.
    pub spread: Duration,
    /// Timeout after which the caller of a program gives up.
    pub limit: Duration,
    /// Time bounds for the checked promises.
    pub check: check::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hold: false,
            sites: 40,
            mediations: 20,
            spread: Duration::from_secs(7),
            limit: Duration::from_secs(13),
            check: check::Options::default(),
        }
    }
}

/// Runs the demonstration.
///
/// # Errors
///
/// When a part of the system cannot be started.
pub fn run(opts: &Options, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    if opts.hold {
        return command::block_on(hold::run(io));
    }
    command::block_on(async {
        let results = script::run(opts, io).await;
        let results = results.or_fail("cannot start the demonstration")?;
        report::print(&results, io);
        Ok(match results.has_passed() {
            true => exit::Exit::Success,
            false => exit::Exit::Failure,
        })
    })
}

/// Options of the demonstration's system; its upstreams write their events to `recorder`, if given.
fn shape(recorder: Option<&recorder::Recorder>) -> system::Options {
    let notes = |upstream: &str| {
        recorder.map(|recorder| recording::Recording {
            recorder: recorder.clone(),
            upstream: upstream.into(),
        })
    };
    system::Options {
        engine: engine::Options {
            recording: notes(system::AGENTS),
            ..engine::Options::default()
        },
        tool: plain::Options {
            recording: notes(system::TOOLS),
            ..plain::Options::default()
        },
        metrics: serve::recorder(),
        ..system::Options::default()
    }
}
