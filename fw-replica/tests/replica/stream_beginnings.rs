//! Records of the first events of streams.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fw_base::digest;
use fw_replica::beginnings::{self, Extended};
use googletest::prelude::*;

fn author(generation: u32, attempt: u64) -> beginnings::Author {
    beginnings::Author {
        request: digest::Digest::of_bytes(b"request"),
        generation,
        attempt,
    }
}

fn events(first: usize, count: usize, run: &str) -> Vec<beginnings::Event> {
    let event = |number: usize| beginnings::Event {
        id: number.to_string().into(),
        output: format!("{run}{number}\n").into(),
    };
    (first..first + count).map(event).collect()
}

/// Adds `count` events of `run` after the first `after` ones.
fn extension(
    author: beginnings::Author,
    after: usize,
    count: usize,
    run: &str,
) -> beginnings::Extend {
    beginnings::Extend {
        stream: "s".into(),
        author,
        after,
        events: events(after + 1, count, run),
    }
}

fn extend(table: &beginnings::Table, req: beginnings::Extend) -> Extended {
    table.extend(req, Instant::now())
}

/// The output of stream `s` up to event `last`.
fn output(table: &beginnings::Table, last: &str) -> Option<String> {
    let events = table.find(&"s".into())?.until(&last.into())?;
    let output: Vec<_> = events
        .iter()
        .flat_map(|event| event.output.to_vec())
        .collect();
    Some(String::from_utf8(output).unwrap())
}

// Guards against events that are missing or come twice after a message was lost or sent again.
#[gtest]
fn are_extended_without_gaps() {
    let table = beginnings::Table::default();
    let author = author(0, 1);
    expect_that!(
        extend(&table, extension(author, 0, 2, "a")),
        eq(Extended::Recorded)
    );
    expect_that!(
        extend(&table, extension(author, 3, 1, "a")),
        eq(Extended::Lacks(2))
    );
    expect_that!(
        extend(&table, extension(author, 1, 3, "a")),
        eq(Extended::Recorded)
    );
    expect_that!(
        extend(&table, extension(author, 0, 1, "a")),
        eq(Extended::Recorded)
    );
    expect_that!(output(&table, "4"), some(eq("a1\na2\na3\na4\n")));
    expect_that!(output(&table, "2"), some(eq("a1\na2\n")));
    expect_that!(output(&table, "5"), none());
}

// Guards against events of an attempt whose caller has taken the stream up elsewhere, which it never got.
#[gtest]
fn are_written_by_the_last_attempt_only() {
    let table = beginnings::Table::default();
    let (first, second) = (author(0, 1), author(1, 2));
    extend(&table, extension(first, 0, 2, "a"));
    expect_that!(
        extend(&table, extension(second, 1, 1, "b")),
        eq(Extended::Lacks(0))
    );
    expect_that!(
        extend(&table, extension(second, 0, 1, "a")),
        eq(Extended::Recorded)
    );
    expect_that!(
        extend(&table, extension(first, 2, 2, "a")),
        eq(Extended::Superseded)
    );
    expect_that!(
        extend(&table, extension(author(1, 3), 0, 2, "c")),
        eq(Extended::Superseded)
    );
    expect_that!(
        extend(&table, extension(second, 1, 1, "b")),
        eq(Extended::Recorded)
    );
    expect_that!(output(&table, "2"), some(eq("a1\nb2\n")));
    expect_that!(output(&table, "3"), none());
}

// Guards against another caller that replaces the record of a stream, or a mixture of two that have one id.
#[gtest]
fn belong_to_one_stream() {
    let table = beginnings::Table::default();
    extend(&table, extension(author(0, 1), 0, 2, "a"));
    let other = beginnings::Author {
        request: digest::Digest::of_bytes(b"other"),
        ..author(7, 2)
    };
    expect_that!(
        extend(&table, extension(other, 0, 2, "b")),
        eq(Extended::Superseded)
    );
    expect_that!(output(&table, "2"), some(eq("a1\na2\n")));
    expect_that!(
        extend(&table, extension(author(0, 3), 0, 2, "c")),
        eq(Extended::Superseded)
    );
    expect_that!(output(&table, "2"), none());
    expect_that!(
        extend(&table, extension(author(0, 1), 2, 1, "a")),
        eq(Extended::Superseded)
    );
}

// Guards against memory that grows with each stream, or is used up by a single one.
#[gtest]
fn are_bounded_in_bytes_and_time() {
    let table = beginnings::Table::default();
    let begun = Instant::now();
    let large = |stream: usize, bytes: usize| beginnings::Extend {
        stream: format!("s{stream}").into(),
        events: vec![beginnings::Event {
            id: "1".into(),
            output: Bytes::from(vec![b'o'; bytes]),
        }],
        ..extension(author(0, 1), 0, 0, "")
    };
    expect_that!(extend(&table, large(0, 2 << 20)), eq(Extended::TooLong));
    expect_that!(table.bytes(), eq(0));
    for stream in 0..100 {
        expect_that!(
            extend(&table, large(stream, 500_000)),
            eq(Extended::Recorded)
        );
    }
    expect_that!(table.bytes(), all!(gt(10 << 20), le(16 << 20)));
    expect_that!(table.find(&"s0".into()), none());
    expect_that!(table.find(&"s99".into()), some(anything()));
    table.expire(begun + Duration::from_secs(3_600));
    expect_that!(table.bytes(), eq(0));
    expect_that!(table.find(&"s99".into()), none());
}
