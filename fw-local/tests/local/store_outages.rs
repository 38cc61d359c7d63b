//! The platform's store down or slow while calls go on.

use std::time::Duration;

use fw_base::error;
use fw_conf::entry as entry_conf;
use fw_fake::engine;
use fw_fake::store;
use fw_local::agent;
use fw_local::caller;
use fw_local::system;
use googletest::prelude::*;

use super::rig;

/// An outage longer than every lease of the test's system.
const OUTAGE: Duration = Duration::from_millis(3500);

// The store is away for longer than the keepers' leases. Programs go on all the while; when it is
// back, every turn answered meanwhile is in the journal: another entry knows it after a take-over.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_continue_and_are_stored() {
    let mut system = rig::system().await;
    let caller = caller::Caller::new();
    let opts = agent::Options {
        program: "outage".to_owned(),
        turns: 6,
        pause: OUTAGE / 8,
        delta: true,
        end: false,
        ..agent::Options::default()
    };
    let addrs = system.balancer();
    let task = tokio::spawn(async move { agent::run(&caller, &addrs, &opts).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.store.set_outage(Some(store::Outage::Hang));
    tokio::time::sleep(OUTAGE).await;
    system.store.set_outage(None);
    let outcome = task.await.unwrap();
    expect_true!(outcome.finished);
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_true!(system.stop_entry(0).await);
    let caller = caller::Caller::new();
    let state = caller
        .plain(
            system.callers(1),
            "GET",
            "/v1/programs/outage",
            &[],
            "".into(),
        )
        .await;
    expect_that!(state.body["turn"].as_u64(), some(eq(6)));
    expect_that!(state.body["history"].as_array(), some(eq(&outcome.history)));
}

// The store is away while a case officer's program makes two turns; its keeper and the side hold the
// answers that the officer has seen. Then the keeper dies, before the store is back. Its successor
// finds a journal without these turns: it must have them from the sides, or the officer's next turn
// continues a history that the system does not know.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_survive_their_keeper_in_an_outage() {
    let mut system = rig::system().await;
    let program = rig::kept_by_first(&system, "held");
    let turn = |turn: u32| rig::delta(&program, turn);
    expect_true!(rig::chat(system.callers(0), &turn(1)).await.is_ok());
    system.store.set_outage(Some(store::Outage::Refuse));
    expect_true!(rig::chat(system.callers(0), &turn(2)).await.is_ok());
    let third = rig::chat(system.callers(0), &turn(3)).await;
    expect_true!(third.is_ok());
    system.kill_entry(0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.store.set_outage(None);
    let mut fourth = rig::chat(system.callers(1), &turn(4)).await;
    for _ in 0..10 {
        if fourth.kind != Some(error::Kind::KeeperUnavailable) {
            break;
        }
        fourth = rig::chat(system.callers(1), &turn(4)).await;
    }
    expect_that!(fourth.kind, none());
    let path = format!("/v1/programs/{program}");
    let caller = caller::Caller::new();
    let state = caller
        .plain(system.callers(1), "GET", &path, &[], "".into())
        .await;
    expect_that!(state.body["turn"].as_u64(), some(eq(4)));
    expect_that!(
        state.body["history"][5]["content"].as_str(),
        some(eq(third.text.as_str()))
    );
}

// Without the store no claim can be made durable, so a publish request could run twice. It must be
// refused as not run, at once, and with a time to come back; lookups are answered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_refused_as_not_run() {
    let system = rig::system().await;
    let caller = caller::Caller::new();
    system.store.set_outage(Some(store::Outage::Refuse));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let headers = [("idempotency-key", "page-9".to_owned())];
    let refused = caller
        .plain(system.callers(0), "POST", "/publish", &headers, "{}".into())
        .await;
    expect_that!(refused.ran, some(eq(error::Ran::No)));
    expect_that!(refused.retry_after, some(anything()));
    expect_that!(system.tools[0].upstream.runs_of("page-9"), eq(0));
    let read = caller
        .plain(system.callers(0), "GET", "/case/7", &[], "".into())
        .await;
    expect_that!(read.status, eq(200));
    system.store.set_outage(None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let accepted = caller
        .plain(system.callers(0), "POST", "/publish", &headers, "{}".into())
        .await;
    expect_that!(accepted.status, eq(200));
    expect_that!(system.tools[0].upstream.runs_of("page-9"), eq(1));
}

// One entry alone loses the store while it keeps a case officer's program. After a lease another
// entry takes the program over. The cut-off one must not go on giving out answers: they would be
// missing in the history that the officer's next turn meets.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_alone_gives_out_nothing_new() {
    let system = rig::system().await;
    let program = rig::kept_by_first(&system, "cut");
    let turn = |turn: u32| rig::delta(&program, turn);
    expect_true!(rig::chat(system.callers(0), &turn(1)).await.is_ok());
    system
        .store
        .faults(0, |faults| faults.outage = Some(store::Outage::Hang));
    let mut answers = Vec::new();
    for number in 2..=6 {
        let answer = rig::chat(system.callers(0), &turn(number)).await;
        if !answer.is_ok() {
            break;
        }
        answers.push(answer.text);
    }
    system.store.faults(0, |faults| faults.outage = None);
    let caller = caller::Caller::new();
    let path = format!("/v1/programs/{program}");
    let state = caller
        .plain(system.callers(1), "GET", &path, &[], "".into())
        .await;
    let turns = state.body["turn"].as_u64().unwrap_or(0);
    expect_that!(turns, ge(1 + answers.len() as u64));
    for (n, text) in answers.iter().enumerate() {
        let kept = state.body["history"][2 * (n + 1) + 1]["content"].as_str();
        expect_that!(kept, some(eq(text.as_str())));
    }
}

