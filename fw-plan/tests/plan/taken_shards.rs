//! When a shard that was taken over may serve.

use std::time::Duration;
use std::time::Instant;

use fw_plan::takeover;
use fw_plan::takeover::Holder;
use fw_plan::takeover::Holders;
use fw_plan::takeover::Outcome;
use googletest::prelude::*;

const TICK: Duration = Duration::from_millis(100);

/// A clock that leaves room for what happened before.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(1_000)
}

fn heard_at(at: Instant) -> Holder {
    let mut holder = Holder::default();
    holder.answered(at - Duration::from_secs(500));
    holder.answered(at);
    holder
}

fn decide(now: Instant, since: Instant, holders: &Holders) -> Outcome {
    takeover::decide(now, since, holders, &takeover::Options::default())
}

#[gtest]
fn a_shard_serves_once_all_were_heard() {
    let since = start();
    let mut holders = Holders {
        sides_known: true,
        sides: vec![heard_at(since - TICK), heard_at(since + TICK)],
        entries: vec![heard_at(since - TICK)],
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(2)));
    holders.sides[0].answered(since + TICK);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
    holders.entries[0].answered(since + TICK);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
}

// A side that holds a program's last answer is late with one heartbeat, as the machine is busy, just
// as a shard is taken. It counted as out of reach, and what cannot be reached was not waited for:
// the program's next turn was refused as out of order a tenth of a second later.
#[gtest]
fn a_late_heartbeat_is_waited_for() {
    let since = start();
    let mut side = heard_at(since - TICK);
    side.missed(since + TICK, false);
    let mut holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
    holders.sides[0].answered(since + TICK * 2);
    expect_that!(
        decide(since + TICK * 2, since, &holders),
        eq(Outcome::Serve)
    );
}

// A side tells that it holds turns of the shard, and the call that was to bring them is lost. The shard
// counted as complete, as nothing had come back, and the turns' callers met a history without them.
#[gtest]
fn turns_that_were_told_of_are_waited_for() {
    let since = start();
    let mut side = heard_at(since + TICK);
    side.has_pending_turns = true;
    let holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
}

// An entry that has just started takes shards before it has the list of sides. It knew of no side, so
// none was missing, and it served what the journal had.
#[gtest]
fn nothing_is_served_before_the_sides_are_known() {
    let since = start();
    let holders = Holders::default();
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(0)));
}

// A machine dies with its entry: all sides are there and have told what they hold. Its programs go on
// at once, though it can never be asked.
#[gtest]
fn a_dead_entry_is_not_waited_for_while_the_sides_are_there() {
    let since = start();
    let mut dead = heard_at(since - TICK);
    dead.missed(since, false);
    let mut holders = Holders {
        sides_known: true,
        sides: vec![heard_at(since + TICK)],
        entries: vec![dead],
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
    // Beside a side that has lately started anew, the entry may be the only holder.
    let mut fresh = Holder::default();
    fresh.answered(since + TICK);
    holders.sides.push(fresh);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
}

#[gtest]
fn nobody_waits_for_the_dead() {
    let since = start();
    let mut gone = heard_at(since - TICK);
    gone.missed(since, true);
    let mut silent = heard_at(since - Duration::from_secs(20));
    silent.missed(since - Duration::from_secs(10), false);
    let holders = Holders {
        sides_known: true,
        sides: vec![gone, silent],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
}

// A silent side may be lost with what it holds. Its shards' programs wait for it for five seconds, as
// for a dead keeper, and not for ever.
#[gtest]
fn the_wait_is_bounded() {
    let since = start();
    let mut side = heard_at(since - TICK);
    side.missed(since, false);
    let holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    let grace = takeover::Options::default().grace;
    expect_that!(decide(since + grace, since, &holders), eq(Outcome::Wait(1)));
    let later = since + grace + TICK;
    expect_true!(decide(later, since, &holders).serves());
}
