//! Idempotency claims: each point at which the holder of a claimed call can crash, and the answer
//! of the next holder.

use std::time::Duration;

use fw_base::error::Kind;
use fw_keep::claim;
use fw_keep::claim::Answer;
use fw_keep::claim::Duplicate;
use fw_keep::journal::replay;
use fw_keep::shard::ClaimOutcome;
use fw_keep::shard::Shard;
use googletest::prelude::*;

use crate::fleet;

const NOW: Duration = Duration::from_secs(1);

/// The shard as the next holder loads it, after the pending batch became durable.
fn take_over(shard: &mut Shard) -> Shard {
    let batch = shard.take_batch();
    let items = batch.map(|batch| replay::Item::Group(batch.entries));
    Shard::load(shard.id(), items.into_iter().collect())
}

fn open(shard: &mut Shard) -> ClaimOutcome {
    shard.open_claim(&fleet::key("k"), fleet::fingerprint("body"), NOW)
}

fn refusal(outcome: ClaimOutcome) -> Option<Kind> {
    match outcome {
        ClaimOutcome::Duplicate(Duplicate::Refused(err)) => Some(err.kind),
        ClaimOutcome::Opening { .. } | ClaimOutcome::Duplicate(Duplicate::Replay(_)) => None,
    }
}

fn ok_answer() -> Answer {
    Answer {
        status: 200,
        ..Answer::default()
    }
}

/// The holder crashes before its claim reaches the store. The call was not sent, because sending
/// waits until the claim is durable, so the next holder may run it.
#[gtest]
fn a_claim_that_never_became_durable_is_free() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let mut next = Shard::load(1, Vec::new());
    expect_that!(open(&mut next), pat!(ClaimOutcome::Opening { .. }));
}

/// The claim reached the store, the store's answer was lost, and the holder crashed. It is unknown
/// whether the call was sent, so the next holder must not run it.
#[gtest]
fn a_durable_claim_without_outcome_may_have_run() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let mut next = take_over(&mut shard);
    expect_that!(refusal(open(&mut next)), some(eq(Kind::MayHaveRun)));
}

#[gtest]
fn a_claim_whose_call_did_not_run_is_free_after_take_over() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    shard.claim_opened(&fleet::key("k"), NOW);
    shard
        .claim_not_run(&fleet::key("k"), fleet::fingerprint("body"))
        .unwrap();
    let mut next = take_over(&mut shard);
    expect_that!(open(&mut next), pat!(ClaimOutcome::Opening { .. }));
}

#[gtest]
fn an_answered_claim_is_replayed_after_take_over() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    shard.claim_opened(&fleet::key("k"), NOW);
    let body = fleet::fingerprint("body");
    shard
        .claim_done(&fleet::key("k"), body, ok_answer(), NOW)
        .unwrap();
    let mut next = take_over(&mut shard);
    expect_that!(
        open(&mut next),
        eq(&ClaimOutcome::Duplicate(Duplicate::Replay(ok_answer())))
    );
}

/// The keeper crashes while another entry runs the call. That entry reports the outcome to the new
/// keeper, which holds the claim with an unknown outcome.
#[gtest]
fn an_outcome_reported_after_take_over_is_recorded() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let mut next = take_over(&mut shard);
    let body = fleet::fingerprint("body");
    expect_that!(
        next.claim_done(&fleet::key("k"), body, ok_answer(), NOW),
        some(anything())
    );
    expect_that!(
        open(&mut next),
        eq(&ClaimOutcome::Duplicate(Duplicate::Replay(ok_answer())))
    );
}

/// Two answers arrive for one claim, the second a late duplicate, and then a report that the call
/// did not run. The first answer stands.
#[gtest]
fn the_first_answer_stands() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let (key, body) = (fleet::key("k"), fleet::fingerprint("body"));
    shard.claim_done(&key, body, ok_answer(), NOW).unwrap();
    let other = Answer {
        status: 500,
        ..Answer::default()
    };
    expect_that!(shard.claim_done(&key, body, other, NOW), none());
    expect_that!(shard.claim_not_run(&key, body), none());
    expect_that!(
        open(&mut shard),
        eq(&ClaimOutcome::Duplicate(Duplicate::Replay(ok_answer())))
    );
}

#[gtest]
fn another_body_under_the_same_key_is_refused_and_changes_nothing() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let key = fleet::key("k");
    let other = fleet::fingerprint("other");
    let duplicate = shard.open_claim(&key, other, NOW);
    expect_that!(refusal(duplicate), some(eq(Kind::KeyReused)));
    expect_that!(shard.claim_not_run(&key, other), none());
    expect_that!(shard.claim_done(&key, other, ok_answer(), NOW), none());
}

/// The entry that was granted the claim crashed, and the claim's keeper is alive. Without a timeout
/// the key would stay in use forever, and the caller would retry without end.
#[gtest]
fn an_open_claim_times_out_and_is_never_run() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    shard.claim_opened(&fleet::key("k"), NOW);
    expect_that!(refusal(open(&mut shard)), some(eq(Kind::KeyInUse)));
    let later = NOW + Duration::from_secs(3_600);
    let duplicate = shard.open_claim(&fleet::key("k"), fleet::fingerprint("body"), later);
    expect_that!(refusal(duplicate), some(eq(Kind::MayHaveRun)));
}

#[gtest]
fn keys_of_different_teams_are_separate() {
    let mut shard = Shard::new(1);
    open(&mut shard);
    let other = claim::Key {
        team: "other".into(),
        key: "k".into(),
    };
    let opened = shard.open_claim(&other, fleet::fingerprint("body"), NOW);
    expect_that!(opened, pat!(ClaimOutcome::Opening { .. }));
}
