//! `programs` and `explain`: the programs of an entry, and the scheduling decisions about one.

use fw_base::id;
use getopts::Matches;

use super::error;
use super::exit;
use super::io;
use crate::admin;

pub(super) fn list(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let client = super::client(matches);
    let answer = super::block_on(async { Ok(client.programs().await?) })?;
    io.print(format_args!(
        "{:<40} {:<10} {:>6} {:>12}  {}",
        "PROGRAM", "STATUS", "TURN", "TOKENS", "TEAM"
    ));
    for program in &answer.programs {
        let admin::Program {
            id,
            status,
            turn,
            tokens,
            team,
        } = program;
        io.print(format_args!(
            "{id:<40} {status:<10} {turn:>6} {tokens:>12}  {team}"
        ));
    }
    io.report(format_args!(
        "{} programs kept by this entry",
        answer.programs.len()
    ));
    Ok(exit::Exit::Success)
}

pub(super) fn explain(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let program = &matches.free[0];
    if !id::is_valid_name(program) {
        return error::usage(format!("`{program}` is not a program id"));
    }
    let client = super::client(matches);
    let answer = super::block_on(async { Ok(client.explain(program).await?) })?;
    for admin::Event { at_ms, what, why } in &answer.events {
        io.print(format_args!("{at_ms:>10} ms  {what:<12} {why}"));
    }
    let keeper = &answer.keeper;
    if answer.events.is_empty() {
        io.report(format_args!(
            "this entry has no decisions about `{program}`; its keeper: {keeper}"
        ));
        return Ok(exit::Exit::Failure);
    }
    io.report(format_args!(
        "times are relative to the start of this entry; keeper: {keeper}"
    ));
    Ok(exit::Exit::Success)
}
