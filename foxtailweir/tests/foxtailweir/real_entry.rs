//! The commands against a real entry and a fake store.

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

use crate::run_blocking;
use crate::write_file;

/// Longest wait for an entry to start or to report a state; bounds the test only.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Entry {
    addrs: Addresses,
    stop: oneshot::Sender<()>,
    task: JoinHandle<bool>,
}

/// Starts an entry that reaches the store through one of its ports.
async fn start(store: &store::Store, port: usize) -> Entry {
    let mut settings = entry::Settings::default();
    settings.store.endpoints = vec![store.endpoint(port).parse().unwrap()];
    settings.keeper.lease_ttl = Duration::from_secs(1);
    settings.listen.admin.set_port(0);
    settings.shutdown.drain_timeout = Duration::from_secs(2);
    let (started_tx, started) = oneshot::channel();
    let (stop, stop_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        let started = move |addrs| started_tx.send(addrs).unwrap();
        let stopped_by = async move { drop(stop_rx.await) };
        let stopped = serve::run(settings, None, started, stopped_by).await;
        stopped.unwrap().drained
    });
    let started = tokio::time::timeout(TIMEOUT, started).await;
    let addrs = started.expect("an entry starts").unwrap();
    Entry { addrs, stop, task }
}

/// Waits until the state that the entry reports for `revision` satisfies `wanted`.
async fn wait_reported(entry: &Entry, revision: i64, wanted: impl Fn(&admin::InForce) -> bool) {
    let client = admin::Client::new(entry.addrs.admin.to_string());
    let reported = async {
        while !wanted(&client.in_force(revision).await.unwrap()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reported = tokio::time::timeout(TIMEOUT, reported).await;
    reported.expect("the entry reports what is wanted");
}

/// Waits until the entry lists `count` processes.
async fn wait_listed(entry: &Entry, count: usize) {
    wait_reported(entry, 0, |state| state.of == count).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_at_all_entries() {
    let store = store::Store::start(store::Options::default())
        .await
        .unwrap();
    let first = start(&store, 0).await;
    let second = start(&store, 0).await;
    wait_listed(&first, 2).await;
    let path = write_file(
        "real.json",
        r#"{"kind": "team", "name": "real", "record": {"schema": 2, "share": 2}}"#,
    );
    let line = format!("records put {path} --timeout 20s -e {}", first.addrs.admin);
    let put = run_blocking(line).await;
    expect_eq!(put.exit, exit::Exit::Success, "{}", put.err);
    expect_that!(put.err, contains_substring("in force at 2 of 2"));
    let listed = run_blocking(format!("records list -e {}", second.addrs.admin)).await;
    expect_that!(listed.out, contains_substring("team/real"));
    let programs = run_blocking(format!("programs -e {}", second.addrs.admin)).await;
    expect_eq!(programs.exit, exit::Exit::Success);
    let unknown = run_blocking(format!("explain nobody -e {}", second.addrs.admin)).await;
    expect_that!(unknown.err, contains_substring("its keeper:"));
    for entry in [first, second] {
        entry.stop.send(()).unwrap();
        expect_true!(entry.task.await.unwrap());
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_an_entry_that_is_cut_off_from_the_store() {
    // One of two entries cannot reach the store, but still reaches the other entry and its callers.
    // A record is changed through the other entry. The first receives the newer revision number
    // with every status exchange; if it read records from the store alone, it would serve with the
    // old ones for as long as the partition lasts.
    let opts = store::Options {
        ports: 2,
        ..store::Options::default()
    };
    for cut in [0, 1] {
        let store = store::Store::start(opts.clone()).await.unwrap();
        let entries = [start(&store, 0).await, start(&store, 1).await];
        wait_listed(&entries[0], 2).await;
        wait_listed(&entries[1], 2).await;
        store.faults(cut, |f| f.outage = Some(store::Outage::Hang));
        let path = write_file(
            &format!("cut{cut}.json"),
            r#"{"kind": "team", "name": "real", "record": {"schema": 2, "share": 2}}"#,
        );
        let admin = entries[1 - cut].addrs.admin;
        let line = format!("records put {path} --timeout 20s -e {admin}");
        let put = run_blocking(line).await;
        expect_eq!(put.exit, exit::Exit::Success, "{}", put.err);
        expect_that!(put.err, contains_substring("in force at 2 of 2"));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_an_entry_whose_lease_lapsed_in_the_cut() {
    // As above, but the partition outlasts the entry's lease, and the other entries no longer list
    // it. It still serves its callers, so it must still obtain changes by querying other entries.
    let opts = store::Options {
        ports: 2,
        ..store::Options::default()
    };
    let store = store::Store::start(opts).await.unwrap();
    let cut = start(&store, 0).await;
    let other = start(&store, 1).await;
    wait_listed(&cut, 2).await;
    wait_listed(&other, 2).await;
    store.faults(0, |f| f.outage = Some(store::Outage::Hang));
    wait_listed(&other, 1).await;
    let path = write_file(
        "lapsed.json",
        r#"{"kind": "team", "name": "real", "record": {"schema": 2, "share": 2}}"#,
    );
    let put = run_blocking(format!("records put {path} -e {}", other.addrs.admin)).await;
    let revision = put.out.trim().parse().unwrap();
    wait_reported(&cut, revision, |state| state.waiting.is_empty()).await;
}
