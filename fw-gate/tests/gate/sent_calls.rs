//! Calls on their way to an upstream.

use std::time::Duration;

use bytes::Bytes;
use fw_base::error;
use fw_gate::process::fleet::{Change, Criteria, ListUpdate, ListedUpstream, StoreRead};
use fw_gate::request::send;
use googletest::prelude::*;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::call_headers::names;
use crate::upstream_list::{fleet, listed};

fn outbound() -> send::Outbound {
    send::Outbound {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: HeaderValue::from_static("i"),
    }
}

// Guards against a call that is sent to an upstream which left after it was chosen.
#[gtest]
#[tokio::test]
async fn are_not_sent_to_an_upstream_that_has_left_since() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = ListedUpstream {
        addr: listener.local_addr().unwrap(),
        ..listed("x")
    };
    let leaving = ListedUpstream {
        takes_work: false,
        ..upstream.clone()
    };
    for change in [Change::Removed("x".into()), Change::Put(leaving)] {
        let fleet = fleet();
        fleet.apply(
            Some(StoreRead::own(1)),
            ListUpdate::Full(vec![upstream.clone()]),
        );
        let lease = fleet.choose(&"s".into(), &Criteria::default()).unwrap();
        fleet.apply(Some(StoreRead::own(2)), ListUpdate::Changes(vec![change]));
        let until = Instant::now() + Duration::from_secs(1);
        let sent = send::call_upstream(&names(), &outbound(), lease, until).await;
        expect_that!(sent.unwrap_err().err.ran(), eq(error::Ran::No));
        // A connection may have been made, but nothing was sent over it.
        let accepted = tokio::time::timeout(Duration::from_millis(100), listener.accept()).await;
        if let Ok(Ok((mut stream, _))) = accepted {
            expect_that!(stream.read(&mut [0; 1]).await.unwrap_or(0), eq(0));
        }
    }
}

// Guards against a call without the id of the upstream that it is meant for, since no header can hold it.
#[gtest]
#[tokio::test]
async fn are_not_sent_to_an_upstream_without_a_name() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = ListedUpstream {
        addr: listener.local_addr().unwrap(),
        ..listed("x\ny")
    };
    let fleet = fleet();
    fleet.apply(Some(StoreRead::own(1)), ListUpdate::Full(vec![upstream]));
    let lease = fleet.choose(&"s".into(), &Criteria::default()).unwrap();
    let until = Instant::now() + Duration::from_secs(1);
    let sent = send::call_upstream(&names(), &outbound(), lease, until).await;
    expect_that!(sent.unwrap_err().err.ran(), eq(error::Ran::No));
}
