//! Watches across lost and dead connections, outages and compaction.

use std::time::Duration;

use fw_fake::store;
use fw_store::error::Error;
use fw_store::watch;
use googletest::prelude::*;

use crate::connect;
use crate::start;

/// Maximum number of batches and errors to skip while waiting for an event.
const MAX_STEPS: usize = 200;

/// Longest wait for one step, so that a watch that never wakes fails its test.
const STEP: Duration = Duration::from_secs(20);

/// The next batch with events; skips progress notifications and transient errors.
async fn next_events(watch: &mut watch::Watch) -> watch::Batch {
    for _ in 0..MAX_STEPS {
        let step = tokio::time::timeout(STEP, watch.next()).await;
        match step.expect("a watch wakes within a step") {
            Ok(batch) if !batch.events.is_empty() => return batch,
            Err(err @ Error::Compacted { .. }) => panic!("{err}"),
            Ok(_) | Err(_) => (),
        }
    }
    panic!("no event in {MAX_STEPS} steps");
}

#[gtest]
#[tokio::test]
async fn events_come_in_order_from_the_revision() {
    let store = start().await;
    store.put("/a/0", "before");
    let from = store.put("/a/1", "one");
    store.put("/b", "other");
    let last = store.delete("/a/1");
    let mut watch = connect(store.endpoints()).watch("/a/", from);
    let batch = next_events(&mut watch).await;
    let kinds: Vec<_> = batch.events.iter().map(|event| event.kind).collect();
    expect_eq!(kinds, vec![watch::EventKind::Put, watch::EventKind::Delete]);
    expect_eq!(batch.revision, last);
}

#[gtest]
#[tokio::test]
async fn progress_advances_without_events() {
    let store = start().await;
    let newest = store.put("/b", "other");
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    let batch = watch.next().await.unwrap();
    expect_that!(batch.events, is_empty());
    expect_eq!(batch.revision, newest);
}

#[gtest]
#[tokio::test]
async fn silent_connection_is_replaced_without_loss() {
    // A middlebox drops the state of a watch's connection, which stays open but delivers no events, so an
    // entry would use an old record forever. The watch must detect this, reconnect and still deliver
    // every change once.
    let store = start().await;
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    store.put("/a/1", "one");
    expect_that!(next_events(&mut watch).await.events, len(eq(1)));
    store.stall_watches(0);
    store.put("/a/2", "two");
    let batch = next_events(&mut watch).await;
    expect_that!(batch.events, len(eq(1)));
    expect_eq!(batch.events[0].kv.key, "/a/2");
}

#[gtest]
#[tokio::test]
async fn silence_is_detected_for_a_caller_that_polls() {
    // As above, but the caller waits in a `select!` whose other branch often completes first, so that each
    // future of `next` is dropped long before the idle time-out.
    let store = start().await;
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    store.put("/a/1", "one");
    next_events(&mut watch).await;
    store.stall_watches(0);
    store.put("/a/2", "two");
    let mut seen = None;
    for _ in 0..MAX_STEPS {
        let polled = tokio::time::timeout(Duration::from_millis(10), watch.next()).await;
        if let Ok(Ok(batch)) = polled
            && !batch.events.is_empty()
        {
            seen = Some(batch);
            break;
        }
    }
    expect_eq!(seen.unwrap().events[0].kv.key, "/a/2");
}

#[gtest]
#[tokio::test]
async fn outage_delays_events_and_loses_none() {
    let store = start().await;
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    store.put("/a/1", "one");
    next_events(&mut watch).await;
    store.set_outage(Some(store::Outage::Refuse));
    store.put("/a/2", "two");
    let ended = async {
        for _ in 0..MAX_STEPS {
            if watch.next().await.is_err() {
                return true;
            }
        }
        false
    };
    expect_true!(ended.await);
    store.set_outage(None);
    expect_eq!(next_events(&mut watch).await.events[0].kv.key, "/a/2");
}

#[gtest]
#[tokio::test]
async fn compaction_is_reported() {
    let store = start().await;
    store.put("/a/1", "one");
    let newest = store.put("/a/2", "two");
    store.compact(newest);
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    let err = watch.next().await.unwrap_err();
    let revision = newest + 1;
    expect_true!(matches!(err, Error::Compacted { revision: r } if r == revision));
}

// Guards against a stand-in that sends the whole history of a watch in one message.
#[gtest]
#[tokio::test]
async fn history_comes_in_parts() {
    let store = start().await;
    let keys: Vec<String> = (0..2_500).map(|n| format!("/a/{n:04}")).collect();
    for key in &keys {
        store.put(key, "x");
    }
    let mut watch = connect(store.endpoints()).watch("/a/", 1);
    let mut seen = Vec::new();
    while seen.len() < keys.len() {
        let batch = next_events(&mut watch).await;
        expect_that!(batch.events.len(), le(1_000));
        seen.extend(batch.events.into_iter().map(|event| event.kv.key));
    }
    expect_eq!(seen, keys);
}
