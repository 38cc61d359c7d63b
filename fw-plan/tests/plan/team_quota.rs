//! Limit on the requests of a team over all entries together.

use std::collections::VecDeque;
use std::time::Duration;

use fw_plan::quota::{
    Account, Aggregate, Counts, Limit, Options, Outcome, Report, Stage, Summary, SyncNeed,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT: Limit = Limit {
    rate: 50.0,
    burst: 50.0,
};

/// Requests that the limit allows in a window of five seconds.
const ALLOWED: i64 = 300;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn options() -> Options {
    Options {
        tolerance_share: 0.1,
        tolerance_requests: 20.0,
        ..Options::default()
    }
}

fn admits(account: &mut Account, stage: Stage, now: Duration) -> bool {
    account.decide(LIMIT, stage, now, &options()) == Outcome::Admitted
}

/// Reports to the only replica as entry 1, and merges its summary.
fn exchange(account: &mut Account, aggregate: &mut Aggregate, now: Duration) {
    let summary = aggregate.exchange(1, &account.report(now, &options()), now);
    account.merge(&summary, now, &options());
}

/// Sends a request at each of `times`, with an exchange after each; returns how many ran.
fn send(account: &mut Account, stage: Stage, times: impl Iterator<Item = u64>) -> i64 {
    let mut aggregate = Aggregate::default();
    let mut ran = 0;
    for now in times.map(ms) {
        ran += i64::from(admits(account, stage, now));
        exchange(account, &mut aggregate, now);
    }
    ran
}

/// An account with a summary from a replica that has counted for long.
fn synced_account() -> Account {
    let mut account = Account::default();
    account.merge(&summary(0, 0), ms(0), &options());
    account
}

fn summary(recent: i64, reported: i64) -> Summary {
    let counts = |requests| Counts {
        requests,
        begins: 0,
    };
    Summary {
        recent: counts(recent),
        reported: counts(reported),
        counted_for: ms(60_000),
    }
}

#[gtest]
fn refuses_beyond_the_limit() {
    // A part of the tolerance is available to programs under way.
    let ran = send(&mut synced_account(), Stage::Continues, 0..5_000);
    expect_that!(ran, eq(ALLOWED + 20));
}

// Guards against a team that begins more programs than its quota can finish: their first turns use
// it up, and nearly all are broken off later.
#[gtest]
fn begins_only_programs_that_can_finish() {
    let mut account = synced_account();
    let begun = send(&mut account, Stage::Begins, 0..2_000);
    // Fifteen requests each are assumed, as none has ended yet.
    expect_that!(begun, eq(ALLOWED / 15));
    let left = send(&mut account, Stage::Continues, 2_000..2_200);
    expect_that!(left, eq(200));
}

#[gtest]
fn learns_requests_per_program() {
    let mut account = synced_account();
    // Programs of forty requests, for a long time.
    for now in (0..100_000).step_by(2_000) {
        send(&mut account, Stage::Begins, now..=now);
        send(&mut account, Stage::Continues, now..now + 39);
    }
    let begun = send(&mut account, Stage::Begins, 110_000..112_000);
    expect_that!(begun, all!(ge(ALLOWED / 40), le(ALLOWED / 25)));
}

#[gtest]
fn states_when_to_retry() {
    let mut account = synced_account();
    send(&mut account, Stage::Continues, 0..4_000);
    let refused = account.decide(LIMIT, Stage::Continues, ms(4_000), &options());
    // The first of them leave the window after five seconds and a bucket.
    expect_that!(refused, eq(Outcome::Refused(ms(1_100))));
}

#[gtest]
fn refunds_requests_that_did_not_run() {
    let mut account = synced_account();
    expect_true!(admits(&mut account, Stage::Begins, ms(0)));
    account.refund(Stage::Begins, ms(0), &options());
    let report = account.report(ms(0), &options());
    expect_that!(report.total, eq(Counts::default()));
    expect_that!(report.recent, eq(Counts::default()));
}

#[gtest]
fn counts_requests_of_other_entries() {
    let mut account = synced_account();
    account.merge(&summary(ALLOWED + 19, 0), ms(0), &options());
    expect_true!(admits(&mut account, Stage::Continues, ms(0)));
    expect_false!(admits(&mut account, Stage::Continues, ms(0)));
}

// Guards against counting the same requests a second time when the nearest replica changes.
#[gtest]
fn counts_the_same_requests_once_from_two_replicas() {
    let mut account = synced_account();
    account.merge(&summary(200, 0), ms(0), &options());
    account.merge(&summary(200, 0), ms(0), &options());
    account.merge(&summary(150, 0), ms(0), &options());
    let ran = send(&mut account, Stage::Continues, 0..300);
    expect_that!(ran, eq(ALLOWED + 20 - 200));
}

// An entry that is cut off from all replicas receives no counts, and others may be cut off, too.
#[gtest]
fn admits_few_requests_before_a_sync() {
    let mut account = synced_account();
    let ran = (0..100).filter(|now| admits(&mut account, Stage::Continues, ms(*now)));
    expect_that!(ran.count(), eq(16));
    let mut new = Account::default();
    let ran = (0..100).filter(|now| admits(&mut new, Stage::Continues, ms(*now)));
    expect_that!(ran.count(), eq(4));
}

// Guards against a power failure of all machines that deletes all counts: a team that had used its
// limit could send as much again within the same window.
#[gtest]
fn admits_a_fraction_after_all_counts_are_lost() {
    let mut account = Account::default();
    let ran = send(&mut account, Stage::Continues, 0..1_000);
    // A fifth of the window has passed.
    expect_that!(ran, le(ALLOWED / 5 + 20));
    expect_that!(ran, ge(ALLOWED / 5));
}

#[gtest]
fn applies_a_lower_limit_at_once() {
    let mut account = synced_account();
    send(&mut account, Stage::Continues, 0..100);
    let lower = Limit {
        rate: 2.0,
        burst: 2.0,
    };
    let decided = account.decide(lower, Stage::Continues, ms(100), &options());
    expect_that!(decided, matches_pattern!(Outcome::Refused(_)));
}

/// Reports of entries in flight to the replica.
type InFlight = VecDeque<(Duration, usize, Report)>;

/// Requests that ran in each millisecond, of a team that sends `per_ms` through `entries`, each of
/// which reports to the replica every 50 ms if it has to, and receives the summary `lag` later.
fn simulate(seed: u64, limit: Limit, entries: usize, per_ms: f64, lag: Duration) -> Vec<i64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut accounts: Vec<_> = (0..entries).map(|_| synced_account()).collect();
    let mut aggregate = Aggregate::default();
    let mut in_flight = InFlight::new();
    let mut ran = Vec::new();
    for at in 0..20_000 {
        let now = ms(at);
        let mut here = 0;
        if rng.random::<f64>() < per_ms {
            let entry = rng.random_range(0..entries);
            let decided = accounts[entry].decide(limit, Stage::Continues, now, &options());
            here += i64::from(decided == Outcome::Admitted);
        }
        if let Some(account) = accounts.get_mut(at as usize % 50)
            && account.required_sync(limit, now, &options()) != SyncNeed::Nothing
        {
            in_flight.push_back((now + lag, at as usize % 50, account.report(now, &options())));
        }
        while let Some((_, entry, report)) = in_flight.pop_front_if(|(due, ..)| *due <= now) {
            let summary = aggregate.exchange(entry as u32, &report, now);
            accounts[entry].merge(&summary, now, &options());
        }
        ran.push(here);
    }
    ran
}

