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
use crate::command::Failed;
use crate::command::error;
use crate::command::exit;
use crate::command::io;
use crate::serve;

/// How the demonstration runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// In place of the script, stay up and print the addresses, for a person's own client.
    pub hold: bool,
    /// Programs that build a site: some turns, each with the whole history, and publishing.
    pub sites: usize,
    /// Programs that mediate: more turns, each with only what is new, and letters.
    pub mediations: usize,
    /// Time over which the programs' first turns are spread.
    pub spread: Duration,
    /// Time after which the caller of a program gives up.
    pub limit: Duration,
    /// The bounds of promises about time.
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
/// When a part of it cannot be started.
pub fn run(opts: &Options, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    if opts.hold {
        return command::block_on(hold::run(io));
    }
    command::block_on(async {
        let seen = script::run(opts, io).await;
        let seen = seen.whatever_failed("the demonstration does not start")?;
        report::print(&seen, io);
        Ok(match seen.is_good() {
            true => exit::Exit::Success,
            false => exit::Exit::Failure,
        })
    })
}

/// The system of the demonstration; its upstreams note what they do in `recorder`, if there is one.
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
