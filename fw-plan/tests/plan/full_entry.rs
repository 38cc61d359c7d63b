//! An entry to which more requests come than it works off.

use std::collections::VecDeque;
use std::time::Duration;

use fw_plan::intake::{Options, REQUEST_BYTES};
use googletest::prelude::*;

/// Memory of the instance.
const MEMORY: u64 = 88 << 20;
/// Bytes of a body.
const BODY_BYTES: usize = 8 << 10;
/// Bytes held for a request.
const HELD_BYTES: usize = REQUEST_BYTES + BODY_BYTES;
/// Requests that the entry works off in a hundredth of a second: it has half of its processor time.
const SERVED_PER_TICK: usize = 1;
/// Requests that come in that time: the data centre has twice the load of the others.
const ARRIVALS_PER_TICK: usize = 4;
/// One request in so many begins a program.
const BEGINS_EVERY: usize = 4;
/// Length of the overload: a minute.
const TICKS: usize = 6_000;

#[derive(Debug, Default)]
struct Outcome {
    most_held: usize,
    refused_begins: usize,
    refused_others: usize,
    retry_after: Vec<Duration>,
}

/// Plays the overload; requests beyond `opts` are refused.
fn play(opts: &Options) -> Outcome {
    let mut queue = VecDeque::new();
    let mut outcome = Outcome::default();
    for arrival in 0..TICKS * ARRIVALS_PER_TICK {
        if arrival % ARRIVALS_PER_TICK == 0 {
            queue.drain(..SERVED_PER_TICK.min(queue.len()));
        }
        let begins = arrival % BEGINS_EVERY == 0;
        let held = queue.len() * HELD_BYTES;
        let draw = (arrival % 100) as f64 / 100.0;
        match opts.decide(begins, held, HELD_BYTES, None, draw) {
            Ok(()) => queue.push_back(arrival),
            Err(refusal) => {
                outcome.retry_after.push(refusal.retry_after);
                match begins {
                    true => outcome.refused_begins += 1,
                    false => outcome.refused_others += 1,
                }
            }
        }
        outcome.most_held = outcome.most_held.max(queue.len() * HELD_BYTES);
    }
    outcome
}

// Guards against an entry that grows beyond its memory, however long more comes than it works off.
#[gtest]
fn holds_no_more_than_its_budget() {
    let unbounded = Options {
        max_bytes: usize::MAX,
        begin_share: 1.0,
        ..Options::default()
    };
    expect_that!(play(&unbounded).most_held, gt(MEMORY as usize));
    let opts = Options::for_memory(MEMORY);
    expect_that!(play(&opts).most_held, le(opts.max_bytes));
    expect_that!(opts.max_bytes, le(MEMORY as usize / 4));
}

// Guards against programs that are cut midway while others still begin.
#[gtest]
fn refuses_programs_that_begin_first() {
    let opts = Options::for_memory(MEMORY);
    let half = opts.limit(true) - HELD_BYTES / 2;
    expect_that!(
        opts.decide(true, half, HELD_BYTES, None, 0.0),
        err(anything())
    );
    expect_that!(
        opts.decide(false, half, HELD_BYTES, None, 0.0),
        ok(anything())
    );
    let outcome = play(&opts);
    let begun = TICKS * ARRIVALS_PER_TICK / BEGINS_EVERY;
    expect_that!(outcome.refused_begins, gt(begun * 9 / 10));
    expect_that!(
        outcome.refused_others,
        lt(TICKS * ARRIVALS_PER_TICK - begun)
    );
}

// Guards against refused callers that all return in one moment, or after their deadlines.
#[gtest]
fn spreads_the_returns() {
    let opts = Options::for_memory(MEMORY);
    let returns = play(&opts).retry_after;
    let (first, last) = (returns.iter().min().unwrap(), returns.iter().max().unwrap());
    expect_that!(*first, ge(opts.min_retry_after));
    expect_that!(*last, le(opts.max_retry_after));
    expect_that!(*last - *first, gt(Duration::from_secs(1)));
    let deadline = Some(Duration::from_millis(1_200));
    let refusal = opts.decide(false, opts.max_bytes, HELD_BYTES, deadline, 0.99);
    expect_that!(
        refusal.unwrap_err().retry_after,
        le(Duration::from_millis(400))
    );
}

// Guards against a request that is larger than the budget and refused for ever.
#[gtest]
fn takes_a_single_request_of_any_size() {
    let opts = Options::for_memory(1);
    expect_that!(opts.decide(true, 0, HELD_BYTES, None, 0.0), ok(anything()));
}