// Counts are some tens of milliseconds old. In no window may more requests run than the limit and
// the tolerance allow, and a load below the limit is admitted.
#[gtest]
fn holds_in_every_window_over_all_entries() {
    for seed in 0..10 {
        let ran = simulate(seed, LIMIT, 20, 0.25, ms(20));
        let mut window: i64 = ran[..5_000].iter().sum();
        for at in 5_000..ran.len() {
            assert_that!(window, le(ALLOWED + ALLOWED / 10 + 20), "seed {seed}");
            window += ran[at] - ran[at - 5_000];
        }
        let all: i64 = ran.iter().sum();
        expect_that!(all, ge(ALLOWED * 4 * 9 / 10));
        let calm: i64 = simulate(seed, LIMIT, 20, 0.03, ms(20)).iter().sum();
        expect_that!(calm, ge(560));
    }
}

// A small team's requests come in through all entries, a few through each.
#[gtest]
fn holds_for_a_small_team_over_many_entries() {
    let limit = Limit {
        rate: 17.0,
        burst: 17.0,
    };
    let allowed = 17 * 6 + 17 * 6 / 10 + 20;
    for seed in 0..10 {
        let ran = simulate(seed, limit, 20, 0.08, ms(20));
        let mut window: i64 = ran[..5_000].iter().sum();
        for at in 5_000..ran.len() {
            assert_that!(window, le(allowed), "seed {seed}");
            window += ran[at] - ran[at - 5_000];
        }
    }
}
