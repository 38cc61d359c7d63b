//! Plain calls that are sent to a second upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fw_gate::process::fleet::ListedUpstream;
use fw_gate::process::{features, gate};
use fw_gate::request::{attempt, call, ingress, plain, send};
use fw_gate::version::config;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::startup;
use crate::upstream_list::listed;

const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nsignature: s\r\nid: i\r\nload: 0,0,2,100\r\n\r\nok";
/// Time that the slow upstream takes: far above what a call on the loopback interface takes.
const SLOW: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Upstream {
    delay_ms: AtomicU64,
    /// Whether it closes the connection in place of an answer.
    breaks: AtomicBool,
    received: AtomicU64,
    /// Calls whose connection was closed before their answer.
    abandoned: AtomicU64,
}

impl Upstream {
    async fn start(id: &str) -> (Arc<Self>, ListedUpstream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let listed = ListedUpstream {
            addr: listener.local_addr().unwrap(),
            ..listed(id)
        };
        let upstream = Arc::new(Self::default());
        let shared = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&shared).serve(stream));
            }
        });
        (upstream, listed)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buf = [0; 4096];
        // A request without a body arrives in one piece on the loopback interface.
        while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
            self.received.fetch_add(1, Ordering::Relaxed);
            let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
            let closed = tokio::time::timeout(delay, stream.read(&mut buf)).await;
            if !delay.is_zero() && closed.is_ok() {
                self.abandoned.fetch_add(1, Ordering::Relaxed);
                return;
            }
            if self.breaks.load(Ordering::Relaxed) {
                return;
            }
            stream.write_all(ANSWER).await.unwrap();
        }
    }

    fn slow_down(&self, delay: Duration) {
        let ms = delay.as_millis() as u64;
        self.delay_ms.store(ms, Ordering::Relaxed);
    }

    fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Calls in a row, none of them sent twice, after which the budget allows a second call whatever it was before.
const CALLS_FOR_BUDGET: usize = 25;

/// An entry with two upstreams that has sent more calls than are needed to know the usual time, and may send another
/// one twice: on a busy machine the first calls use up the budget for that.
async fn entry(route: &config::Route, hedge_plain: bool) -> (Arc<gate::Gate>, [Arc<Upstream>; 2]) {
    let gate = gate::Gate::new(gate::Options {
        features: features::Options {
            hedge_plain,
            ..features::Options::default()
        },
        ..startup::options()
    });
    let (one, listed_one) = Upstream::start("x").await;
    let (other, listed_other) = Upstream::start("y").await;
    gate.fleet.put(listed_one);
    gate.fleet.put(listed_other);
    for _ in 0..120 {
        send_call(&gate, route).await;
    }
    let received = || one.received() + other.received();
    let mut single_calls = 0;
    while single_calls < CALLS_FOR_BUDGET {
        let before = received();
        send_call(&gate, route).await;
        single_calls = match received() == before + 1 {
            true => single_calls + 1,
            false => 0,
        };
    }
    (gate, [one, other])
}

/// Sends calls until one has reached `upstream`; returns the time of that call.
async fn time_of_call_to(
    upstream: &Upstream,
    gate: &Arc<gate::Gate>,
    route: &config::Route,
) -> Duration {
    let before = upstream.received();
    loop {
        let started_at = Instant::now();
        send_call(gate, route).await;
        if upstream.received() > before {
            return started_at.elapsed();
        }
    }
}

/// The time of a call to an upstream that has become slow, and how many calls that one saw abandoned.
async fn time_of_slow_call(route: &config::Route, hedge_plain: bool) -> (Duration, u64) {
    let (gate, [slow, _]) = entry(route, hedge_plain).await;
    slow.slow_down(SLOW);
    let took = time_of_call_to(&slow, &gate, route).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    (took, slow.abandoned.load(Ordering::Relaxed))
}

async fn send_call(gate: &Arc<gate::Gate>, route: &config::Route) {
    let call = call::Call::default();
    let out = send::Outbound {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/x"),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        id: hyper::header::HeaderValue::from_static("i"),
    };
    let parts = hyper::Request::new(()).into_parts().0;
    let job = attempt::Job {
        gate,
        route,
        service: &"s".into(),
        call: &call,
        out: &out,
        identity: ingress::identity(&call, "a.example", &parts, &out.body),
        until: Instant::now() + Duration::from_secs(5),
        version: None,
        priority: 0,
        permit: None,
    };
    plain::run(&job, None).await.unwrap();
}

// Guards against a program that waits for one slow upstream, and a slow upstream that works on for nobody.
#[gtest]
#[tokio::test]
async fn take_the_first_answer_and_close_the_other_connection() {
    let route = config::Route {
        attempts: 2,
        ..config::Route::default()
    };
    let (took, abandoned) = time_of_slow_call(&route, true).await;
    expect_that!(took, lt(SLOW));
    expect_that!(abandoned, eq(1));
}

// Guards against a call that fails, or runs a third time, as one of two upstreams breaks its connection while the
// other still works.
#[gtest]
#[tokio::test]
async fn wait_for_the_other_answer_when_one_breaks() {
    let route = config::Route {
        attempts: 2,
        ..config::Route::default()
    };
    let (gate, [broken, slow]) = entry(&route, true).await;
    broken.slow_down(SLOW / 4);
    broken.breaks.store(true, Ordering::Relaxed);
    slow.slow_down(SLOW);
    let before = slow.received() + broken.received();
    let took = time_of_call_to(&broken, &gate, &route).await;
    expect_that!(took, ge(SLOW));
    expect_that!(slow.received() + broken.received(), eq(before + 2));
}

// Guards against a call that runs twice although it may not, and against second calls that nobody asked for.
#[gtest]
#[tokio::test]
async fn are_only_those_that_may_run_at_two_upstreams() {
    let route = |kind, attempts| config::Route {
        kind,
        attempts,
        ..config::Route::default()
    };
    let cases = [
        (route(config::Kind::Unsafe, 2), true),
        (route(config::Kind::Safe, 1), true),
        (route(config::Kind::Safe, 2), false),
    ];
    for (route, hedge_plain) in cases {
        let (took, abandoned) = time_of_slow_call(&route, hedge_plain).await;
        expect_that!(took, ge(SLOW), "with {route:?}");
        expect_that!(abandoned, eq(0), "with {route:?}");
    }
}
