//! Requests that crash their upstreams, where a suspect runs alone in its engine.

use std::time::Duration;

use fw_base::digest;
use fw_plan::quarantine::{self, Outcome};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn fingerprint(text: &str) -> quarantine::Fingerprint {
    digest::Digest::of_bytes(text.as_bytes())
}

fn options() -> quarantine::Options {
    quarantine::Options {
        weight_limit: 2 * quarantine::CRASH_WEIGHT,
        ..quarantine::Options::default()
    }
}

/// Records the crash `id` under the request `text`, in knowledge of all failures before.
fn crash(table: &mut quarantine::Table, text: &str, id: quarantine::FailureId) {
    let request = fingerprint(text);
    let failure = quarantine::Failure::crash(table.weight(NOW, &request));
    table.record_failure(NOW, request, 0, id, failure);
}

// Guards against the refusal of requests that an engine ran beside the one that crashed it.
#[gtest]
fn only_the_cause_is_quarantined() {
    let mut table = quarantine::Table::new(options());
    for (id, text) in ["a", "b", "c", "bad"].into_iter().enumerate() {
        crash(&mut table, text, id as u64);
    }
    for text in ["a", "b", "c", "bad"] {
        let outcome = table.decide(NOW, &fingerprint(text));
        expect_that!(outcome, eq(Outcome::Exclusive), "{text}");
    }
    for text in ["a", "b", "c"] {
        table.record_success(NOW, &fingerprint(text));
        let outcome = table.decide(NOW, &fingerprint(text));
        expect_that!(outcome, eq(Outcome::Normal), "{text}");
    }
    crash(&mut table, "bad", 4);
    let outcome = table.decide(NOW, &fingerprint("bad"));
    let Outcome::Refused { retry_after } = outcome else {
        panic!("{outcome:?}");
    };
    let outcome = table.decide(NOW + retry_after, &fingerprint("bad"));
    expect_that!(outcome, eq(Outcome::Exclusive));
}

// Guards against a caller that has a quarantine forgotten by many requests that are only suspects.
#[gtest]
fn memory_is_bounded_and_keeps_quarantines() {
    let mut table = quarantine::Table::new(quarantine::Options {
        capacity: 100,
        ..options()
    });
    crash(&mut table, "bad", 1);
    crash(&mut table, "bad", 2);
    for index in 0..1_000 {
        crash(&mut table, &index.to_string(), 3);
    }
    expect_that!(table.len(), eq(100));
    let outcome = table.decide(NOW, &fingerprint("bad"));
    expect_that!(outcome, matches_pattern!(Outcome::Refused { .. }));
}

// Guards against processes that exchange their records for ever, or never, as their digests do not
// follow what they know.
#[gtest]
fn digests_agree_once_records_are_exchanged() {
    let [mut one, mut other] = [(); 2].map(|()| quarantine::Table::new(options()));
    crash(&mut one, "bad", 1);
    crash(&mut other, "bad", 2);
    crash(&mut other, "worse", 3);
    expect_that!(one.digest(NOW), not(eq(other.digest(NOW))));
    for suspect in other.live(NOW) {
        one.merge(NOW, &suspect);
    }
    for suspect in one.live(NOW) {
        other.merge(NOW, &suspect);
    }
    expect_that!(one.digest(NOW), eq(other.digest(NOW)));
    one.record_success(NOW, &fingerprint("worse"));
    expect_that!(one.digest(NOW), not(eq(other.digest(NOW))));
}
