//! Evidence of crashes under a request, and what follows from it.

use std::time::Duration;

use fw_base::digest;
use fw_plan::quarantine::{self, Outcome};
use googletest::prelude::*;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn request(text: &str) -> quarantine::Fingerprint {
    digest::Digest::of_bytes(text.as_bytes())
}

fn table() -> quarantine::Table {
    quarantine::Table::new(quarantine::Options::default())
}

/// Records the crash `id` under an attempt that is sent at `now`, in knowledge of all failures before.
fn crash_at(
    table: &mut quarantine::Table,
    now: Duration,
    id: quarantine::FailureId,
) -> quarantine::Suspect {
    let outcome = table.decide(now, &request("bad"));
    assert_that!(outcome, not(matches_pattern!(Outcome::Refused { .. })));
    let failure = quarantine::Failure::crash(table.weight(now, &request("bad")));
    table.record_failure(now, request("bad"), 0, id, failure)
}

/// Records a broken connection `id`, in knowledge of all failures before.
fn break_connection(table: &mut quarantine::Table, id: quarantine::FailureId) {
    let known = table.weight(NOW, &request("bad"));
    let failure = quarantine::Failure::broken_connection(known);
    table.record_failure(NOW, request("bad"), 0, id, failure);
}

// Guards against a request that goes on after three upstreams have crashed under it, one by one.
#[gtest]
fn three_successive_crashes_lead_to_refusal() {
    let mut table = table();
    for id in 1..=3 {
        crash_at(&mut table, NOW, id);
    }
    let refused = Outcome::Refused {
        retry_after: Duration::from_secs(60),
    };
    expect_that!(table.decide(NOW, &request("bad")), eq(refused));
    expect_that!(table.decide(NOW, &request("good")), eq(Outcome::Normal));
}

// Guards against the refusal of a popular request under whose copies a rack of upstreams was lost.
#[gtest]
fn copies_in_flight_are_one_failure() {
    let mut table = table();
    for id in 1..=5 {
        let failure = quarantine::Failure::crash(0);
        table.record_failure(NOW, request("popular"), 0, id, failure);
    }
    let outcome = table.decide(NOW, &request("popular"));
    expect_that!(outcome, eq(Outcome::Exclusive));
    expect_that!(
        table.record_success(NOW, &request("popular")),
        some(anything())
    );
    expect_that!(table.decide(NOW, &request("popular")), eq(Outcome::Normal));
}

// Guards against a request without end under which upstreams crash and are back before it is noticed.
#[gtest]
fn broken_connections_add_up() {
    let mut table = table();
    break_connection(&mut table, 1);
    expect_that!(table.decide(NOW, &request("bad")), eq(Outcome::Normal));
    for id in 2..=5 {
        break_connection(&mut table, id);
        expect_that!(table.decide(NOW, &request("bad")), eq(Outcome::Exclusive));
    }
    break_connection(&mut table, 6);
    let outcome = table.decide(NOW, &request("bad"));
    expect_that!(outcome, matches_pattern!(Outcome::Refused { .. }));
}

// Guards against messages to all entries for each connection that breaks.
#[gtest]
fn a_broken_connection_is_not_shared() {
    let mut table = table();
    break_connection(&mut table, 1);
    let weight = table.weight(NOW, &request("bad"));
    expect_false!(table.is_shared(weight));
    let weight = crash_at(&mut table, NOW, 2).evidence.weight();
    expect_true!(table.is_shared(weight));
}

// Guards against one crash that counts as often as it is reported.
#[gtest]
fn a_crash_counts_once() {
    let mut table = table();
    for _ in 0..5 {
        crash_at(&mut table, NOW, 1);
    }
    let outcome = table.decide(NOW, &request("bad"));
    expect_that!(outcome, eq(Outcome::Exclusive));
}

// Guards against a late report of a crash that brings back a suspicion which was lifted.
#[gtest]
fn a_disproved_crash_stays_disproved() {
    let mut table = table();
    let late = crash_at(&mut table, NOW, 1);
    table.record_success(NOW, &request("bad"));
    expect_that!(table.merge(NOW, &late), eq(false));
    expect_that!(table.decide(NOW, &request("bad")), eq(Outcome::Normal));
}

// Guards against a disproof that is dropped before others hear of it, as many others are kept.
#[gtest]
fn each_disproof_reaches_others() {
    let (mut first, mut second) = (table(), table());
    for id in 1..=40 {
        // Ids are hashes, so that the newest may be the lowest.
        let crash = crash_at(&mut first, NOW, 1_000 - id);
        second.merge(NOW, &crash);
        let lifted = first.record_success(NOW, &request("bad")).unwrap();
        second.merge(NOW, &lifted);
        expect_that!(second.decide(NOW, &request("bad")), eq(Outcome::Normal));
    }
}

