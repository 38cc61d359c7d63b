//! Records as JSON lines, and a recorder shared by several threads.

use fw_base::error::Kind;
use fw_check::event::Event;
use fw_check::recorder;
use fw_check::recorder::Recorder;
use googletest::prelude::*;
use proptest::prelude::*;

use crate::scenario;
use crate::scenario::Scenario;

#[gtest]
fn a_record_reads_back_as_it_was_written() {
    let mut scenario = Scenario::default();
    scenario
        .turn("p", 1)
        .plain(Some("key-1"), "offer")
        .accept(5)
        .in_force(1, 5);
    let call = scenario.send("p", 2);
    scenario
        .refuse(call, Kind::MayHaveRun)
        .read_history("p", scenario::history("p", 1));
    let mut text = Vec::new();
    recorder::write(&scenario.entries, &mut text).unwrap();
    let lines = text.split(|b| *b == b'\n').count() - 1;
    expect_that!(lines, eq(scenario.entries.len()));
    expect_that!(
        recorder::read(text.as_slice()).unwrap(),
        eq(&scenario.entries)
    );
}

#[gtest]
fn a_bad_line_is_named() {
    let mut text = Vec::new();
    recorder::write(&Scenario::default().turn("p", 1).entries, &mut text).unwrap();
    text.extend_from_slice(b"{\"at_us\":1,\"event\":\"nonsense\"}\n");
    let err = recorder::read(text.as_slice()).unwrap_err();
    expect_that!(err.to_string(), starts_with("line 5 is not a valid event"));
}

#[gtest]
fn threads_share_one_record_whose_times_grow() {
    let recorder = Recorder::new();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            let recorder = recorder.clone();
            scope.spawn(move || {
                for _ in 0..100 {
                    let run = recorder.next_id();
                    recorder.record(Event::RunEnded { run, answer: None });
                }
            });
        }
    });
    let entries = recorder.entries();
    expect_that!(entries.len(), eq(400));
    expect_that!(entries.is_sorted_by_key(|entry| entry.at), eq(true));
    expect_that!(recorder.next_id(), eq(401));
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let read = recorder::read(bytes.as_slice());
        prop_assert!(read.is_err() || bytes.is_empty());
    }
}
