//! Crashes of engines, sides and entries during and between turns.

use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_fake::engine;
use fw_local::agent;
use fw_local::caller;
use fw_local::system;
use googletest::prelude::*;
use serde_json::json;

use super::rig;

/// An engine slow enough to be crashed in the middle of an answer.
fn slow() -> system::Options {
    system::Options {
        engine: engine::Options {
            step: Duration::from_millis(20),
            ..engine::Options::default()
        },
        ..system::Options::default()
    }
}

fn long(text: &str) -> caller::Chat {
    caller::Chat {
        max_tokens: Some(60),
        ..rig::request(text)
    }
}

// An engine crashes while it streams an answer. The turn runs again on another engine; the stream
// must continue where it stopped, with the same text as in an undisturbed run.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_its_engine() {
    let system = rig::start(slow()).await;
    let undisturbed = rig::chat(system.callers(0), &long("draft")).await;
    let addr = system.callers(0);
    let task = tokio::spawn(async move { rig::chat(addr, &long("draft")).await });
    let engine = rig::busy_engine(&system).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    system.engines[engine].upstream.crash();
    let answer = task.await.unwrap();
    expect_that!(answer.kind, none());
    expect_true!(answer.is_ok());
    expect_that!(answer.text, eq(&undisturbed.text));
}

// The side crashes instead of the engine, so that the outcome of the turn is not reported.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_its_side() {
    let mut system = rig::start(slow()).await;
    let addr = system.callers(0);
    let task = tokio::spawn(async move { rig::chat(addr, &long("draft")).await });
    let engine = rig::busy_engine(&system).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    system.kill_side(engine);
    let answer = task.await.unwrap();
    expect_that!(answer.kind, none());
    expect_true!(answer.is_ok());
}

// The entry that keeps a program crashes after two turns, and the load balancer sends the third
// turn to another entry. It must be answered with the whole history in place.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_program_survives_its_keeper() {
    let mut system = rig::system().await;
    let opts = agent::Options {
        turns: 2,
        delta: true,
        end: false,
        ..agent::Options::default()
    };
    let caller = caller::Caller::new();
    let programs: Vec<_> = (0..8).map(|n| format!("case-{n}")).collect();
    for program in &programs {
        let opts = agent::Options {
            program: program.clone(),
            ..opts.clone()
        };
        let outcome = agent::run(&caller, &system.balancer(), &opts).await;
        expect_true!(outcome.finished);
    }
    system.kill_entry(0);
    for program in &programs {
        let chat = caller::Chat {
            headers: vec![
                ("x-program", program.clone()),
                ("x-turn", "3".to_owned()),
                ("x-history", "delta".to_owned()),
            ],
            ..rig::request("offer")
        };
        let answer = rig::chat(system.callers(1), &chat).await;
        expect_that!(answer.kind, none());
        expect_that!(answer.turn, some(eq(3)));
        let path = format!("/v1/programs/{program}");
        let state = caller
            .plain(system.callers(1), "GET", &path, &[], "".into())
            .await;
        expect_that!(state.body["history"].as_array().map(Vec::len), some(eq(6)));
    }
}

// The keeper crashes while it runs a turn that was received by another entry. The caller's
// connection is to the live entry, so it must get its whole answer once the lease has lapsed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_survives_its_keeper() {
    let mut system = rig::start(slow()).await;
    let other = system.entries[1].as_ref().unwrap().entry().clone();
    let mut names = (0..).map(|n| format!("turn-{n}"));
    let kept_by_0 = |name: &String| other.keeper.fence(other.keeper.shard_of(name)).is_none();
    let program = names.find(kept_by_0).unwrap();
    let addr = system.callers(1);
    let chat = caller::Chat {
        headers: vec![("x-program", program)],
        ..long("draft")
    };
    let task = tokio::spawn(async move { rig::chat(addr, &chat).await });
    rig::busy_engine(&system).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    system.kill_entry(0);
    let answer = task.await.unwrap();
    expect_that!(answer.kind, none());
    expect_true!(answer.is_ok());
}

