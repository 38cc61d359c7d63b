//! What makes two requests the same for the quarantine.

use bytes::Bytes;
use fw_gate::request::{call, ingress};
use googletest::prelude::*;
use hyper::{Request, http::request};

fn head(method: &str, uri: &str) -> request::Parts {
    let req = Request::builder().method(method).uri(uri);
    req.body(()).unwrap().into_parts().0
}

fn fingerprint(call: &call::Call, host: &str, head: &request::Parts) -> String {
    let body = Bytes::from_static(b"yes");
    ingress::fingerprint(call, host, head, &body).to_string()
}

// Guards against the refusal of a request for the crashes under another one.
#[gtest]
fn differs_where_another_request_runs() {
    let call = call::Call::default();
    let first = fingerprint(&call, "a.example", &head("GET", "/x"));
    let continued = call::Call {
        previous: Some("turn-1".into()),
        ..call.clone()
    };
    let of_team = call::Call {
        team: Some("team".into()),
        ..call.clone()
    };
    let others = [
        fingerprint(&call, "b.example", &head("GET", "/x")),
        fingerprint(&call, "a.example", &head("POST", "/x")),
        fingerprint(&call, "a.example", &head("GET", "/y")),
        fingerprint(&continued, "a.example", &head("GET", "/x")),
        fingerprint(&of_team, "a.example", &head("GET", "/x")),
    ];
    for other in others {
        expect_that!(other, not(eq(&first)));
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
    let first = fingerprint(&call("1"), "a.example", &head("GET", "/x"));
    let again = fingerprint(&call("2"), "a.example", &head("GET", "/x?page=2"));
    expect_that!(again, eq(&first));
}
