//! Requests that crash upstreams in variants, beside others that complete.

use std::time::Duration;

use fw_base::digest;
use fw_plan::quarantine::{self, Failure, Identity, Incarnation, LEVELS, Level, Permission};
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);
/// Attempts that may follow the third crash.
const MAX_LATE_ATTEMPTS: usize = 3;
/// Copies of the request that crashes upstreams.
const COPIES: usize = 20;

fn fingerprint(text: &str) -> quarantine::Fingerprint {
    digest::Digest::of_bytes(text.as_bytes())
}

/// The identity of a request to `path` with `body` that continues the turn `previous`.
fn identity(path: &str, body: &str, previous: &str) -> Identity {
    Identity {
        path: fingerprint(&format!("path {path}")),
        body: fingerprint(&format!("body {path} {body}")),
        request: fingerprint(&format!("request {path} {body} {previous}")),
    }
}

/// The start of `upstream` at `started_at`.
fn start_of(upstream: &str, started_at: quarantine::StartTime) -> Incarnation {
    Incarnation {
        upstream: upstream.into(),
        started_at,
    }
}

struct Records {
    table: quarantine::Table,
    /// Number of upstreams that have crashed.
    crashes: usize,
}

impl Records {
    fn new() -> Self {
        Self {
            table: quarantine::Table::new(quarantine::Options::default()),
            crashes: 0,
        }
    }

    fn fail_at(&mut self, identity: &Identity, upstream: &str, failure: fn(u32) -> Failure) {
        let at = start_of(upstream, 1);
        self.fail_under(identity, &at, failure);
    }

    fn fail_under(&mut self, identity: &Identity, at: &Incarnation, failure: fn(u32) -> Failure) {
        let failures = self.table.weights(NOW, identity).map(failure);
        self.table.record_failure_at(NOW, identity, 0, at, failures);
    }

    /// Sends a request that crashes its upstream, unless it is refused.
    fn crash(&mut self, identity: &Identity) {
        if !self.is_refused(identity) {
            self.crashes += 1;
            let upstream = format!("u{}", self.crashes);
            self.fail_at(identity, &upstream, Failure::crash);
        }
    }

    fn complete(&mut self, identity: &Identity) {
        self.table.record_success_at(NOW, identity);
    }

    fn is_refused(&self, identity: &Identity) -> bool {
        let permission = self.table.permission(NOW, identity);
        matches!(permission, Permission::Refused { .. })
    }

    /// Number of records that permit one attempt at a time.
    fn exclusive(&self, identity: &Identity) -> usize {
        match self.table.permission(NOW, identity) {
            Permission::Attempt { exclusive } => exclusive.len(),
            Permission::Refused { .. } => LEVELS,
        }
    }
}

/// Plays copies of a request that crashes upstreams, each followed by a request that completes, if any;
/// returns how many copies reach an upstream after the third. The fingerprints of the level `without`
/// recognise nothing.
fn late_attempts(
    copy: impl Fn(usize) -> Identity,
    beside: impl Fn(usize) -> Option<Identity>,
    without: Option<Level>,
) -> usize {
    let mut records = Records::new();
    for index in 0..COPIES {
        let unique = fingerprint(&format!("unique {index}"));
        let mut copy = copy(index);
        match without {
            Some(Level::Path) => copy.path = unique,
            Some(Level::Body) => copy.body = unique,
            Some(Level::Request) => copy.request = unique,
            None => {}
        }
        records.crash(&copy);
        if let Some(beside) = beside(index) {
            records.complete(&beside);
        }
    }
    records.crashes.saturating_sub(3)
}

// Guards against a request that is counted anew with each body to which it grows.
#[gtest]
fn the_path_finds_bodies_that_grow() {
    let copy = |index| identity("/bad", &format!("bad {index}"), "");
    let late = |without| late_attempts(copy, |_| None, without);
    expect_that!(late(None), le(MAX_LATE_ATTEMPTS));
    expect_that!(late(Some(Level::Path)), gt(MAX_LATE_ATTEMPTS));
}

// Guards against a turn that is counted anew after each other turn, on a path where others complete.
#[gtest]
fn the_body_finds_turns_that_continue_others() {
    let copy = |index| identity("/chat", "bad", &format!("turn-{index}"));
    let beside = |index| Some(identity("/chat", &format!("good {index}"), ""));
    let late = |without| late_attempts(copy, beside, without);
    expect_that!(late(None), le(MAX_LATE_ATTEMPTS));
    expect_that!(late(Some(Level::Body)), gt(MAX_LATE_ATTEMPTS));
}

// Guards against a turn that goes on since others complete with the same input after other turns.
#[gtest]
fn the_request_is_found_beside_turns_with_its_input() {
    let copy = |_| identity("/chat", "yes", "turn-bad");
    let beside = |index| Some(identity("/chat", "yes", &format!("turn-{index}")));
    let late = |without| late_attempts(copy, beside, without);
    expect_that!(late(None), le(MAX_LATE_ATTEMPTS));
    expect_that!(late(Some(Level::Request)), gt(MAX_LATE_ATTEMPTS));
}

// Guards against the refusal of all requests on a path for one of them.
#[gtest]
fn one_variant_restricts_no_other() {
    let mut records = Records::new();
    let bad = identity("/chat", "bad", "turn-1");
    (0..COPIES).for_each(|_| records.crash(&bad));
    expect_that!(records.crashes, eq(3));
    expect_true!(records.is_refused(&bad));
    for other in [
        identity("/chat", "good", "turn-1"),
        identity("/chat", "bad", "turn-2"),
    ] {
        expect_that!(records.exclusive(&other), eq(0));
    }
}

