//! Canonical form of messages and parsing of requests.

use fw_base::chat;
use fw_base::digest;
use googletest::prelude::*;
use proptest::prelude::*;

fn message(json: &str) -> chat::Message {
    chat::Message::from_value(serde_json::from_str(json).unwrap()).unwrap()
}

#[gtest]
fn field_order_and_nulls_do_not_change_a_message() {
    let ours = message(r#"{"role":"assistant","content":"hi"}"#);
    let theirs = message(r#"{"refusal":null,"content":"hi","tool_calls":[],"role":"assistant"}"#);
    expect_that!(ours, eq(&theirs));
}

#[gtest]
fn digest_depends_on_order() {
    let a = chat::Message::text("user", "a");
    let b = chat::Message::text("user", "b");
    let ab = digest::Digest::EMPTY.extend_all(&[a.clone(), b.clone()]);
    let ba = digest::Digest::EMPTY.extend_all(&[b, a]);
    expect_that!(ab, not(eq(ba)));
}

#[gtest]
fn unread_fields_are_passed_on() {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0.5}"#;
    let req = chat::Request::parse(body).unwrap();
    expect_that!(&*req.params, eq(r#"{"temperature":0.5}"#));
}

#[gtest]
fn errors_name_the_field() {
    let cases: [(&[u8], &str); 6] = [
        (b"{", "valid JSON"),
        (b"{}", "`model`"),
        (br#"{"model":"m"}"#, "`messages`"),
        (br#"{"model":"m","messages":[]}"#, "`messages`"),
        (br#"{"model":"m","messages":[{}]}"#, "role"),
        (
            br#"{"model":"m","messages":[{"role":"user"}],"n":2}"#,
            "`n`",
        ),
    ];
    for (body, part) in cases {
        let err = chat::Request::parse(body).unwrap_err();
        expect_that!(err.to_string(), contains_substring(part));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    #[test]
    fn any_bytes_parse_or_fail_cleanly(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let _outcome = chat::Request::parse(&body);
    }

    #[test]
    fn canonical_form_is_stable(content in ".*") {
        let first = chat::Message::text("user", &content);
        let again = chat::Message::from_value(serde_json::from_str(first.as_str()).unwrap()).unwrap();
        prop_assert_eq!(first, again);
    }
}
