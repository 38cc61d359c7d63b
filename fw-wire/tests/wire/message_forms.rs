//! Messages of other versions and invalid messages.

use fw_wire::attempt;
use fw_wire::peer;
use fw_wire::side;
use googletest::prelude::*;
use proptest::prelude::*;

// During a rolling restart a newer side sends a field that an older entry does not have. The entry must
// still decode the heartbeat, or it would treat the side as failed.
#[gtest]
fn unknown_fields_are_ignored() {
    let reply = side::HeartbeatReply::default();
    let mut value = serde_json::to_value(&reply).unwrap();
    value["added_later"] = serde_json::json!({ "x": 1 });
    let read: serde_json::Result<side::HeartbeatReply> = serde_json::from_value(value);
    expect_that!(read, ok(anything()));
}

// Heartbeats go to thousands of sides, most of them idle. With every field written out, they would
// exceed a node's limit for all control traffic. Default values are omitted and decoded as defaults.
#[gtest]
fn a_default_heartbeat_is_small_and_reads_back() {
    let reply = side::HeartbeatReply {
        incarnation: 7,
        ..side::HeartbeatReply::default()
    };
    let text = serde_json::to_string(&reply).unwrap();
    expect_that!(text.len(), lt(40));
    let read: side::HeartbeatReply = serde_json::from_str(&text).unwrap();
    expect_that!(read.incarnation, eq(7));
    expect_that!(read.load, eq(side::Load::default()));
}

#[gtest]
fn load_times_survive_a_round_trip() {
    let load = side::Load {
        delay: std::time::Duration::from_micros(1_234_567),
        ..side::Load::default()
    };
    let text = serde_json::to_string(&load).unwrap();
    let read: side::Load = serde_json::from_str(&text).unwrap();
    expect_that!(read, eq(load));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    #[test]
    fn any_text_reads_or_fails_cleanly(text in "\\PC{0,200}") {
        let _read: serde_json::Result<attempt::ReadReply> = serde_json::from_str(&text);
        let _read: serde_json::Result<side::Start> = serde_json::from_str(&text);
        let _read: serde_json::Result<peer::Submit> = serde_json::from_str(&text);
    }
}
