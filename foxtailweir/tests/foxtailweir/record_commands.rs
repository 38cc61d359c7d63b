//! Commands that call an entry's admin API.

use foxtailweir::command::exit;
use googletest::prelude::*;
use serde_json::Value;

use crate::run_blocking;
use crate::standin;
use crate::write_file;

const TEAM: &str = r#"{"kind": "team", "name": "t", "record": {"schema": 2, "share": 1.5}}"#;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn put_waits_until_it_is_in_force_everywhere() {
    let entry = standin::start(3).await;
    let path = write_file("put.json", TEAM);
    let ran = run_blocking(format!("records put {path} --entry {}", entry.addr)).await;
    expect_eq!(ran.exit, exit::Exit::Success);
    expect_that!(
        ran.err,
        contains_substring("in force at 0 of 3; waiting for entry-0")
    );
    expect_that!(ran.err, contains_substring("in force at 3 of 3"));
    let stored = entry.store.get("/fw/records/team/t").unwrap();
    expect_eq!(ran.out.trim(), stored.mod_revision.to_string());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn put_reports_waiting_processes_at_its_timeout() {
    // One process is unreachable, so the change never reaches it. The output must report this, and
    // also that the change is accepted: putting it again would be a conflict with itself.
    let entry = standin::start(2).await;
    let path = write_file("late.json", TEAM);
    let line = format!("records put {path} --timeout 1s --entry {}", entry.addr);
    let ran = run_blocking(line).await;
    expect_eq!(ran.exit, exit::Exit::Failure);
    expect_that!(
        ran.err,
        contains_substring("in force at 2 of 3; waiting for entry-2")
    );
    expect_that!(ran.err, contains_substring("the change stays"));
    expect_true!(entry.store.get("/fw/records/team/t").is_some());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shrinking_count_is_not_taken_for_everywhere() {
    // One of three entries is partitioned from the store. It still serves callers with its old
    // records, while its lease lapses and it drops out of the list of entries. A report of "2 of 2"
    // would lead the operator to believe that the change is complete.
    let entry = standin::start_with(2, true).await;
    let path = write_file("drops.json", TEAM);
    let line = format!("records put {path} --timeout 2s --entry {}", entry.addr);
    let ran = run_blocking(line).await;
    expect_eq!(ran.exit, exit::Exit::Failure);
    expect_that!(
        ran.err,
        contains_substring("in force at 2 of 2; 1 seen before no longer")
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn get_prints_what_put_takes() {
    let entry = standin::start(3).await;
    let addr = &entry.addr;
    let path = write_file("first.json", TEAM);
    run_blocking(format!("records put {path} -e {addr}")).await;
    let got = run_blocking(format!("records get team/t -e {addr}")).await;
    let edited = got.out.replace("1.5", "2.5");
    let path = write_file("second.json", &edited);
    let ran = run_blocking(format!("records put {path} -e {addr}")).await;
    expect_eq!(ran.exit, exit::Exit::Success);
    let listed = run_blocking(format!("records list -e {addr}")).await;
    expect_that!(listed.out, contains_substring(ran.out.trim()));
    let history = run_blocking(format!("records history team/t -e {addr}")).await;
    expect_eq!(history.out, got.out);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn conflict_shows_both_versions() {
    // Two operators edit the same version; the second must be shown the version that the first
    // stored, beside their own, instead of overwriting it.
    let entry = standin::start(3).await;
    let addr = &entry.addr;
    let path = write_file("mine.json", TEAM);
    run_blocking(format!("records put {path} -e {addr}")).await;
    let path = write_file("yours.json", &TEAM.replace("1.5", "7.5"));
    let ran = run_blocking(format!("records put {path} -e {addr}")).await;
    expect_eq!(ran.exit, exit::Exit::Failure);
    expect_that!(ran.err, contains_substring("\"share\": 7.5"));
    expect_that!(ran.err, contains_substring("\"share\": 1.5"));
    expect_that!(ran.err, contains_substring("--revision"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn delete_takes_the_present_version() {
    let entry = standin::start(3).await;
    let addr = &entry.addr;
    let path = write_file("gone.json", TEAM);
    run_blocking(format!("records put {path} -e {addr}")).await;
    let ran = run_blocking(format!("records delete team/t -e {addr}")).await;
    expect_eq!(ran.exit, exit::Exit::Success);
    let again = run_blocking(format!("records delete team/t -e {addr}")).await;
    expect_eq!(again.exit, exit::Exit::Failure);
    expect_that!(again.err, contains_substring("no record team/t"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_record_names_its_field() {
    let entry = standin::start(3).await;
    let bad = write_file("bad.json", &TEAM.replace("1.5", "0"));
    let ran = run_blocking(format!("records put {bad} -e {}", entry.addr)).await;
    expect_eq!(ran.exit, exit::Exit::Failure);
    expect_that!(
        ran.err,
        contains_substring("`share` must be a number from 0.01")
    );
    let odd = write_file("odd.json", &TEAM.replace("share", "sahre"));
    let ran = run_blocking(format!("records put {odd} -e {}", entry.addr)).await;
    expect_that!(ran.err, contains_substring("field `sahre` is unknown"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_and_explanations_are_printed() {
    let entry = standin::start(3).await;
    let addr = &entry.addr;
    let programs = run_blocking(format!("programs -e {addr}")).await;
    expect_that!(programs.out, contains_substring("p-1"));
    let explained = run_blocking(format!("explain p-1 -e {addr}")).await;
    expect_eq!(explained.exit, exit::Exit::Success);
    expect_that!(
        explained.out,
        contains_substring("cache of 700 tokens at w1")
    );
    let unknown = run_blocking(format!("explain p-2 -e {addr}")).await;
    expect_eq!(unknown.exit, exit::Exit::Failure);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_is_away_is_named() {
    let entry = standin::start(3).await;
    // Nothing listens on port 1 of the loopback interface.
    let ran = run_blocking("records list -e 127.0.0.1:1".to_owned()).await;
    expect_eq!(ran.exit, exit::Exit::Failure);
    expect_that!(ran.err, contains_substring("127.0.0.1:1"));
    let list = run_blocking(format!("records list -e {}", entry.addr)).await;
    expect_eq!(list.exit, exit::Exit::Success);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn printed_record_is_json() {
    let entry = standin::start(3).await;
    entry
        .store
        .put("/fw/records/team/t", r#"{"schema": 1, "weight": "much"}"#);
    let got = run_blocking(format!("records get team/t -e {}", entry.addr)).await;
    let json: Value = serde_json::from_str(&got.out).unwrap();
    expect_eq!(json["record"]["weight"], "much");
    expect_that!(got.err, contains_substring("cannot be read"));
}
