//! Connections to replicas that are down or are being made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use fw_replica::client::Client;
use fw_replica::links::Links;
use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Much longer than the pause between two attempts, also on a loaded machine.
const LONG: Duration = Duration::from_secs(20);

async fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

// Guards against turns refused after the replicas are back. All power is lost and returns. An entry
// is up first; its callers' turns find no replica and wait. The replicas are up some hundred
// milliseconds later, and the turns are still refused unless the entry keeps reconnecting between
// calls.
#[gtest]
#[tokio::test]
async fn are_tried_again_without_another_call() {
    let addr = free_addr().await;
    let client = Client::new(1, Vec::new());
    expect_that!(client.ping(addr, None).await, none());
    let listener = TcpListener::bind(addr).await.unwrap();
    let connected = tokio::time::timeout(LONG, listener.accept()).await;
    expect_that!(connected, ok(ok(anything())));
}

// Guards against calls that queue for a replica that is gone for good. After one call has found it
// down, further calls must not each wait for a connection of their own: they fail at once while the
// entry reconnects in the background.
#[gtest]
#[tokio::test(start_paused = true)]
async fn hold_no_further_call_up() {
    let addr = free_addr().await;
    let client = Client::new(1, Vec::new());
    expect_that!(client.ping(addr, None).await, none());
    let begun = tokio::time::Instant::now();
    for _ in 0..100 {
        expect_that!(client.ping(addr, None).await, none());
    }
    expect_that!(begun.elapsed(), eq(Duration::ZERO));
}

// Guards against calls refused for the rest of a partition. A partitioned entry reaches the
// replicas through another entry, which is restarted. For a short time no relay works; callers were
// then refused until the partition ended, as only the direct route was retried.
#[gtest]
#[tokio::test]
async fn are_tried_again_by_way_of_other_entries() {
    let replica = free_addr().await;
    let links = Links::default();
    links.set_members(vec![replica]);
    let ping = links.call(
        replica,
        |client, cx| async move { client.ping(cx, None).await },
    );
    expect_that!(ping.await, none());
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    links.set_relays(&[relay.local_addr().unwrap()]);
    let accepted = tokio::time::timeout(LONG, relay.accept()).await;
    expect_that!(accepted, ok(ok(anything())));
}

// Guards against a failing first call after a replica's restart, made over the connection to its
// previous start.
#[gtest]
#[tokio::test]
async fn are_made_again_before_the_next_call() {
    let replica = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = replica.local_addr().unwrap();
    let links = Links::default();
    let use_link = async || links.call(addr, |_, _| async { Ok(()) }).await;
    let (used, accepted) = tokio::join!(use_link(), replica.accept());
    expect_that!(used, some(anything()));
    drop(accepted);
    let again = async {
        loop {
            use_link().await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let accepted = tokio::time::timeout(LONG, replica.accept());
    tokio::select! {
        accepted = accepted => expect_that!(accepted, ok(ok(anything()))),
        () = again => {}
    }
}

/// Calls that wait for one connection.
const WAITING_CALLS: usize = 200;
/// Rounds over all tasks that are ready, in which all of these calls have to go on once it is made.
const MAX_ROUNDS: usize = 20;

/// Spawns a task that is always ready and counts how often it runs: once in each round over the tasks that are
/// ready.
fn count_rounds(tasks: &mut JoinSet<()>) -> Arc<AtomicUsize> {
    let rounds = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&rounds);
    tasks.spawn(std::future::poll_fn(move |cx| {
        counted.fetch_add(1, Ordering::Relaxed);
        cx.waker().wake_by_ref();
        Poll::Pending
    }));
    rounds
}

// Guards against calls that get a replica's connection one at a time, each after all other tasks have run.
#[gtest]
#[tokio::test]
async fn are_shared_by_all_waiting_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let links = Arc::new(Links::default());
    let mut busy = JoinSet::new();
    let rounds = count_rounds(&mut busy);
    let mut calls = JoinSet::new();
    for _ in 0..WAITING_CALLS {
        let (links, rounds) = (Arc::clone(&links), Arc::clone(&rounds));
        calls.spawn(async move {
            let call = links.call(addr, async |_, _| Ok(()));
            call.await.unwrap();
            rounds.load(Ordering::Relaxed)
        });
    }
    let connected_at = calls.join_all().await;
    let (first, last) = (connected_at.iter().min(), connected_at.iter().max());
    expect_that!(last.unwrap() - first.unwrap(), le(MAX_ROUNDS));
}

// Guards against calls that pile up behind a replica which accepts connections and does not answer.
#[gtest]
#[tokio::test]
async fn refuse_more_calls_than_may_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = Client::new(1, Vec::new());
    client.set_max_calls(2);
    let mut calls = JoinSet::new();
    for _ in 0..2 {
        let client = Arc::clone(&client);
        calls.spawn(async move { client.ping(addr, None).await });
    }
    tokio::task::yield_now().await;
    expect_that!(client.calls(), eq(2));
    expect_that!(
        futures_util::poll!(Box::pin(client.ping(addr, None))),
        eq(&Poll::Ready(None))
    );
    calls.shutdown().await;
    expect_that!(client.calls(), eq(0));
}
