//! Events of a stream, split from its bytes.

use fw_gate::request::events::Splitter;
use googletest::prelude::*;

#[gtest]
fn are_the_same_wherever_the_bytes_are_cut() {
    let text = "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\ndata: b\ndata: c\n\n: note\n\nid:3\r\ndata:d\r\n\r\n";
    let mut whole = Splitter::default();
    whole.push(text.as_bytes());
    let events: Vec<_> = std::iter::from_fn(|| whole.next_event()).collect();
    expect_that!(events.len(), eq(4));
    expect_that!(events[1].id.as_deref(), some(eq("2")));
    expect_that!(events[1].data.as_deref(), some(eq(b"b\nc".as_slice())));
    expect_that!(events[2].data, none());
    expect_that!(events[3].data.as_deref(), some(eq(b"d".as_slice())));
    for size in 1..text.len() {
        let mut cut = Splitter::default();
        let mut found = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            cut.push(piece);
            found.extend(std::iter::from_fn(|| cut.next_event()));
        }
        expect_that!(found, eq(&events), "pieces of {size}");
        expect_false!(cut.has_partial());
    }
}

#[gtest]
fn are_held_back_until_complete() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n");
    expect_that!(splitter.next_event(), none());
    expect_true!(splitter.has_partial());
    splitter.push(b"\n");
    expect_that!(splitter.next_event(), some(anything()));
}
