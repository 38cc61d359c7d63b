//! `check`: validates a settings file without starting a process.

use getopts::Matches;
use getopts::Options;
use snafu::ResultExt;

use super::error;
use super::exit;
use super::io;

pub(super) fn options(options: &mut Options) {
    options.optflag("s", "side", "the file is one of foxtailweir-side");
    let about = "the file is one of load control, for `entry --settings`";
    options.optflag("b", "balance", about);
}

pub(super) fn run(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let path = &matches.free[0];
    if matches.opt_present("side") {
        fw_conf::side::Settings::load(path.as_ref()).context(error::SettingsSnafu)?;
    } else if matches.opt_present("balance") {
        fw_conf::balance::Settings::load(path.as_ref()).context(error::SettingsSnafu)?;
    } else {
        super::entry_settings(path)?;
    }
    io.print(format_args!("{path}: every key is in order"));
    Ok(exit::Exit::Success)
}
