//! A claimed call runs at most once, whoever asks and whichever keeper is gone.

use fw_base::error;
use fw_keep::claim;
use fw_keep::keeper::ClaimResult;
use fw_keep::keeper::Settlement;
use googletest::prelude::*;

use crate::fleet;
use crate::fleet::Fleet;

fn kind(claimed: &ClaimResult) -> Option<error::Kind> {
    match claimed {
        ClaimResult::Refused(err) => Some(err.kind),
        ClaimResult::Granted | ClaimResult::Replay(_) | ClaimResult::NotKeeper => None,
    }
}

fn stored() -> claim::Answer {
    claim::Answer {
        status: 200,
        body: "b2s=".to_owned(),
        ..claim::Answer::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_is_granted_once_and_then_replayed() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let (key, body) = (fleet::key("k"), fleet::fingerprint("body"));
    let (first, second) = tokio::join!(a.claim(&key, body), a.claim(&key, body));
    expect_that!(first, eq(&ClaimResult::Granted));
    expect_that!(kind(&second), some(eq(error::Kind::KeyInUse)));
    let other = a.claim(&key, fleet::fingerprint("other")).await;
    expect_that!(kind(&other), some(eq(error::Kind::KeyReused)));
    let ticket = a
        .settle(&key, body, Settlement::Done(stored()))
        .unwrap()
        .unwrap();
    a.wait_durable(ticket).await.unwrap();
    expect_that!(
        a.claim(&key, body).await,
        eq(&ClaimResult::Replay(stored()))
    );
}

/// A billing call was claimed and sent; then the keeper died before its answer was recorded. The
/// shop sends it again. The next keeper can't know whether the bill went out, and must not send
/// a second one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_without_outcome_is_never_granted_again() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let body = fleet::fingerprint("body");
    let keys: Vec<_> = ["open", "done", "free"].map(fleet::key).into();
    for key in &keys {
        expect_that!(a.claim(key, body).await, eq(&ClaimResult::Granted));
    }
    let done = a
        .settle(&keys[1], body, Settlement::Done(stored()))
        .unwrap()
        .unwrap();
    let free = a
        .settle(&keys[2], body, Settlement::NotRun)
        .unwrap()
        .unwrap();
    a.wait_durable(done).await.unwrap();
    a.wait_durable(free).await.unwrap();
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    expect_that!(
        kind(&b.claim(&keys[0], body).await),
        some(eq(error::Kind::MayHaveRun))
    );
    expect_that!(
        b.claim(&keys[1], body).await,
        eq(&ClaimResult::Replay(stored()))
    );
    expect_that!(b.claim(&keys[2], body).await, eq(&ClaimResult::Granted));
}

/// The store is down when a call that may not be repeated comes in. It is refused as not run, and
/// that stays true: its claim, still on the way to the store, must not block the key for good.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_in_an_outage_is_refused_as_not_run() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let (key, body) = (fleet::key("k"), fleet::fingerprint("body"));
    fleet.store.set_outage(Some(fw_fake::store::Outage::Refuse));
    let refused = a.claim(&key, body).await;
    expect_that!(kind(&refused), some(eq(error::Kind::StoreUnavailable)));
    expect_that!(error::Kind::StoreUnavailable.row().ran, eq(error::Ran::No));
    fleet.store.set_outage(None);
    let mut granted = a.claim(&key, body).await;
    for _ in 0..20 {
        if granted == ClaimResult::Granted {
            break;
        }
        granted = a.claim(&key, body).await;
    }
    expect_that!(granted, eq(&ClaimResult::Granted));
}
