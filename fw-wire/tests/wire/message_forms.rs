//! Messages of other versions, and hostile ones.

use fw_wire::attempt;
use fw_wire::peer;
use fw_wire::side;
use googletest::prelude::*;
use proptest::prelude::*;

// During a rolling restart a newer side sends a field that an older entry does not know.
// The heartbeat must still be read, or the entry would take the side for dead.
#[gtest]
fn unknown_fields_are_ignored() {
    let reply = side::HeartbeatReply::default();
    let mut value = serde_json::to_value(&reply).unwrap();
    value["added_later"] = serde_json::json!({ "x": 1 });
    let read: serde_json::Result<side::HeartbeatReply> = serde_json::from_value(value);
    expect_that!(read, ok(anything()));
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
