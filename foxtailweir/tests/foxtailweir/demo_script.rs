//! The demonstration's script, with few programs.

use std::time::Duration;

use foxtailweir::command::exit;
use foxtailweir::command::io;
use foxtailweir::demo;
use fw_check::check;
use googletest::prelude::*;

// Wide enough for a machine that other tests keep busy.
const WIDE: Duration = Duration::from_secs(40);
// Longer than any recorded run, so that the promise cannot be judged.
const UNOBSERVABLE: Duration = Duration::from_secs(3_600);

#[gtest]
fn short_script_reports_every_promise_and_claims_none_unobserved() {
    let opts = demo::Options {
        sites: 4,
        mediations: 2,
        spread: Duration::from_secs(2),
        limit: Duration::from_secs(60),
        check: check::Options {
            free_within: WIDE,
            leave_within: UNOBSERVABLE,
            in_force_within: WIDE,
        },
        ..demo::Options::default()
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut io = io::Io {
        out: &mut out,
        err: &mut err,
    };
    let exit = demo::run(&opts, &mut io).unwrap();
    let out = String::from_utf8(out).unwrap();
    expect_eq!(exit, exit::Exit::Success, "{out}");
    for promise in check::Promise::ALL {
        let lines = out.lines().filter(|line| line.contains(promise.text()));
        expect_that!(lines.count(), eq(1), "{promise:?}");
    }
    let unobserved = "not observed: leaving upstreams get no new work";
    expect_that!(out, contains_substring(unobserved));
    expect_that!(out, contains_substring("\nGOOD: "));
    expect_that!(out, contains_substring("7 of 7 programs ended as expected"));
    expect_that!(out, not(contains_substring("VIOLATED")));
}
