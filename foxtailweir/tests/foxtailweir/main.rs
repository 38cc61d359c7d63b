//! Tests of the command line.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod command_line;
mod demo_script;
mod log_budget;
mod operating_page;
mod real_entry;
mod record_commands;
mod standin;

use foxtailweir::command;
use foxtailweir::command::exit;
use foxtailweir::command::io;

/// Exit status and output of a command.
struct Output {
    exit: exit::Exit,
    out: String,
    err: String,
}

/// Runs a command, given as one line.
fn run(line: &str) -> Output {
    let args: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let mut io = io::Io {
        out: &mut out,
        err: &mut err,
    };
    let exit = command::run(&args, &mut io);
    Output {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Same as [`run`], on a blocking thread, for tests that have a runtime.
async fn run_blocking(line: String) -> Output {
    tokio::task::spawn_blocking(move || run(&line))
        .await
        .unwrap()
}

/// Writes a file to the build's folder for temporary files; returns its path.
fn write_file(name: &str, content: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}
