//! Outages of the platform's store during calls.

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

/// Duration of an outage, longer than every lease of the test's system.
const OUTAGE: Duration = Duration::from_millis(3500);

// The store is unavailable for longer than the keepers' leases. Programs must continue meanwhile,
// and every turn answered in the outage must be in the journal once the store is back, so that
// another entry has it after a takeover.
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

// The store is unavailable while a program makes two turns, so only its keeper and the side hold
// their answers. The keeper crashes before the store is back. Its successor finds a journal without
// these turns and must recover them from the sides; otherwise the caller's next turn would continue
// a history that the system has lost.
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
// refused at once as not run, with a retry delay; lookups must still be answered.
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

// One entry alone is cut off from the store while it keeps a program, and another entry takes the
// program over once the lease has lapsed. The cut-off entry must stop giving out answers: they
// would be missing from the history that the next turn continues.
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

// A takeover must recover turns from the previous keeper too, not only from the sides. The store is
// unavailable to all while a program makes a turn, so only its keeper and the engine's side hold
// the answer. The side crashes, and the store is back for the other entry but not for the keeper,
// whose lease lapses. The other entry loads the program from the journal, which lacks the turn. It
// used to query only the live sides and not the previous keeper, which was alive and had the
// answer, and refused the next turn as `unknown_program` or `wrong_turn`. Seen in the log as
// `shards taken` by others 0.9 s before the keeper's `lease lapsed`, then `shard lost`.
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
    // The store is available again to the second entry only.
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

/// Settings of an entry that answers callers and keeps no programs.
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

// One entry alone is cut off from the store for longer than its lease while it finishes a turn. It
// aborts the turn with `keeper_lost`, since another entry may keep the program by now. But no entry
// took the program over; when the store is back the entry keeps it again, with the turn committed.
// A retry of the turn used to get the same error from every entry for a minute, because the ended
// attempt was read in place of the committed answer. Seen in the decisions of all entries, which
// ended with `fenced` and had no placement, failure or refusal after it.
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
    // Without a second copy at the side, the answer may not be given out before the store has it.
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

// An entry starts while it cannot reach the store, yet callers and other entries can reach it.
// Without the operators' records it used to refuse turns permanently as `unknown_model` and plain
// requests as `unknown_route`, and assigned callers with any key to the team without one. Its
// errors must state that the call has not run and may be retried, so that the program continues at
// the next entry.
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