// A request crashes each engine that runs it, and its caller keeps sending it. It is retried once,
// alone on an engine, and then quarantined, so that the third engine survives to answer other
// requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_quarantined() {
    let system = rig::system().await;
    for worker in &system.engines {
        worker.upstream.poison(Some("poison"));
    }
    let poison = caller::Chat {
        headers: vec![("x-program", "bad".to_owned())],
        ..rig::request("poison")
    };
    let mut kinds = Vec::new();
    for _ in 0..4 {
        kinds.extend(rig::chat(system.callers(0), &poison).await.kind);
    }
    expect_that!(kinds.last(), some(eq(&error::Kind::Quarantined)));
    let good = rig::chat(system.callers(0), &rig::request("good")).await;
    expect_that!(good.kind, none());
}

// Guards against a quarantine that holds only for programs of one keeper.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_holds_for_all_keepers() {
    let system = rig::system().await;
    for worker in &system.engines {
        worker.upstream.poison(Some("poison"));
    }
    let mut is_quarantined = false;
    for index in 0..16 {
        let poison = caller::Chat {
            headers: vec![("x-program", format!("bad-{index}"))],
            ..rig::request("poison")
        };
        let kind = rig::chat(system.callers(index % 2), &poison).await.kind;
        let is_sent_on = is_quarantined && kind == Some(error::Kind::UpstreamCrashed);
        expect_false!(is_sent_on, "program {index}");
        is_quarantined |= kind == Some(error::Kind::Quarantined);
    }
    expect_true!(is_quarantined);
}

// Guards against an entry that starts later and lets a request in quarantine crash further engines.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_reaches_an_entry_that_starts_later() {
    let mut system = rig::system().await;
    for worker in &system.engines {
        worker.upstream.poison(Some("poison"));
    }
    let send = async |addr, program: String| {
        let poison = caller::Chat {
            headers: vec![("x-program", program)],
            ..rig::request("poison")
        };
        rig::chat(addr, &poison).await.kind
    };
    let mut kind = None;
    for index in 0..4 {
        kind = send(system.callers(0), format!("before-{index}")).await;
    }
    expect_that!(kind, some(eq(error::Kind::Quarantined)));
    let joined = system.add_entry("surat-hall-a").await.unwrap();
    let keeper = &system.entries[joined].as_ref().unwrap().entry().keeper;
    let keeps = |name: &String| keeper.fence(keeper.shard_of(name)).is_some();
    let kept = async {
        loop {
            if let Some(name) = (0..10_000).map(|index| format!("p-{index}")).find(keeps) {
                return name;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let kept = tokio::time::timeout(Duration::from_secs(20), kept).await;
    let kind = send(system.callers(joined), kept.unwrap()).await;
    expect_that!(kind, some(eq(error::Kind::Quarantined)));
}

// Guards against a team that has the requests of another team refused.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_holds_for_one_team_only() {
    let system = rig::system().await;
    let mut revision = 0;
    for team in ["traders", "officers"] {
        let hash = String::from(digest::Digest::of_bytes(team.as_bytes()));
        let record = json!({ "schema": 2, "key_hashes": [hash] });
        let put = system.put_record("team", team, 0, &record).await;
        revision = put.body["revision"].as_i64().unwrap();
    }
    let in_force = async {
        while system.revision_in_force() < revision {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), in_force)
        .await
        .unwrap();
    let send = async |key: &str| {
        let poison = caller::Chat {
            headers: vec![("authorization", format!("Bearer {key}"))],
            ..rig::request("poison")
        };
        rig::chat(system.callers(0), &poison).await.kind
    };
    for worker in &system.engines {
        worker.upstream.poison(Some("poison"));
    }
    let mut kind = None;
    for _ in 0..4 {
        kind = send("traders").await;
    }
    expect_that!(kind, some(eq(error::Kind::Quarantined)));
    for worker in &system.engines {
        worker.upstream.poison(None);
    }
    expect_that!(send("officers").await, none());
}
