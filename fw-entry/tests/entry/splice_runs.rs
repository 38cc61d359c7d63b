//! Splicing the events of a turn's successive runs.

use fw_base::error;
use fw_entry::request::splice;
use fw_wire::attempt;
use googletest::prelude::*;

fn chunk(content: &str) -> attempt::Event {
    let delta = serde_json::json!({ "content": content });
    let value = serde_json::json!({ "choices": [{ "delta": delta, "finish_reason": null }] });
    value.to_string().into()
}

fn last() -> attempt::Event {
    let value = serde_json::json!({ "choices": [{ "delta": {}, "finish_reason": "stop" }] });
    value.to_string().into()
}

fn text(events: &[attempt::Event]) -> String {
    let content = |event: &attempt::Event| {
        let value: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
        let content = value.pointer("/choices/0/delta/content");
        content
            .and_then(|c| c.as_str())
            .unwrap_or_default()
            .to_owned()
    };
    events.iter().map(content).collect()
}

fn pass_all(
    splice: &mut splice::Splice,
    events: Vec<attempt::Event>,
) -> std::result::Result<Vec<attempt::Event>, error::Error> {
    let passed: std::result::Result<Vec<_>, _> =
        events.into_iter().map(|event| splice.pass(event)).collect();
    Ok(passed?.into_iter().flatten().collect())
}

// The engine crashes after two words of a streamed answer. The turn runs again elsewhere and generates
// the same text in other chunks. The caller must receive one answer, without missing or repeated words.
#[gtest]
fn same_text_in_other_pieces_is_joined() {
    let mut splice = splice::Splice::default();
    let mut seen = pass_all(&mut splice, vec![chunk("one "), chunk("two ")]).unwrap();
    splice.restart().unwrap();
    let rest = vec![chunk("on"), chunk("e two th"), chunk("ree"), last()];
    seen.extend(pass_all(&mut splice, rest).unwrap());
    expect_that!(text(&seen), eq("one two three"));
    expect_that!(seen.last(), some(eq(&last())));
}

// The second run differs from the first word on, after a part of the first answer was delivered. The
// caller must receive an error, not the head of one answer and the tail of another.
#[gtest]
fn a_different_text_is_an_error() {
    let mut splice = splice::Splice::default();
    pass_all(&mut splice, vec![chunk("one ")]).unwrap();
    splice.restart().unwrap();
    let err = pass_all(&mut splice, vec![chunk("uno ")]).unwrap_err();
    expect_that!(err.kind, eq(error::Kind::UpstreamCrashed));
}

// The second run ends before it has repeated the delivered text, which is therefore not its answer.
#[gtest]
fn a_shorter_text_is_an_error() {
    let mut splice = splice::Splice::default();
    pass_all(&mut splice, vec![chunk("one two")]).unwrap();
    splice.restart().unwrap();
    expect_that!(
        pass_all(&mut splice, vec![chunk("one"), last()]),
        err(anything())
    );
}

// Two engines crash one after the other; the spliced text must still be complete.
#[gtest]
fn a_third_run_is_joined_too() {
    let mut splice = splice::Splice::default();
    let mut seen = pass_all(&mut splice, vec![chunk("one ")]).unwrap();
    splice.restart().unwrap();
    seen.extend(pass_all(&mut splice, vec![chunk("one two ")]).unwrap());
    splice.restart().unwrap();
    seen.extend(pass_all(&mut splice, vec![chunk("one two three"), last()]).unwrap());
    expect_that!(text(&seen), eq("one two three"));
}

#[gtest]
fn nothing_delivered_takes_any_second_run() {
    let mut splice = splice::Splice::default();
    splice.restart().unwrap();
    let seen = pass_all(&mut splice, vec![chunk("uno"), last()]).unwrap();
    expect_that!(text(&seen), eq("uno"));
}
