//! `serve`: an entry.

use getopts::Matches;

use super::error;
use super::exit;
use super::io;
use crate::logs;

pub(super) fn run(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let settings = super::entry_settings(&matches.free[0])?;
    logs::start(&settings.log);
    super::block_on(serve(settings, io))
}

/// Runs the entry until it is told to stop.
async fn serve(
    settings: fw_conf::entry::Settings,
    io: &mut io::Io<'_>,
) -> Result<exit::Exit, error::Error> {
    let _ = (settings, io);
    error::FailedSnafu {
        message: "the entry is not part of this build yet",
    }
    .fail()
}
