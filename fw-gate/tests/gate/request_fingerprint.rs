//! What makes two requests the same for the quarantine.

use bytes::Bytes;
use fw_gate::request::{call, ingress};
use fw_plan::quarantine;
use googletest::prelude::*;
use hyper::{Request, http::request};

fn head(method: &str, uri: &str) -> request::Parts {
    let req = Request::builder().method(method).uri(uri);
    req.body(()).unwrap().into_parts().0
}

fn identity(call: &call::Call, host: &str, head: &request::Parts) -> quarantine::Identity {
    let body = Bytes::from_static(b"yes");
    ingress::identity(call, host, head, &body)
}

// Guards against the refusal of a request for the crashes under another one.
#[gtest]
fn differs_where_another_request_runs() {
    let call = call::Call::default();
    let first = identity(&call, "a.example", &head("GET", "/x"));
    let continued = call::Call {
        previous: Some("turn-1".into()),
        ..call.clone()
    };
    let of_team = call::Call {
        team: Some("team".into()),
        ..call.clone()
    };
    let others = [
        identity(&call, "b.example", &head("GET", "/x")),
        identity(&call, "a.example", &head("POST", "/x")),
        identity(&call, "a.example", &head("GET", "/y")),
        identity(&of_team, "a.example", &head("GET", "/x")),
    ];
    for other in others {
        expect_that!(other.path, not(eq(first.path)));
        expect_that!(other.body, not(eq(first.body)));
        expect_that!(other.request, not(eq(first.request)));
    }
    let variants = [
        identity(&continued, "a.example", &head("GET", "/x")),
        identity(&call, "a.example", &head("GET", "/x?page=2")),
    ];
    for variant in variants {
        expect_that!(variant.request, not(eq(first.request)));
    }
}

// Guards against repetitions of a request that are not recognised.
#[gtest]
fn agrees_for_repetitions() {
    let call = |id: &str| call::Call {
        id: id.into(),
        turn: id.into(),
        ..call::Call::default()
    };
    let first = identity(&call("1"), "a.example", &head("GET", "/x"));
    let again = identity(&call("2"), "a.example", &head("GET", "/x"));
    expect_that!(again, eq(first));
    let variant = identity(&call("3"), "a.example", &head("GET", "/x?page=2"));
    expect_that!(variant.body, eq(first.body));
}

// Guards against variants of a request that are not recognised: after another turn, or with another body.
#[gtest]
fn agrees_for_variants_at_the_level_that_they_share() {
    let head = head("POST", "/x");
    let first = identity(&call::Call::default(), "a.example", &head);
    let continued = call::Call {
        previous: Some("turn-1".into()),
        ..call::Call::default()
    };
    let continued = identity(&continued, "a.example", &head);
    expect_that!(continued.body, eq(first.body));
    let grown = Bytes::from_static(b"yes, and more");
    let grown = ingress::identity(&call::Call::default(), "a.example", &head, &grown);
    expect_that!(grown.path, eq(first.path));
    expect_that!(grown.body, not(eq(first.body)));
}
