//! What a team may send, over all entries together.

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

/// What a window of five seconds allows.
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

/// Tells the one replica of entry 1, and hears from it.
fn exchange(account: &mut Account, sum: &mut Aggregate, now: Duration) {
    let heard = sum.exchange(1, &account.report(now, &options()), now);
    account.merge(&heard, now, &options());
}

/// A request at each of `times`, all heard of at once; how many ran.
fn send(account: &mut Account, stage: Stage, times: impl Iterator<Item = u64>) -> i64 {
    let mut sum = Aggregate::default();
    let mut ran = 0;
    for now in times.map(ms) {
        ran += i64::from(admits(account, stage, now));
        exchange(account, &mut sum, now);
    }
    ran
}

/// An account that has heard of a replica which has counted for long.
fn known() -> Account {
    let mut account = Account::default();
    account.merge(&heard(0, 0), ms(0), &options());
    account
}

fn heard(recent: i64, told: i64) -> Summary {
    let counts = |requests| Counts {
        requests,
        begins: 0,
    };
    Summary {
        recent: counts(recent),
        reported: counts(told),
        counted_for: ms(60_000),
    }
}

#[gtest]
fn refuses_beyond_the_limit() {
    // A part of what the count may be wrong by is lent to programs under way.
    let ran = send(&mut known(), Stage::Continues, 0..5_000);
    expect_that!(ran, eq(ALLOWED + 20));
}

// A team begins more programs than its quota can finish. Their first turns used it up, and nearly all
// were broken off later.
#[gtest]
fn begins_as_many_programs_as_can_be_finished() {
    let mut account = known();
    let begun = send(&mut account, Stage::Begins, 0..2_000);
    // Fifteen requests each are expected, as none was seen to its end yet.
    expect_that!(begun, eq(ALLOWED / 15));
    let left = send(&mut account, Stage::Continues, 2_000..2_200);
    expect_that!(left, eq(200));
}

#[gtest]
fn learns_what_programs_need() {
    let mut account = known();
    // Programs of forty requests, for long.
    for now in (0..100_000).step_by(2_000) {
        send(&mut account, Stage::Begins, now..=now);
        send(&mut account, Stage::Continues, now..now + 39);
    }
    let begun = send(&mut account, Stage::Begins, 110_000..112_000);
    expect_that!(begun, all!(ge(ALLOWED / 40), le(ALLOWED / 25)));
}

#[gtest]
fn tells_when_to_return() {
    let mut account = known();
    send(&mut account, Stage::Continues, 0..4_000);
    let refused = account.decide(LIMIT, Stage::Continues, ms(4_000), &options());
    // The first of them are out of the window after five seconds and a slot.
    expect_that!(refused, eq(Outcome::Refused(ms(1_100))));
}

#[gtest]
fn gives_back_what_did_not_run() {
    let mut account = known();
    expect_true!(admits(&mut account, Stage::Begins, ms(0)));
    account.refund(Stage::Begins, ms(0), &options());
    let told = account.report(ms(0), &options());
    expect_that!(told.total, eq(Counts::default()));
    expect_that!(told.recent, eq(Counts::default()));
}

#[gtest]
fn counts_what_others_let_through() {
    let mut account = known();
    account.merge(&heard(ALLOWED + 19, 0), ms(0), &options());
    expect_true!(admits(&mut account, Stage::Continues, ms(0)));
    expect_false!(admits(&mut account, Stage::Continues, ms(0)));
}

// The nearest replica changes. The same requests must not be counted a second time.
#[gtest]
fn counts_the_same_requests_once_from_two_replicas() {
    let mut account = known();
    account.merge(&heard(200, 0), ms(0), &options());
    account.merge(&heard(200, 0), ms(0), &options());
    account.merge(&heard(150, 0), ms(0), &options());
    let ran = send(&mut account, Stage::Continues, 0..300);
    expect_that!(ran, eq(ALLOWED + 20 - 200));
}

// An entry that is cut off from all replicas hears of nobody, as others may be, too.
#[gtest]
fn lets_few_through_unheard() {
    let mut account = known();
    let ran = (0..100).filter(|now| admits(&mut account, Stage::Continues, ms(*now)));
    expect_that!(ran.count(), eq(16));
    let mut new = Account::default();
    let ran = (0..100).filter(|now| admits(&mut new, Stage::Continues, ms(*now)));
    expect_that!(ran.count(), eq(4));
}

// All power is lost, and with it all counts. A team that had sent what it may sent as much again within
// the same window.
#[gtest]
fn is_careful_after_a_start_of_all() {
    let mut account = Account::default();
    let ran = send(&mut account, Stage::Continues, 0..1_000);
    // A fifth of the window is over.
    expect_that!(ran, le(ALLOWED / 5 + 20));
    expect_that!(ran, ge(ALLOWED / 5));
}

#[gtest]
fn follows_a_lower_limit_at_once() {
    let mut account = known();
    send(&mut account, Stage::Continues, 0..100);
    let lower = Limit {
        rate: 2.0,
        burst: 2.0,
    };
    let decided = account.decide(lower, Stage::Continues, ms(100), &options());
    expect_that!(decided, matches_pattern!(Outcome::Refused(_)));
}

/// What entries told, on its way to the replica.
type Way = VecDeque<(Duration, usize, Report)>;

/// Requests that ran in each millisecond, of a team that sends `per_ms` through `entries`, each of
/// which tells the replica every 50 ms if it has to, and hears from it `lag` later.
fn play(seed: u64, limit: Limit, entries: usize, per_ms: f64, lag: Duration) -> Vec<i64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut accounts: Vec<_> = (0..entries).map(|_| known()).collect();
    let mut sum = Aggregate::default();
    let mut way = Way::new();
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
            way.push_back((now + lag, at as usize % 50, account.report(now, &options())));
        }
        while let Some((_, entry, told)) = way.pop_front_if(|(due, ..)| *due <= now) {
            let heard = sum.exchange(entry as u32, &told, now);
            accounts[entry].merge(&heard, now, &options());
        }
        ran.push(here);
    }
    ran
}

// Counts are some tens of milliseconds old. In no window may more run than the limit and what the count may
// be wrong by; and what is below the limit is let through.
#[gtest]
fn holds_in_every_window_over_all_entries() {
    for seed in 0..10 {
        let ran = play(seed, LIMIT, 20, 0.25, ms(20));
        let mut window: i64 = ran[..5_000].iter().sum();
        for at in 5_000..ran.len() {
            assert_that!(window, le(ALLOWED + ALLOWED / 10 + 20), "seed {seed}");
            window += ran[at] - ran[at - 5_000];
        }
        let all: i64 = ran.iter().sum();
        expect_that!(all, ge(ALLOWED * 4 * 9 / 10));
        let calm: i64 = play(seed, LIMIT, 20, 0.03, ms(20)).iter().sum();
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
        let ran = play(seed, limit, 20, 0.08, ms(20));
        let mut window: i64 = ran[..5_000].iter().sum();
        for at in 5_000..ran.len() {
            assert_that!(window, le(allowed), "seed {seed}");
            window += ran[at] - ran[at - 5_000];
        }
    }
}
