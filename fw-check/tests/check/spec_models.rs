//! The specification of the keeper's protocol holds, and each guard is needed.
//!
//! The verifier that spin generated is compiled here, once as it is and once without each guard.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use fw_base::digest::Digest;
use googletest::prelude::*;

/// The first five take a guard away; see the head of `keeper.pml` for the others.
const SWITCHES: [&str; 7] = [
    "NO_FENCE_COMPARE",
    "NO_HEAD_COMPARE",
    "NO_READ_BACK",
    "NO_CLAIM_FIRST",
    "NO_DIGEST_CHECK",
    "ALLOW_STALE",
    "EXPECT_END",
];

/// Options of every verifier: no cycles are searched, states are compressed without loss, memory
/// is bounded in MB.
const GCC_OPTIONS: [&str; 5] = ["-w", "-O2", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=1024"];

/// Ends without a next step are no errors, the search may go this deep, and ends after as many
/// minutes.
const VERIFIER_OPTIONS: [&str; 3] = ["-E", "-m200000", "-Q5"];

fn spec() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../spec")
}

/// Compiles and runs the verifier with some of the switches turned on; returns what it printed.
fn run_verifier(on: &[&str]) -> String {
    let name = format!("spec-{}", on.join("-"));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    let pan = dir.join("pan");
    let switches = SWITCHES.map(|switch| format!("-D{switch}={}", u8::from(on.contains(&switch))));
    let compiled = Command::new("gcc")
        .args(GCC_OPTIONS)
        .args(switches)
        .arg("-o")
        .arg(&pan)
        .arg(spec().join("generated/pan.c"))
        .status()
        .unwrap();
    assert!(compiled.success(), "gcc failed: {compiled}");
    // The trail of an error goes into the current folder.
    let ran = Command::new(&pan)
        .args(VERIFIER_OPTIONS)
        .current_dir(&dir)
        .output();
    String::from_utf8(ran.unwrap().stdout).unwrap()
}

/// The assertion that the verifier found violated.
fn violated(report: &str) -> Option<&str> {
    let line = report
        .lines()
        .find(|line| line.contains("assertion violated"))?;
    line.split_once("assertion violated ").map(|(_, what)| what)
}

#[gtest]
fn verifier_is_that_of_the_specification() {
    let source = std::fs::read(spec().join("keeper.pml")).unwrap();
    let recorded = std::fs::read_to_string(spec().join("generated/SOURCE")).unwrap();
    // To mend: spec/generate.sh
    expect_that!(
        recorded.trim(),
        eq(&String::from(Digest::of_bytes(&source)))
    );
}

#[gtest]
fn whole_protocol_has_no_fault() {
    let report = run_verifier(&[]);
    expect_that!(report, contains_substring("errors: 0"));
    expect_that!(report, not(contains_substring("Search not completed")));
    expect_that!(
        report,
        not(contains_substring("max search depth too small"))
    );
}

#[gtest]
fn wanted_end_is_reached() {
    // A model in which nothing can happen has no fault either: here all turns and the call are
    // answered, after the lease changed hands as often as it may.
    let report = run_verifier(&["EXPECT_END"]);
    expect_that!(violated(&report), some(contains_substring("EXPECT_END")));
}

#[gtest]
fn without_fence_compare_a_paused_holder_commits() {
    // Keeper A is paused with a write on its way; its lease lapses and keeper B takes the shard.
    // A's write arrives last, and the journal takes an entry from a keeper that B thinks is gone.
    let report = run_verifier(&["NO_FENCE_COMPARE"]);
    expect_that!(violated(&report), some(contains_substring("fence==fence")));
}

#[gtest]
fn without_head_compare_a_late_write_lands_twice() {
    // The answer to a commit is late; the keeper, still the holder, commits the turn once more.
    // Both writes arrive, the fence fits both, and the turn stands in the journal twice.
    let report = run_verifier(&["NO_HEAD_COMPARE"]);
    expect_that!(violated(&report), some(contains_substring("==(turns[")));
}

#[gtest]
fn without_read_back_a_commit_is_repeated() {
    // A commit took effect and its answer was lost. A keeper that does not look for its own entry
    // takes the new head and writes after it: what was committed is committed again.
    let report = run_verifier(&["NO_READ_BACK"]);
    let twice = any!(
        contains_substring("claim=="),
        contains_substring("==(turns[")
    );
    expect_that!(violated(&report), some(twice));
}

#[gtest]
fn without_claim_first_a_call_is_sent_twice() {
    // A keeper sends an offer letter and is paused before it has noted so. The next keeper finds
    // no trace of the call in the journal and sends it again.
    let report = run_verifier(&["NO_CLAIM_FIRST"]);
    expect_that!(violated(&report), some(contains_substring("calls<=1")));
}

#[gtest]
fn without_digest_check_histories_mix() {
    // The engine's cache holds program B's history, or one of A that never was committed. Turn 2
    // of A names only its new messages, and is answered from the history that lies there.
    let report = run_verifier(&["NO_DIGEST_CHECK"]);
    expect_that!(violated(&report), some(contains_substring("prompt[")));
}

#[gtest]
fn without_both_compares_an_answered_turn_is_lost() {
    // As above, but nothing else stops the paused keeper's write: both keepers commit a turn 1
    // of the same program, and their callers were told of two histories.
    let report = run_verifier(&["NO_FENCE_COMPARE", "NO_HEAD_COMPARE", "ALLOW_STALE"]);
    expect_that!(violated(&report), some(contains_substring("==(turns[")));
}
