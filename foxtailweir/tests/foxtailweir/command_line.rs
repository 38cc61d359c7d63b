//! Usage, help, exit codes and settings.

use foxtailweir::command::exit;
use googletest::prelude::*;

use crate::run;
use crate::write_file;

const COMMANDS: [&str; 10] = [
    "serve",
    "check",
    "demo",
    "records list",
    "records get",
    "records put",
    "records delete",
    "records history",
    "programs",
    "explain",
];

#[gtest]
fn every_command_has_help() {
    let overview = run("--help");
    expect_eq!(overview.exit, exit::Exit::Success);
    for command in COMMANDS {
        expect_that!(overview.out, contains_substring(command));
        let help = run(&format!("{command} --help"));
        expect_eq!(help.exit, exit::Exit::Success);
        expect_that!(
            help.out,
            contains_substring(format!("Usage: foxtailweir {command}"))
        );
        expect_that!(help.out, contains_substring("--help"));
    }
}

#[gtest]
fn wrong_command_lines_end_with_code_2() {
    let cases = [
        ("", "Usage: foxtailweir COMMAND"),
        ("dance", "no command `dance`"),
        ("records", "no command `records`"),
        ("records get", "takes KIND/NAME, but 0 were given"),
        ("records get team", "`team` must be KIND/NAME"),
        (
            "records get tribe/t",
            "none of service, route, team, budget",
        ),
        ("records list --entry", "Argument to option 'entry' missing"),
        ("records delete team/t --revision -1", "--revision"),
        (
            "records delete team/t --revision x",
            "--revision must be a whole number",
        ),
        (
            "records delete team/t --timeout soon",
            "--timeout must be a time",
        ),
        ("explain no/id", "`no/id` is not a program id"),
        ("programs --loud", "Unrecognized option: 'loud'"),
    ];
    for (line, message) in cases {
        let ran = run(line);
        expect_eq!(ran.exit.code(), 2, "{line}");
        expect_that!(ran.err, contains_substring(message));
    }
}

#[gtest]
fn check_names_file_line_key_and_range() {
    let settings = write_file(
        "bad.ini",
        "[listen]\ncallers = 127.0.0.1:0\n[store]\ntimeout = 1h\n",
    );
    let ran = run(&format!("check {settings}"));
    expect_eq!(ran.exit.code(), 2);
    expect_that!(ran.err, contains_substring("bad.ini:4: [store] timeout: "));
    expect_that!(ran.err, contains_substring("10ms to 30s"));
    let served = run(&format!("serve {settings}"));
    expect_eq!(served.exit.code(), 2);
    expect_eq!(served.err, ran.err);
}

#[gtest]
fn check_accepts_good_settings() {
    let settings = write_file(
        "good.ini",
        "[instance]\nplace = surat-hall-a\n[listen]\ncallers = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\n[store]\nendpoints = 127.0.0.1:2379\n",
    );
    let ran = run(&format!("check {settings}"));
    expect_eq!(ran.exit, exit::Exit::Success);
    expect_that!(ran.out, contains_substring("every key is in order"));
}

#[gtest]
fn check_fails_on_a_missing_file() {
    expect_eq!(run("check no-such-file.ini").exit.code(), 2);
    expect_eq!(run("check --side no-such-file.ini").exit.code(), 2);
}
