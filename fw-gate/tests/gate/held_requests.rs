//! What an entry holds for requests, and its log of it.

use std::sync::Arc;

use fw_gate::process::features;
use fw_gate::process::memory::{self, Kind, Memory};
use fw_gate::request::ingress;
use fw_gate::version::config;
use fw_plan::intake;
use googletest::prelude::*;
use hyper::HeaderMap;
use hyper::header::{self, HeaderValue};

/// Bytes of a body.
const BODY: usize = 1_000;
/// Bytes of a request.
const REQUEST: usize = intake::REQUEST_BYTES + BODY;

fn memory(requests: usize) -> Arc<Memory> {
    Memory::new(Some(intake::Options {
        max_bytes: requests * REQUEST,
        begin_share: 0.5,
        ..intake::Options::default()
    }))
}

// Guards against bytes that stay counted after their request, and against a bound that nothing frees.
#[gtest]
fn are_released_with_their_request() {
    let memory = memory(4);
    let held: Vec<_> = (0..4).map(|_| memory.admit(false, BODY, 0, None)).collect();
    expect_that!(held, each(ok(anything())));
    expect_that!(memory.admit(false, BODY, 0, None), err(anything()));
    drop(held);
    expect_that!(memory.held(Kind::Requests), eq(0));
    expect_that!(memory.held(Kind::Bodies), eq(0));
    expect_that!(memory.admit(false, BODY, 0, None), ok(anything()));
}

// Guards against prompts longer than the announced body, and answers not stored yet, that are not counted.
#[gtest]
fn include_prompt_and_answer() {
    let memory = memory(4);
    let mut held = memory.admit(false, BODY, 0, None).unwrap();
    held.set_body(4 * REQUEST);
    expect_that!(memory.admit(false, BODY, 0, None), err(anything()));
    held.set_body(BODY);
    held.add_output(100);
    expect_that!(memory.held(Kind::Bodies), eq(BODY + 100));
    expect_that!(memory.admit(false, BODY, 0, None), ok(anything()));
}

// Guards against an entry that refuses for what others than requests hold too late, or not at all.
#[gtest]
fn include_what_replicas_are_sent() {
    let memory = memory(4);
    let _held = memory.admit(false, BODY, 0, None).unwrap();
    let admit = |begins, others| memory.admit(begins, BODY, others, None);
    expect_that!(admit(false, 3 * REQUEST), err(anything()));
    expect_that!(admit(true, REQUEST), err(anything()));
    expect_that!(admit(false, REQUEST), ok(anything()));
}

// Guards against an entry that takes on nothing for good, although no request is under way.
#[gtest]
fn find_room_where_there_are_no_others() {
    let memory = memory(1);
    let admitted = memory.admit(true, 10 * REQUEST, 4 * REQUEST, None);
    expect_that!(admitted, ok(anything()));
}

// Guards against a bound on instances whose memory is not known, or none where it is.
#[gtest]
fn are_bounded_where_memory_is_known() {
    let auto = features::Options::default();
    expect_that!(auto.intake(), none());
    let known = features::Options {
        instance_memory: Some(88 << 20),
        ..features::Options::default()
    };
    expect_that!(known.intake().unwrap().max_bytes, eq(22 << 20));
    let off = features::Options {
        intake: features::Mode::Off,
        ..known
    };
    expect_that!(off.intake(), none());
}

// Guards against a process whose log does not tell that it fills its instance.
#[gtest]
fn are_logged_at_parts_of_the_memory() {
    let marks = [0, 49, 50, 74, 75, 90, 120].map(|percent| memory::marks_passed(percent, 100));
    expect_that!(marks, eq([0, 0, 1, 1, 2, 3, 3]));
    let status = "VmRSS:\t   12104 kB\nRssAnon:\t    1456 kB\nRssFile:\t   10648 kB\n";
    expect_that!(memory::parse_resident(status), some(eq(1_456 << 10)));
    expect_that!(memory::parse_resident("VmRSS:\t 1 kB\n"), none());
}

// Guards against a caller that announces a body longer than any that is read, and has all others refused.
#[gtest]
fn are_no_longer_than_any_that_is_read() {
    let limits = config::Limits::default();
    let announced = |length| {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static(length));
        ingress::announced_body(&headers, &limits)
    };
    expect_that!(announced("1000"), eq(1_000));
    expect_that!(announced("18446744073709551615"), eq(limits.body_bytes));
    expect_that!(announced("none"), eq(0));
}