// Guards against a refusal for good, and against one that ends all at once.
#[gtest]
fn probation_is_rarer_with_each_crash() {
    let mut table = table();
    for id in 1..=3 {
        crash_at(&mut table, NOW, id);
    }
    let mut now = NOW;
    for (id, seconds) in [(4, 60), (5, 240), (6, 960), (7, 3_600)] {
        now += Duration::from_secs(seconds);
        let just_before = now - Duration::from_millis(1);
        let refused = table.decide(just_before, &request("bad"));
        expect_that!(refused, matches_pattern!(Outcome::Refused { .. }));
        let permitted = table.decide(now, &request("bad"));
        expect_that!(permitted, eq(Outcome::Exclusive));
        crash_at(&mut table, now, id);
    }
}

// Guards against two processes that disagree on when a request may be tried again.
#[gtest]
fn ages_travel_between_clocks() {
    let mut first = table();
    for id in 1..=3 {
        crash_at(&mut first, NOW, id);
    }
    let later = NOW + Duration::from_secs(50);
    let mut second = table();
    for suspect in first.changed_since(later, 0) {
        second.merge(Duration::ZERO, &suspect);
    }
    let refused = Outcome::Refused {
        retry_after: Duration::from_secs(10),
    };
    expect_that!(first.decide(later, &request("bad")), eq(refused));
    expect_that!(second.decide(Duration::ZERO, &request("bad")), eq(refused));
}

// Guards against a team that pushes the quarantines of another out of the bounded table.
#[gtest]
fn no_owner_pushes_out_anothers_records() {
    let mut table = quarantine::Table::new(quarantine::Options {
        capacity: 100,
        ..quarantine::Options::default()
    });
    for id in 1..=3 {
        crash_at(&mut table, NOW, id);
    }
    for index in 0..1_000 {
        let flooding = request(&format!("other-{index}"));
        for known in 0..8 {
            let failure = quarantine::Failure::crash(known);
            let id = index * 10 + u64::from(known);
            table.record_failure(NOW, flooding, 7, id, failure);
        }
    }
    expect_that!(table.len(), eq(100));
    let outcome = table.decide(NOW, &request("bad"));
    expect_that!(outcome, matches_pattern!(Outcome::Refused { .. }));
}

// Guards against two attempts of one suspect at a time.
#[gtest]
fn a_claim_excludes_others_until_it_ends() {
    let mut claims = quarantine::Claims::default();
    let ttl = Duration::from_secs(2);
    expect_true!(claims.claim(NOW, request("bad"), 1, ttl));
    expect_true!(claims.claim(NOW, request("bad"), 1, ttl));
    expect_false!(claims.claim(NOW, request("bad"), 2, ttl));
    expect_true!(claims.claim(NOW, request("other"), 2, ttl));
    claims.release(&request("bad"), 2);
    expect_false!(claims.claim(NOW, request("bad"), 2, ttl));
    claims.release(&request("bad"), 1);
    expect_true!(claims.claim(NOW, request("bad"), 2, ttl));
    expect_true!(claims.claim(NOW + ttl, request("bad"), 3, ttl));
}

/// One change of evidence: a crash of a variant with the weight known before, or a completed run.
fn change() -> impl Strategy<Value = Option<(u64, u32)>> {
    prop_oneof![
        4 => (0_u64..6, 0_u64..3, 0_u32..8)
            .prop_map(|(upstream, variant, known)| Some((variant << 32 | upstream, known))),
        1 => Just(None),
    ]
}

fn evidence(changes: &[Option<(u64, u32)>]) -> quarantine::Evidence {
    let mut evidence = quarantine::Evidence::default();
    for change in changes {
        match change {
            Some((id, known)) => evidence.record(*id, quarantine::Failure::crash(*known)),
            None => {
                evidence.disprove();
            }
        }
    }
    evidence
}

fn merged(all: &[&quarantine::Evidence]) -> quarantine::Evidence {
    let mut merged = quarantine::Evidence::default();
    for other in all {
        merged.merge(other);
    }
    merged
}

proptest! {
    // Guards against processes that end up with different records of the same crashes.
    #[test]
    fn merging_depends_on_no_order(
        a in prop::collection::vec(change(), 0..8),
        b in prop::collection::vec(change(), 0..8),
        c in prop::collection::vec(change(), 0..8),
    ) {
        let (a, b, c) = (evidence(&a), evidence(&b), evidence(&c));
        let whole = merged(&[&a, &b, &c]);
        prop_assert_eq!(&whole, &merged(&[&c, &a, &b]));
        prop_assert_eq!(&whole, &merged(&[&merged(&[&a, &b]), &c]));
        prop_assert_eq!(&whole, &merged(&[&whole, &a]));
    }
}
