//! The demonstration: entries, sides and stand-ins in one process on loopback.

use crate::command::error;
use crate::command::exit;
use crate::command::io;

/// How the demonstration runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Stay up and print the addresses, for a person's own client.
    pub hold: bool,
}

/// Runs the demonstration.
///
/// # Errors
///
/// When a part of it cannot be started.
pub fn run(opts: Options, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let _ = (opts, io);
    error::FailedSnafu {
        message: "the demonstration is not part of this build yet",
    }
    .fail()
}