// Guards against the refusal of a path for one upstream that breaks the connections of all requests.
#[gtest]
fn one_upstream_restricts_no_path() {
    let mut records = Records::new();
    for index in 0..COPIES {
        let request = identity("/chat", &format!("good {index}"), "");
        records.fail_at(&request, "faulty", Failure::broken_connection);
    }
    let other = identity("/chat", "other", "");
    expect_that!(records.exclusive(&other), eq(0));
}

// Guards against the refusal of a path for one upstream that crashes by itself after each start.
#[gtest]
fn an_upstream_that_crashes_at_each_start_restricts_no_path() {
    let mut records = Records::new();
    for started_at in 1..=COPIES {
        let request = identity("/chat", &format!("good {started_at}"), "");
        let at = start_of("faulty", started_at as u64);
        records.fail_under(&request, &at, Failure::crash);
    }
    let other = identity("/chat", "other", "");
    expect_that!(records.exclusive(&other), eq(0));
}

// Guards against a group that stays restricted although one of its requests has completed.
#[gtest]
fn a_completed_run_lifts_all_its_levels() {
    let mut records = Records::new();
    for index in 0..2 {
        records.crash(&identity("/chat", &format!("bad {index}"), ""));
    }
    let other = identity("/chat", "other", "");
    expect_that!(records.exclusive(&other), eq(1));
    records.complete(&other);
    expect_that!(records.exclusive(&other), eq(0));
    let bad = identity("/chat", "bad 0", "");
    expect_that!(records.exclusive(&bad), eq(1));
}

// Guards against two attempts that each hold a part of the claims that both need, and wait for the other.
#[gtest]
fn claims_are_granted_together_or_not_at_all() {
    let mut claims = quarantine::Claims::default();
    let [path, body] = ["path", "body"].map(fingerprint);
    let ttl = Duration::from_secs(2);
    expect_true!(claims.claim(NOW, body, 1, ttl));
    expect_false!(claims.claim_all(NOW, &[path, body], 2, ttl));
    expect_true!(claims.claim(NOW, path, 3, ttl));
}

// Guards against a path that stays restricted elsewhere after one of its requests has completed, as the crash
// was shared by more of them than a record holds.
#[gtest]
fn a_completed_run_lifts_a_crash_under_many_variants() {
    let [mut one, mut other] = [(); 2].map(|()| Records::new());
    for upstream in ["u1", "u2"] {
        for index in 0..COPIES {
            let here = identity("/chat", &format!("{upstream} here {index}"), "");
            let there = identity("/chat", &format!("{upstream} there {index}"), "");
            one.fail_at(&here, upstream, Failure::crash);
            other.fail_at(&there, upstream, Failure::crash);
        }
    }
    let next = identity("/chat", "next", "");
    expect_that!(other.exclusive(&next), ge(1));
    one.complete(&next);
    let known = one.table.get(NOW, &next.path).unwrap();
    other.table.merge(NOW, &known);
    expect_that!(other.exclusive(&next), eq(0));
    let known = other.table.get(NOW, &next.path).unwrap();
    one.table.merge(NOW, &known);
    expect_that!(one.exclusive(&next), eq(0));
}

// Guards against crashes that are not counted because their upstream has started again under the id that it had.
#[gtest]
fn each_start_of_an_upstream_counts() {
    let bad = identity("/bad", "bad", "");
    let mut records = Records::new();
    for started_at in 1..=3 {
        expect_false!(records.is_refused(&bad));
        records.fail_under(&bad, &start_of("u", started_at), Failure::crash);
    }
    expect_true!(records.is_refused(&bad));
}

// Guards against a completed run that disproves the crashes of later starts too.
#[gtest]
fn a_disproved_crash_leaves_later_starts_alone() {
    let bad = identity("/bad", "bad", "");
    let mut records = Records::new();
    records.fail_under(&bad, &start_of("u", 1), Failure::crash);
    records.complete(&bad);
    records.fail_under(&bad, &start_of("u", 1), Failure::crash);
    expect_that!(records.exclusive(&bad), eq(0));
    records.fail_under(&bad, &start_of("u", 2), Failure::crash);
    expect_that!(records.exclusive(&bad), gt(0));
}

/// Crashes of an upstream behind a link that breaks again and again which do not lead to a refusal.
const MAX_BROKEN_LINKS: usize = 4;

// Guards against crashes that are not counted because no item of the list has stated the starts after them.
#[gtest]
fn crashes_without_a_listed_start_weigh_less() {
    let bad = identity("/bad", "bad", "");
    let mut records = Records::new();
    for _ in 0..MAX_BROKEN_LINKS {
        records.fail_at(&bad, "u", Failure::crash);
        expect_false!(records.is_refused(&bad));
    }
    records.fail_at(&bad, "u", Failure::crash);
    expect_true!(records.is_refused(&bad));
}

// Guards against a crash that counts as often as there were copies under way.
#[gtest]
fn copies_at_one_incarnation_are_one_failure() {
    let popular = identity("/popular", "", "");
    let mut records = Records::new();
    for _ in 0..COPIES {
        let failures = [Failure::crash(0); LEVELS];
        let at = start_of("u", 1);
        records
            .table
            .record_failure_at(NOW, &popular, 0, &at, failures);
    }
    expect_that!(
        records.table.weights(NOW, &popular),
        eq([quarantine::CRASH_WEIGHT; LEVELS])
    );
}
