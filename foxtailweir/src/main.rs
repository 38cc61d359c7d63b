//! The `foxtailweir` binary: runs entries and replicas, and is the operators' command line.

use std::process::ExitCode;

use foxtailweir::command;
use foxtailweir::command::io;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    command::run(&args, &mut io::Io::standard()).into()
}
