//! The commands against a real entry over a stand-in of the store.

use std::time::Duration;

use foxtailweir::admin;
use foxtailweir::command::exit;
use foxtailweir::serve;
use fw_conf::entry;
use fw_entry::process::serve::Addresses;
use fw_fake::store;
use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::file;
use crate::run_beside;

/// Longest wait for an entry's start; a bound for the test, not a goal.
const PATIENCE: Duration = Duration::from_secs(20);

struct Entry {
    addrs: Addresses,
    stop: oneshot::Sender<()>,
    task: JoinHandle<bool>,
}

async fn start(store: &store::Store) -> Entry {
    let mut settings = entry::Settings::default();
    let endpoints = store.endpoints();
    settings.store.endpoints = endpoints.iter().map(|e| e.parse().unwrap()).collect();
    settings.listen.admin.set_port(0);
    settings.shutdown.drain_timeout = Duration::from_secs(2);
    let (started_tx, started) = oneshot::channel();
    let (stop, stop_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        let started = move |addrs| started_tx.send(addrs).unwrap();
        let told = async move { drop(stop_rx.await) };
        let stopped = serve::run(settings, None, started, told).await;
        stopped.unwrap().drained
    });
    let started = tokio::time::timeout(PATIENCE, started).await;
    let addrs = started.expect("an entry starts").unwrap();
    Entry { addrs, stop, task }
}

/// Waits until the entry knows of `count` processes.
async fn know(entry: &Entry, count: usize) {
    let client = admin::Client::new(entry.addrs.admin.to_string());
    let known = async {
        while client.in_force(0).await.unwrap().of < count {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let known = tokio::time::timeout(PATIENCE, known).await;
    known.expect("entries find each other");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_at_all_entries() {
    let store = store::Store::start(store::Options::default())
        .await
        .unwrap();
    let first = start(&store).await;
    let second = start(&store).await;
    know(&first, 2).await;
    let path = file(
        "real.json",
        r#"{"kind": "team", "name": "real", "record": {"schema": 2, "share": 2}}"#,
    );
    let line = format!("records put {path} --timeout 20s -e {}", first.addrs.admin);
    let put = run_beside(line).await;
    expect_eq!(put.exit, exit::Exit::Success, "{}", put.err);
    expect_that!(put.err, contains_substring("in force at 2 of 2"));
    let listed = run_beside(format!("records list -e {}", second.addrs.admin)).await;
    expect_that!(listed.out, contains_substring("team/real"));
    let programs = run_beside(format!("programs -e {}", second.addrs.admin)).await;
    expect_eq!(programs.exit, exit::Exit::Success);
    let unknown = run_beside(format!("explain nobody -e {}", second.addrs.admin)).await;
    expect_that!(unknown.err, contains_substring("its keeper:"));
    for entry in [first, second] {
        entry.stop.send(()).unwrap();
        expect_true!(entry.task.await.unwrap());
    }
}