// The store is away for all while a program makes a turn: its keeper and the side beside the engine
// hold the answer that the caller has. The side dies; the store is back, but not yet for the keeper,
// whose lease lapses. Another entry takes the program from the journal, which lacks the turn, and
// refused the next one as `unknown_program` or `wrong_turn`: it asked the sides that live, and not
// the keeper before it, which lived and had the answer. What showed it: `shards taken` by others 0.9 s
// before the keeper's `lease lapsed`, then `shard lost`.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_survive_their_side_and_a_lapsed_lease() {
    let mut system = rig::system().await;
    let program = rig::kept_by_first(&system, "lapsed");
    system.store.set_outage(Some(store::Outage::Hang));
    let first = rig::chat(system.callers(0), &rig::delta(&program, 1)).await;
    expect_true!(first.is_ok());
    let holder = rig::engine_of(&system, &program);
    system.kill_side(holder);
    // Back for the second entry only.
    system.store.faults(1, |faults| faults.outage = None);
    rig::wait_kept_by(&system, 1, &program).await;
    let next = rig::send_until_kept(system.callers(1), &rig::delta(&program, 2)).await;
    expect_that!(next.kind, none());
    let path = format!("/v1/programs/{program}");
    let caller = caller::Caller::new();
    let state = caller
        .plain(system.callers(1), "GET", &path, &[], "".into())
        .await;
    expect_that!(
        state.body["history"][1]["content"].as_str(),
        some(eq(first.text.as_str()))
    );
    expect_that!(state.body["turn"].as_u64(), some(eq(2)));
}

/// An entry that answers callers and keeps no programs.
fn answers_only() -> entry_conf::Settings {
    let settings = system::quick_entry();
    entry_conf::Settings {
        keeper: entry_conf::Keeper {
            enabled: false,
            ..settings.keeper
        },
        ..settings
    }
}

// One entry alone is cut off from the store for longer than its lease while it ends a turn. It
// breaks the turn off, since another may keep the program by now: its caller hears `keeper_lost`.
// But nobody took the program; with the store back the entry keeps it again, the turn committed.
// The caller sends the turn again, and heard the same error from every entry for a minute: the
// ended attempt was read again in place of the committed answer. What showed it: the decisions of
// all entries end with `fenced`; no placement, failure or refusal follows it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_broken_off_is_answered_again() {
    let mut system = rig::start(system::Options {
        entries: vec!["hall-a"],
        engine: engine::Options {
            step: Duration::from_millis(20),
            ..engine::Options::default()
        },
        ..system::Options::default()
    })
    .await;
    let other = system.add_entry_with("hall-b", answers_only()).await;
    let other = other.unwrap();
    system.wait_ready().await.unwrap();
    let turn = rig::delta("cut-off", 1);
    let (addr, first) = (system.callers(0), turn.clone());
    let task = tokio::spawn(async move { rig::chat(addr, &first).await });
    let engine = rig::busy_engine(&system).await;
    system
        .store
        .faults(0, |faults| faults.outage = Some(store::Outage::Hang));
    rig::wait_committed(&system, 0, "cut-off").await;
    // No second holder: the answer may not be given out before the store has it.
    system.kill_side(engine);
    let broken = task.await.unwrap();
    expect_that!(broken.kind, some(eq(error::Kind::KeeperLost)));
    system.store.faults(0, |faults| faults.outage = None);
    for entry in [other, 0] {
        let again = rig::send_until_kept(system.callers(entry), &turn).await;
        expect_that!(again.kind, none());
        expect_true!(again.is_ok());
    }
}

// An entry starts while the store does not answer it, and callers or other entries reach it all the
// same. It has no operators' records, refused turns for good as `unknown_model`, plain requests as
// `unknown_route`, and took callers of any key for the team without one. It must say that the call
// has not run and may be sent again; the program goes on at the next entry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_records_refuses_only_for_now() {
    let mut system = rig::system().await;
    system
        .store
        .faults(2, |faults| faults.outage = Some(store::Outage::Hang));
    let fresh = system.add_entry("hall-a").await.unwrap();
    let turn = rig::chat(system.callers(fresh), &rig::request("draft")).await;
    expect_that!(turn.kind, some(eq(error::Kind::NotReady)));
    expect_that!(turn.ran, some(eq(error::Ran::No)));
    expect_that!(turn.retry_after, some(anything()));
    let caller = caller::Caller::new();
    let read = caller
        .plain(system.callers(fresh), "GET", "/case/7", &[], "".into())
        .await;
    expect_that!(read.kind, some(eq(error::Kind::NotReady)));
}
