//! Calls that may run at one software version only.

use std::sync::Arc;
use std::time::Duration;

use fw_base::error;
use fw_gate::process::fleet::{Criteria, Fleet, ListedUpstream};
use fw_gate::request::{attempt, call, ingress, send};
use fw_gate::version::config;
use fw_replica::streams;
use googletest::prelude::*;

use crate::startup;
use crate::upstream_list::{fleet, listed};

/// Calls that fill an upstream of [`listed`]: its two slots, and two calls that queue there.
const FULL: usize = 4;

fn versioned(id: &str, version: &str) -> ListedUpstream {
    ListedUpstream {
        version: version.into(),
        ..listed(id)
    }
}

fn bound(version: &streams::Version) -> Criteria<'_> {
    Criteria {
        version: Some(version),
        ..Criteria::default()
    }
}

fn two_versions() -> Arc<Fleet> {
    let fleet = fleet();
    fleet.put(versioned("x", "v1"));
    fleet.put(versioned("y", "v2"));
    fleet
}

// Guards against a stream that goes on at another version as its own is busy.
#[gtest]
fn go_to_a_busy_upstream_of_their_version() {
    let fleet = two_versions();
    let version = "v1".into();
    let leases = (0..8).map(|_| fleet.choose(&"s".into(), &bound(&version)).unwrap());
    let leases: Vec<_> = leases.collect();
    let ids: Vec<_> = leases.iter().map(|lease| lease.id.to_string()).collect();
    expect_that!(ids, each(eq("x")));
}

// Guards against a stream that goes on at an upstream which has crashed, and may be back at another version.
#[gtest]
fn avoid_a_crashed_upstream_until_it_is_listed_anew() {
    let fleet = fleet();
    fleet.put(versioned("x", "v1"));
    let version = "v1".into();
    let lease = fleet.choose(&"s".into(), &bound(&version)).unwrap();
    fleet.mark_ended(&"s".into(), &lease.incarnation());
    let refused = fleet.choose(&"s".into(), &bound(&version)).unwrap_err();
    expect_that!(refused.kind, eq(error::Kind::VersionGone));
    let again = fleet.lease_again(&"s".into(), &"x".into(), Some(&version));
    expect_that!(again, none());
    let any_version = fleet.choose(&"s".into(), &Criteria::default());
    expect_that!(any_version, ok(anything()));
    fleet.put(ListedUpstream {
        started_at: 2,
        ..versioned("x", "v1")
    });
    let lease = fleet.choose(&"s".into(), &bound(&version));
    expect_that!(lease, ok(anything()));
}

// Guards against a stream that waits, or goes on elsewhere, when its version has gone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn are_refused_at_once_without_their_version() {
    let fleet = two_versions();
    fleet.put(ListedUpstream {
        takes_work: false,
        ..versioned("x", "v1")
    });
    let version = "v1".into();
    let started = tokio::time::Instant::now();
    let err = fleet
        .acquire(&"s".into(), &bound(&version))
        .await
        .unwrap_err();
    expect_that!(err.kind, eq(error::Kind::VersionGone));
    expect_that!(started.elapsed(), eq(Duration::ZERO));
}

// Guards against calls that wait behind one whose version is full, while another version has room.
#[gtest]
#[tokio::test(start_paused = true)]
async fn hold_up_no_others() {
    let fleet = two_versions();
    let service = "s".into();
    let at_x = (0..FULL).map(|_| fleet.lease_again(&service, &"x".into(), None));
    let _at_x: Vec<_> = at_x.collect();
    let version = "v1".into();
    let criteria = bound(&version);
    let any = Criteria::default();
    let (mut waiting, free) = (
        std::pin::pin!(fleet.acquire(&service, &criteria)),
        fleet.acquire(&service, &any),
    );
    expect_true!(futures_util::poll!(&mut waiting).is_pending());
    let started = tokio::time::Instant::now();
    expect_that!(free.await.map(|lease| lease.id.clone()), ok(eq("y")));
    expect_that!(started.elapsed(), eq(Duration::ZERO));
}

// Guards against a stream that goes on at an upstream which has restarted with another version.
#[gtest]
fn do_not_return_to_an_upstream_with_another_version() {
    let fleet = two_versions();
    let (service, version) = ("s".into(), "v1".into());
    let lease = fleet.choose(&service, &bound(&version)).unwrap();
    fleet.put(versioned("x", "v2"));
    expect_false!(lease.is_valid());
    let again = fleet.lease_again(&service, &"x".into(), Some(&version));
    expect_that!(again.is_none(), eq(true));
    expect_that!(fleet.choose(&service, &bound(&version)).is_err(), eq(true));
}

// Guards against a caller that learns of, or takes up, the stream of another team.
#[gtest]
fn are_bound_by_streams_of_their_own_team() {
    let call = call::Call {
        resumed_stream: Some("a".into()),
        ..call::Call::default()
    };
    let of_team = |team: &str| call.clone().scoped_to(&team.into()).resumed_stream;
    expect_that!(of_team("one"), not(eq(&of_team("two"))));
    expect_that!(of_team("one"), not(eq(&call.resumed_stream)));
}

// Guards against a caller that evades admission control, and overtakes others, by a header.
#[gtest]
#[tokio::test]
async fn are_those_that_take_up_a_known_stream() {
    let gate = startup::gate();
    let call = call::Call {
        program: Some("p".into()),
        resume_after: Some("0".into()),
        ..call::Call::default()
    };
    let route = config::Route {
        kind: config::Kind::Stream,
        ..config::Route::default()
    };
    let out = send::Outbound {
        method: hyper::Method::POST,
        uri: hyper::Uri::from_static("/x"),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        id: hyper::header::HeaderValue::from_static("id"),
    };
    let parts = hyper::Request::new(()).into_parts().0;
    let version = streams::Version::from("v1");
    let begins = |version| {
        let job = attempt::Job {
            gate: &gate,
            route: &route,
            service: &"s".into(),
            call: &call,
            out: &out,
            identity: ingress::identity(&call, "a.example", &parts, &out.body),
            until: tokio::time::Instant::now(),
            version,
            priority: 0,
            permit: None,
        };
        job.begins_program()
    };
    expect_true!(begins(None));
    expect_false!(begins(Some(&version)));
}
